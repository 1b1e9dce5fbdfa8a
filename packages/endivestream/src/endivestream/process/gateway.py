"""A host's gateway: its lease, its copy of the configuration, its requests.

The gateway decides with what it has in force, and only while its lease runs.
Credit and places come from the control host; see `admission` for the order in
which a request passes them.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from collections.abc import Iterator
import contextlib
import itertools
import time
from typing import Any

import zmq.asyncio

from endivestream import findings
from endivestream import logs
from endivestream import messages
from endivestream import tasks
from endivestream.connection import leader_link
from endivestream.connection import link_keys
from endivestream.connection import links
from endivestream.process import metrics as metrics_lib
from endivestream.process import settings as settings_lib
from endivestream.version import configuration as configuration_lib
from endivestream.version import state as state_lib

# Endings gather for this long, so that a busy gateway sends few messages.
_GATHER_SECONDS = 0.02
# A link's own time limit, and what a caller is told to wait for it.
_RETRY_AFTER_LINK = 1.0


class Running:
    """A caller's request while it runs, so that it can be ended from outside.

    Attributes:
        key: The caller's key.
        team: Its team.
        request: The request's id.
    """

    def __init__(
        self,
        *,
        key: configuration_lib.KeyRecord,
        request: str,
        task: asyncio.Task[object],
    ) -> None:
        self.key = key
        self.team = key.team
        self.request = request
        self._task = task
        self._ended: findings.Failure | None = None

    @property
    def ended(self) -> findings.Failure | None:
        """Why it was ended from outside, or None."""
        return self._ended

    def end(self, failure: findings.Failure) -> None:
        """Cancels the request's task, leaving the reason for it to find."""
        if self._ended is None:
            self._ended = failure
            self._task.cancel()


