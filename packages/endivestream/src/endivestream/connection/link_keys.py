"""Authentication and encryption of links between hosts, with CURVE keys.

All control hosts use one system key pair, so a host needs only its public key
to connect to any of them, also after control hosts are added or replaced. Each
host connects with a key pair of its own, and control hosts accept only the
public keys in their folder of allowed keys: deleting a file there locks one
host out.
"""

from __future__ import annotations

import os
import pathlib
import time
from typing import Any
from typing import NamedTuple

import zmq
import zmq.asyncio
import zmq.auth
import zmq.auth.asyncio

from endivestream import logs

# A refused host retries several times a second; one log line a minute is enough
# to find it.
_LOG_INTERVAL_SECONDS = 60.0


class LinkKeys(NamedTuple):
    """CURVE keys of one host, in the text form of pyzmq.

    Attributes:
        system_public: Common public key of the control hosts.
        system_secret: Secret key for it, on control hosts; None elsewhere.
        host_public: Public key of this host.
        host_secret: Secret key of this host.
    """

    system_public: bytes
    system_secret: bytes | None
    host_public: bytes
    host_secret: bytes

    def secure_server(self, socket: zmq.asyncio.Socket) -> None:
        """Makes a server socket accept only clients with allowed keys."""
        assert self.system_secret is not None, (
            "the secret key of the system is not loaded"
        )
        socket.setsockopt(zmq.CURVE_PUBLICKEY, self.system_public)
        socket.setsockopt(zmq.CURVE_SECRETKEY, self.system_secret)
        socket.setsockopt(zmq.CURVE_SERVER, 1)

    def secure_client(self, socket: zmq.asyncio.Socket) -> None:
        """Makes a client socket accept only servers with the system key."""
        socket.setsockopt(zmq.CURVE_SERVERKEY, self.system_public)
        socket.setsockopt(zmq.CURVE_PUBLICKEY, self.host_public)
        socket.setsockopt(zmq.CURVE_SECRETKEY, self.host_secret)


def create(folder: pathlib.Path, name: str) -> tuple[str, str]:
    """Creates a key pair; returns the paths of its public and secret file."""
    folder.mkdir(parents=True, exist_ok=True)
    public, secret = zmq.auth.create_certificates(str(folder), name)
    os.chmod(secret, 0o600)
    return public, secret


def load(*, system_file: str, host_file: str) -> LinkKeys:
    """Reads the two key files.

    Raises:
        OSError: A file cannot be read, or contains no key; the message contains
            its path.
    """
    system_public, system_secret = _read(system_file)
    host_public, host_secret = _read(host_file)
    if host_secret is None:
        raise OSError(f"{host_file}: contains no secret key")
    return LinkKeys(system_public, system_secret, host_public, host_secret)


def _read(path: str) -> tuple[bytes, bytes | None]:
    try:
        return zmq.auth.load_certificate(path)
    except (OSError, ValueError) as error:
        raise OSError(f"{path}: {error}") from error


class LinkAuthenticator:
    """Decides which hosts' keys a control host accepts."""

    def __init__(
        self, *, context: zmq.asyncio.Context, allowed_folder: str
    ) -> None:
        self._folder = allowed_folder
        self._authenticator = zmq.auth.asyncio.AsyncioAuthenticator(context)
        self._last_logged_at: dict[bytes, float] = {}

    def start(self) -> None:
        """Starts authenticating; must be called before the server binds."""
        self._authenticator.start()
        self._authenticator.configure_curve_callback(
            domain="*", credentials_provider=self
        )

    def close(self) -> None:
        """Stops authenticating."""
        self._authenticator.stop()

    def callback(self, domain: str, key: bytes) -> bool:
        """Returns whether a key is allowed; called by pyzmq."""
        # Read again each time: connections are rare, and the deletion of a
        # file must take effect immediately.
        allowed: dict[bytes, Any] = zmq.auth.load_certificates(self._folder)
        if key in allowed:
            return True
        now = time.monotonic()
        if (
            now - self._last_logged_at.get(key, float("-inf"))
            > _LOG_INTERVAL_SECONDS
        ):
            self._last_logged_at[key] = now
            logs.warn("link_refused", key=key.decode(), folder=self._folder)
        return False
