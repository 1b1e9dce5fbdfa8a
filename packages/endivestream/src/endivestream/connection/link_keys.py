"""Who may link to whom: the library's key mechanism on links between hosts.

All control hosts answer under one system key, so a host needs to know one
public key whatever control hosts come and go. Each host connects under a key
of its own, and control hosts take only those in their folder of allowed keys:
deleting a file there shuts one host out.
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

# A refused host tries again several times a second; one line a minute is
# enough to find it.
_LOG_AGAIN_SECONDS = 60.0


class LinkKeys(NamedTuple):
    """The keys that one host holds, in the library's text form.

    Attributes:
        system_public: Control hosts' common public key.
        system_secret: Its secret half, on control hosts; None elsewhere.
        host_public: This host's public key.
        host_secret: Its secret half.
    """

    system_public: bytes
    system_secret: bytes | None
    host_public: bytes
    host_secret: bytes

    def guard_server(self, socket: zmq.asyncio.Socket) -> None:
        """Has a socket speak only to clients with allowed keys."""
        assert self.system_secret is not None, "no secret of the system key"
        socket.setsockopt(zmq.CURVE_PUBLICKEY, self.system_public)
        socket.setsockopt(zmq.CURVE_SECRETKEY, self.system_secret)
        socket.setsockopt(zmq.CURVE_SERVER, 1)

    def guard_client(self, socket: zmq.asyncio.Socket) -> None:
        """Has a socket speak only to holders of the system key."""
        socket.setsockopt(zmq.CURVE_SERVERKEY, self.system_public)
        socket.setsockopt(zmq.CURVE_PUBLICKEY, self.host_public)
        socket.setsockopt(zmq.CURVE_SECRETKEY, self.host_secret)


def create(folder: pathlib.Path, name: str) -> tuple[str, str]:
    """Makes a key pair; returns its public and its secret file."""
    folder.mkdir(parents=True, exist_ok=True)
    public, secret = zmq.auth.create_certificates(str(folder), name)
    os.chmod(secret, 0o600)
    return public, secret


def load(*, system_file: str, host_file: str) -> LinkKeys:
    """Reads the two key files.

    Raises:
        OSError: A file cannot be read, or holds no key; names the file.
    """
    system_public, system_secret = _read(system_file)
    host_public, host_secret = _read(host_file)
    if host_secret is None:
        raise OSError(f"{host_file}: holds no secret key")
    return LinkKeys(system_public, system_secret, host_public, host_secret)


def _read(path: str) -> tuple[bytes, bytes | None]:
    try:
        return zmq.auth.load_certificate(path)
    except (OSError, ValueError) as error:
        raise OSError(f"{path}: {error}") from error


class Doorkeeper:
    """Decides which hosts' keys a control host takes."""

    def __init__(
        self, *, context: zmq.asyncio.Context, allowed_folder: str
    ) -> None:
        self._folder = allowed_folder
        self._authenticator = zmq.auth.asyncio.AsyncioAuthenticator(context)
        self._logged: dict[bytes, float] = {}

    def start(self) -> None:
        """Starts to decide; before the server binds."""
        self._authenticator.start()
        self._authenticator.configure_curve_callback(
            domain="*", credentials_provider=self
        )

    def close(self) -> None:
        """Stops to decide."""
        self._authenticator.stop()

    def callback(self, domain: str, key: bytes) -> bool:
        """Tells whether a key is allowed; the library calls this."""
        # Read anew each time: connections are rare, and a deleted file must
        # count at once.
        allowed: dict[bytes, Any] = zmq.auth.load_certificates(self._folder)
        if key in allowed:
            return True
        now = time.monotonic()
        if now - self._logged.get(key, float("-inf")) > _LOG_AGAIN_SECONDS:
            self._logged[key] = now
            logs.warn("link_refused", key=key.decode(), folder=self._folder)
        return False