class Gateway:
    """The parts of a gateway that outlive a request."""

    def __init__(
        self,
        *,
        settings: settings_lib.Settings,
        control: list[str],
        context: zmq.asyncio.Context,
        metrics: metrics_lib.Metrics,
        keys: link_keys.LinkKeys | None = None,
    ) -> None:
        self._settings = settings
        self._metrics = metrics
        self._view = configuration_lib.View()
        self._incarnation = time.time_ns() // 1_000_000
        self._draining = False
        self._lease_until = 0.0
        self._hosts: list[messages.HostInfo] = []
        self._hosts_version = 0
        self._running: dict[str, Running] = {}
        self._sequence = itertools.count(1)
        self._news = asyncio.Event()
        self._leader_listeners: list[Callable[[], None]] = []
        self._endings: list[messages.Ending] = []
        self._commands: list[state_lib.Command] = []
        self._ending = asyncio.Event()
        self._link = leader_link.LeaderLink(
            addresses=control,
            context=context,
            on_push=self._pushed,
            silence=settings.peers.silence_seconds,
            attempt_seconds=settings.timing.election_seconds,
            on_move=self._leader_moved,
            keys=keys,
        )
        self._tasks: list[asyncio.Task[None]] = []

    @property
    def view(self) -> configuration_lib.View:
        """The configuration in force here."""
        return self._view

    @property
    def settings(self) -> settings_lib.Settings:
        """The process's settings."""
        return self._settings

    @property
    def metrics(self) -> metrics_lib.Metrics:
        """The process's metrics."""
        return self._metrics

    @property
    def hosts(self) -> list[messages.HostInfo]:
        """All live hosts, as of the last renewal."""
        return self._hosts

    @property
    def host(self) -> messages.HostInfo:
        """This host, as others see it."""
        return messages.HostInfo(
            self._settings.host.name,
            self._incarnation,
            self._settings.host.domain,
            self._settings.url,
            f"http://{self._settings.http.inner_address}",
            self._draining,
        )

    @property
    def draining(self) -> bool:
        """Whether this host is about to stop."""
        return self._draining

    @property
    def leased(self) -> bool:
        """Whether new work may be taken.

        A host that was cut off would go on serving a withdrawn key or old
        rules (symptom: a revoked key works on one host only). Without a lease
        it refuses, and a change is in force once leases have run out.
        """
        return time.monotonic() < self._lease_until

    def lost_lease(self) -> findings.Failure | None:
        """Returns why new work may not be taken, or None if it may."""
        if self.leased:
            return None
        return findings.not_run(
            "no_lease",
            "this host is cut off from the configuration; use another",
            status=503,
            retry_after=1.0,
        )

    @property
    def running(self) -> int:
        """How many requests of callers run."""
        return len(self._running)

    def start(self) -> None:
        """Connects to the control leader and starts to renew the lease."""
        self._link.start()
        self._tasks = [
            asyncio.create_task(self._watch()),
            asyncio.create_task(self._send_endings()),
        ]

    async def close(self) -> None:
        """Hands the last endings over, then disconnects."""
        await tasks.cancel(self._tasks)
        with contextlib.suppress(links.LinkDownError):
            await self._flush_endings()
        await self._link.close()

    async def drain(self) -> None:
        """Has this host left out of the address answer before it stops."""
        self._draining = True
        with contextlib.suppress(links.LinkDownError):
            await self._renew()

    def new_id(self) -> str:
        """Returns an id no other request or attempt has."""
        number = next(self._sequence)
        return f"{self._settings.host.name}-{self._incarnation:x}-{number:x}"

    @property
    def holder(self) -> str:
        """This process, as the holder of non-idempotent calls."""
        return f"{self._settings.host.name}/{self._incarnation}"

    @contextlib.contextmanager
    def track(self, running: Running) -> Iterator[None]:
        """Keeps a request reachable for withdrawal of its key."""
        self._running[running.request] = running
        self._metrics.running.inc()
        try:
            yield
        finally:
            del self._running[running.request]
            self._metrics.running.dec()

    def list_running(self) -> list[Running]:
        """Returns what runs, for a stop's last words."""
        return list(self._running.values())

    async def _watch(self) -> None:
        while True:
            try:
                await self._renew()
            except links.LinkDownError as error:
                logs.warn("lease_not_renewed", why=error)
            left = max(0.0, self._lease_until - time.monotonic())
            self._metrics.lease_left.set(left)
            self._news.clear()
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(self._settings.timing.watch_seconds):
                    await self._news.wait()

    async def _renew(self) -> None:
        sent = time.monotonic()
        answer = await self.ask(
            messages.Watch(
                host=self.host,
                have=self._view.version,
                hosts_seen=self._hosts_version,
                running=self.running,
            ),
            # Long enough to outlast an election, within one lease.
            seconds=self._settings.timing.lease_seconds / 2,
        )
        if not isinstance(answer, messages.Lease):
            return
        if answer.update is not None:
            self._take(answer.update)
        if self._view.version < answer.version:
            return  # Not up to date: no lease on what is not in force here.
        # Counted from the sending, so that the control host, which counts
        # from the hearing, never calls a lease over before its holder does.
        self._lease_until = sent + answer.seconds
        if answer.hosts is not None:
            self._hosts = answer.hosts
            self._hosts_version = answer.hosts_version
        if answer.update is not None:
            # Acknowledge at once: somebody may wait for "in force".
            self._news.set()
            await self._renew()

    def _take(self, update: configuration_lib.Update) -> None:
        withdrawn = self._view.update(update)
        if withdrawn is None:
            logs.warn(
                "update_refused", have=self._view.version, got=update.version
            )
            return
        logs.event("in_force", version=update.version, withdrawn=len(withdrawn))
        self._metrics.version.set(update.version)
        for running in list(self._running.values()):
            if not self._view.is_live(running.key.digest):
                running.end(_withdrawn(running.key))

    def on_leader_change(self, tell: Callable[[], None]) -> None:
        """Has `tell` called whenever another leader may be asked."""
        self._leader_listeners.append(tell)

    def _leader_moved(self) -> None:
        self._news.set()
        for tell in self._leader_listeners:
            tell()

    def _pushed(self, message: messages.Message) -> None:
        if isinstance(message, messages.Lease) and (
            message.version > self._view.version
            or message.hosts_version != self._hosts_version
        ):
            self._news.set()

    async def ask(
        self,
        message: messages.Message,
        *,
        seconds: float,
        answer_seconds: float = 0.0,
    ) -> messages.Message:
        """Asks the control leader; raises links.LinkDownError."""
        return await self._link.request(
            message, seconds=seconds, answer_seconds=answer_seconds
        )

    async def charge(
        self, message: messages.Charge
    ) -> messages.Charged | messages.Refused:
        """Asks for a team's credit; a lost link refuses it."""
        return await self._ask_patiently(message, message.patience)

    async def ticket(
        self, message: messages.AskTicket
    ) -> messages.Ticket | messages.Refused:
        """Asks for a place on a target; a lost link refuses it."""
        return await self._ask_patiently(message, message.patience)

    async def _ask_patiently(
        self, message: messages.Message, patience: float
    ) -> Any:
        seconds = patience + self._settings.peers.request_seconds
        try:
            return await self.ask(
                message, seconds=seconds, answer_seconds=seconds
            )
        except links.LinkDownError as error:
            return messages.Refused(
                reason="control_unreachable",
                detail=f"no control leader answers ({error})",
                retry_after=_RETRY_AFTER_LINK,
            )

    async def propose(self, command: state_lib.Command) -> state_lib.Result:
        """Has a command committed; raises links.LinkDownError."""
        answer = await self.ask(
            messages.Propose(command=command),
            seconds=self._settings.peers.request_seconds,
        )
        if not isinstance(answer, messages.Committed):
            raise links.LinkDownError(f"unexpected answer {answer!r}")
        return answer.result

    def propose_surely(self, command: state_lib.Command) -> None:
        """Has a command committed even if the control host is away for now.

        For commands that may be applied twice, such as the end of a call.
        """
        self._commands.append(command)
        self._ending.set()

    def end(self, ending: messages.Ending) -> None:
        """Gives credit and place back, surely and soon."""
        self._endings.append(ending)
        self._ending.set()

    async def _send_endings(self) -> None:
        while True:
            await self._ending.wait()
            self._ending.clear()
            try:
                await self._flush_endings()
            except links.LinkDownError as error:
                # They are kept and sent again. A lost ending would hold a
                # place on a target, and a team's credit, for good.
                count = len(self._endings) + len(self._commands)
                logs.warn("endings_kept", count=count, why=error)
                self._ending.set()
            await asyncio.sleep(_GATHER_SECONDS)

    async def _flush_endings(self) -> None:
        # One flush at a time: two would each take the same batch off the
        # list, and the second would take endings that were never sent.
        while self._commands:
            await self.propose(self._commands[0])
            del self._commands[0]
        batch = list(self._endings)
        if batch:
            await self.ask(
                messages.Endings(endings=batch),
                seconds=self._settings.peers.request_seconds,
            )
            del self._endings[: len(batch)]


def _withdrawn(key: configuration_lib.KeyRecord) -> findings.Failure:
    return findings.Failure(
        outcome=findings.Outcome.FAILED,
        reason="key_withdrawn",
        detail=f"the key {key.label!r} was withdrawn",
        status=401,
    )
