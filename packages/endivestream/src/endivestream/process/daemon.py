"""The daemon `endivestreamd`: starts, runs and stops one process.

Read this file first. `Daemon` owns all services of the process, in the order
in which they start:

    Control      on a control host: the replicated log, leases, limits,
                 scheduling, placement
    Gateway      on every host: the configuration lease and the running
                 requests
    HomeGateway  on every host: forwards targets' reports to the leader
    two HTTP servers: for callers, and for operators and targets
"""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import dataclasses
import pathlib
import random
import signal
import socket
import sys
import time

import msgspec
from tornado import httpserver
from tornado import web
import zmq.asyncio

import endivestream
from endivestream import findings
from endivestream import logs
from endivestream.connection import exchange as exchange_lib
from endivestream.connection import link_keys
from endivestream.process import bounded_server
from endivestream.process import callers
from endivestream.process import control as control_lib
from endivestream.process import gateway as gateway_lib
from endivestream.process import handlers
from endivestream.process import home_gateway as home_gateway_lib
from endivestream.process import inner
from endivestream.process import listeners as listeners_lib
from endivestream.process import metrics as metrics_lib
from endivestream.process import settings as settings_lib
from endivestream.process import site_settings
from endivestream.request import retries
from endivestream.version import document as document_lib
from endivestream.version import storage as storage_lib

# Exit statuses, documented in docs/operators/running.md.
EXIT_OK = 0
EXIT_SETTINGS = 2
EXIT_START = 3
EXIT_DISK = 4

# Interval at which a draining host checks whether requests are still running.
_DRAIN_POLL_SECONDS = 0.05
_DEFAULT_DATA_FOLDER = "endivestream-data"


class Daemon:
    """One process of the system, with all its services."""

    def __init__(
        self,
        *,
        settings: settings_lib.Settings,
        form: bool = False,
        alone: bool = False,
    ) -> None:
        self._settings = settings
        self._form = form
        self._alone = alone
        self._context = zmq.asyncio.Context()
        self._metrics = metrics_lib.Metrics()
        self._pool = exchange_lib.Pool()
        self._control: control_lib.Control | None = None
        self._gateway: gateway_lib.Gateway | None = None
        self._home_gateway: home_gateway_lib.HomeGateway | None = None
        self._listeners = listeners_lib.Listeners(
            resources=site_settings.HostResources()
        )
        self._servers: list[httpserver.HTTPServer] = []
        self._stop_requested = asyncio.Event()
        self._exit_status = EXIT_OK

    @property
    def settings(self) -> settings_lib.Settings:
        """The settings; after `start`, with the addresses actually bound."""
        return self._settings

    @property
    def gateway(self) -> gateway_lib.Gateway:
        """The gateway, after `start`."""
        assert self._gateway is not None, "not started"
        return self._gateway

    @property
    def control(self) -> control_lib.Control:
        """The control role, after `start` on a control host."""
        assert self._control is not None, "not a started control host"
        return self._control

    def request_stop(self, status: int = EXIT_OK) -> None:
        """Requests a stop.

        Args:
            status: The exit status. The first one that is not 0 is used.
        """
        self._exit_status = self._exit_status or status
        self._stop_requested.set()

    async def start(self) -> None:
        """Starts all services.

        Raises:
            storage_lib.CorruptError: The stored data is damaged.
            OSError: A file or an address cannot be used.
        """
        # Addresses are bound first: with port 0, the operating system chooses
        # a port, which then replaces the 0 in the settings.
        caller_sockets = self._bind("address")
        inner_sockets = self._bind("inner_address")
        settings = self._settings
        control = list(settings.peers.control)
        keys = None
        if settings.link_keys.host_file:
            keys = link_keys.load(
                system_file=settings.link_keys.system_file,
                host_file=settings.link_keys.host_file,
            )
        if settings.is_control:
            self._control = control_lib.Control(
                settings=settings,
                context=self._context,
                pool=self._pool,
                on_failed=lambda error: self.request_stop(EXIT_DISK),
                keys=keys,
            )
            await self._control.start(
                form=self._form or settings.is_alone, alone=self._alone
            )
            # Its own control role comes first, because it has the address of
            # the leader.
            control = [
                self._control.address,
                *(a for a in control if a != self._control.address),
            ]
        self._gateway = gateway_lib.Gateway(
            settings=settings,
            control=control,
            context=self._context,
            metrics=self._metrics,
            keys=keys,
        )
        self._gateway.start()
        self._home_gateway = home_gateway_lib.HomeGateway(gateway=self._gateway)
        self._home_gateway.start()
        parts = handlers.Parts(
            self._gateway,
            self._pool,
            retries.RetryBudget(share=settings.requests.retry_share),
            random.Random(),
        )
        self._listen(
            listeners_lib.CALLERS, callers.application(parts), caller_sockets
        )
        self._listen(
            listeners_lib.CONTROL,
            inner.application(
                gateway=self._gateway, home_gateway=self._home_gateway
            ),
            inner_sockets,
        )
        logs.event(
            "started",
            version=endivestream.__version__,
            callers=settings.http.address,
            inner=settings.http.inner_address,
            control=control[0],
            roles="control,gateway" if self._control else "gateway",
        )

    def _bind(self, key: str) -> list[socket.socket]:
        address = getattr(self._settings.http, key)
        host, _ = address.rsplit(":", 1)
        try:
            sockets = listeners_lib.bind(address)
        except OSError as error:
            raise OSError(f"cannot listen on {address}: {error}") from error
        bound_address = f"{host}:{sockets[0].getsockname()[1]}"
        http = dataclasses.replace(self._settings.http, **{key: bound_address})
        self._settings = dataclasses.replace(self._settings, http=http)
        return sockets

    def _listen(
        self,
        listener: listeners_lib.Listener,
        application: web.Application,
        sockets: list[socket.socket],
    ) -> None:
        http = self._settings.http
        server = self._listeners.serve(
            listener._replace(
                limits=document_lib.Limits(
                    header_bytes=http.max_header_bytes,
                    body_bytes=http.max_body_bytes,
                    header_seconds=http.idle_seconds,
                    idle_seconds=http.idle_seconds,
                ),
                refusal=bounded_server.Refusal(encode=_as_json),
            ),
            sockets,
            application,
        )
        server.conn_params.body_timeout = http.body_seconds
        self._servers.append(server)

    async def run(self) -> int:
        """Runs until a stop is requested, then drains.

        Returns:
            The exit status.
        """
        loop = asyncio.get_running_loop()
        for signal_number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(signal_number, self._on_signal)
        await self._stop_requested.wait()
        if self._exit_status == EXIT_OK:
            await self._drain()
        await self.close()
        logs.event("stopped", status=self._exit_status)
        return self._exit_status

    def _on_signal(self) -> None:
        if not self._stop_requested.is_set():
            logs.event("stopping", why="signal")
            self.request_stop()
            return
        running = self._gateway.list_running() if self._gateway else []
        logs.warn(
            "still_draining",
            would_cut=len(running),
            requests=",".join(r.request for r in running[:20]),
            teams=",".join(sorted({r.team for r in running})),
        )

    async def _drain(self) -> None:
        """Drains the host without cutting off a request.

        The host is first removed from the address list. Callers cache that
        list for its lifetime, so the host goes on accepting requests until the
        lifetime and a margin have passed, and only then stops listening.
        """
        assert self._gateway is not None
        started_at = time.monotonic()
        await self._gateway.drain()
        timing = self._settings.timing
        if len(self._gateway.hosts) > 1 or self._gateway.running:
            await asyncio.sleep(
                timing.address_lifetime_seconds + timing.drain_margin_seconds
            )
        for server in self._servers[:1]:
            server.stop()
        while self._gateway.running:
            await asyncio.sleep(_DRAIN_POLL_SECONDS)
        logs.event("drained", seconds=time.monotonic() - started_at)

    async def close(self) -> None:
        """Closes all services in the reverse order."""
        self._listeners.close()
        for server in self._servers:
            server.stop()
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(1.0):
                    await server.close_all_connections()
        if self._home_gateway is not None:
            await self._home_gateway.close()
        if self._gateway is not None:
            await self._gateway.close()
        if self._control is not None:
            await self._control.close()
        self._pool.close()
        self._context.destroy(linger=0)


def _as_json(failure: findings.Failure) -> tuple[str, bytes]:
    """Returns the type and body of the answer to a refused request."""
    return "application/json", msgspec.json.encode(failure.as_json())


def _build_parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(
        prog="endivestreamd",
        description="Runs one host of endivestream.",
        epilog="Without --settings, this host runs as a complete system and "
        f"stores its state in ./{_DEFAULT_DATA_FOLDER}.",
    )
    parser.add_argument(
        "--settings", type=pathlib.Path, help="settings file, in TOML"
    )
    parser.add_argument(
        "--check", action="store_true", help="check the settings and exit"
    )
    parser.add_argument(
        "--show-settings",
        action="store_true",
        help="print all settings with default, unit and reason, and exit",
    )
    parser.add_argument(
        "--form",
        action="store_true",
        help="form a new system; only once, on the first of several control "
        "hosts",
    )
    parser.add_argument(
        "--stand-alone",
        action="store_true",
        help="continue as the only voter after a majority of disks is "
        "permanently lost; read docs/operators/control-hosts.md first",
    )
    parser.add_argument("--data-folder", help="overrides host.data_folder")
    parser.add_argument("--address", help="overrides http.address")
    parser.add_argument("--inner-address", help="overrides http.inner_address")
    parser.add_argument("--peers-address", help="overrides peers.address")
    parser.add_argument(
        "--version", action="version", version=endivestream.__version__
    )
    return parser


def _load_settings(
    arguments: argparse.Namespace,
) -> settings_lib.Settings | list[findings.Finding]:
    """Returns the settings of the file, if any, and the command line.

    Args:
        arguments: The parsed command line.

    Returns:
        The settings, or every finding in the file.
    """
    host: dict[str, str] = {}
    if arguments.settings is not None:
        loaded = settings_lib.load(arguments.settings)
    else:
        host["data_folder"] = _DEFAULT_DATA_FOLDER
        loaded = settings_lib.Settings()
    if not isinstance(loaded, settings_lib.Settings):
        return loaded
    if arguments.data_folder:
        host["data_folder"] = arguments.data_folder
    http = {
        "address": arguments.address,
        "inner_address": arguments.inner_address,
    }
    peers = {"address": arguments.peers_address}
    return dataclasses.replace(
        loaded,
        host=dataclasses.replace(loaded.host, **host),
        http=dataclasses.replace(
            loaded.http, **{k: v for k, v in http.items() if v}
        ),
        peers=dataclasses.replace(
            loaded.peers, **{k: v for k, v in peers.items() if v}
        ),
    )


async def _run_daemon(
    settings: settings_lib.Settings, *, form: bool, alone: bool
) -> int:
    daemon = Daemon(settings=settings, form=form, alone=alone)
    try:
        await daemon.start()
    except (storage_lib.CorruptError, OSError) as error:
        logs.warn("start_failed", why=error)
        await daemon.close()
        return EXIT_START
    return await daemon.run()


def main() -> None:
    """Entry point of `endivestreamd`."""
    arguments = _build_parser().parse_args()
    if arguments.show_settings:
        print(settings_lib.show())
        sys.exit(EXIT_OK)
    settings = _load_settings(arguments)
    if not isinstance(settings, settings_lib.Settings):
        for finding in settings:
            print(finding, file=sys.stderr)
        sys.exit(EXIT_SETTINGS)
    if arguments.check:
        print("ok")
        sys.exit(EXIT_OK)
    logs.start(level=settings.host.log_level, host=settings.host.name)
    sys.exit(
        asyncio.run(
            _run_daemon(
                settings, form=arguments.form, alone=arguments.stand_alone
            )
        )
    )
