"""A host's gateway: its lease, its copy of the configuration, its requests.

The gateway acts on its copy of the configuration, and only while its lease is
valid. Credit and slots on targets are granted by the control host. A request
obtains its credit first (`handlers`) and then a slot for each of its attempts
(`request.attempts`).
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

# Completions are batched for this long, so that a busy gateway sends few
# messages.
_BATCH_SECONDS = 0.02
# Sent to callers as the time until a retry while no leader can be reached.
# Equals a link's own time limit.
_LINK_RETRY_AFTER_SECONDS = 1.0


class RunningRequest:
    """A caller's running request, which other tasks can cancel.

    Attributes:
        key: The caller's key.
        team: The key's team.
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
        self._cancel_reason: findings.Failure | None = None

    @property
    def cancel_reason(self) -> findings.Failure | None:
        """Why the request was cancelled; None if it was not."""
        return self._cancel_reason

    def cancel(self, failure: findings.Failure) -> None:
        """Cancels the request's task and records the reason."""
        if self._cancel_reason is None:
            self._cancel_reason = failure
            self._task.cancel()


class Gateway:
    """State of a gateway that requests share, and its link to the leader."""

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
        self._view = configuration_lib.ConfigurationView()
        self._incarnation = time.time_ns() // 1_000_000
        self._draining = False
        self._lease_until = 0.0
        self._hosts: list[messages.HostInfo] = []
        self._hosts_version = 0
        self._running: dict[str, RunningRequest] = {}
        self._sequence = itertools.count(1)
        self._renewal_due = asyncio.Event()
        self._leader_listeners: list[Callable[[], None]] = []
        self._completions: list[messages.Completion] = []
        self._commands: list[state_lib.Command] = []
        self._completion_queued = asyncio.Event()
        self._link = leader_link.LeaderLink(
            addresses=control,
            context=context,
            on_push=self._on_push,
            silence=settings.peers.silence_seconds,
            attempt_seconds=settings.timing.election_seconds,
            on_leader_changed=self._on_leader_moved,
            keys=keys,
        )
        self._tasks: list[asyncio.Task[None]] = []

    @property
    def view(self) -> configuration_lib.ConfigurationView:
        """The configuration in force on this host."""
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
        """All live hosts, as of the last lease renewal."""
        return self._hosts

    @property
    def host(self) -> messages.HostInfo:
        """The description of this host that is sent to other hosts."""
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
        """Whether this host is draining before it stops."""
        return self._draining

    @property
    def leased(self) -> bool:
        """Whether this host holds a valid lease and may accept requests.

        Without leases, a host that lost its connection would go on serving a
        withdrawn key or old rules (symptom: a revoked key works on one host
        only). With them, it refuses requests after its lease has expired, and
        a change is in force once all older leases have expired.
        """
        return time.monotonic() < self._lease_until

    def lease_failure(self) -> findings.Failure | None:
        """Returns why requests are refused, or None if they are accepted."""
        if self.leased:
            return None
        return findings.not_run(
            "no_lease",
            "this host has no valid configuration lease; use another host",
            status=503,
            retry_after=1.0,
        )

    @property
    def running(self) -> int:
        """The number of running requests."""
        return len(self._running)

    def start(self) -> None:
        """Connects to the control leader and starts lease renewals."""
        self._link.start()
        self._tasks = [
            asyncio.create_task(self._run_renewals()),
            asyncio.create_task(self._send_completions()),
        ]

    async def close(self) -> None:
        """Sends the last completions, then disconnects."""
        await tasks.cancel(self._tasks)
        with contextlib.suppress(links.LinkDownError):
            await self._flush_completions()
        await self._link.close()

    async def drain(self) -> None:
        """Has this host removed from the address lists that callers get."""
        self._draining = True
        with contextlib.suppress(links.LinkDownError):
            await self._renew()

    def new_id(self) -> str:
        """Returns a unique id for a request or an attempt."""
        number = next(self._sequence)
        return f"{self._settings.host.name}-{self._incarnation:x}-{number:x}"

    @property
    def holder(self) -> str:
        """The name of this process as the holder of non-idempotent calls."""
        return f"{self._settings.host.name}/{self._incarnation}"

    @contextlib.contextmanager
    def track(self, running: RunningRequest) -> Iterator[None]:
        """Registers a request while it runs.

        The request is cancelled if its key is withdrawn.
        """
        self._running[running.request] = running
        self._metrics.running.inc()
        try:
            yield
        finally:
            del self._running[running.request]
            self._metrics.running.dec()

    def list_running(self) -> list[RunningRequest]:
        """Returns the running requests."""
        return list(self._running.values())

    async def _run_renewals(self) -> None:
        while True:
            try:
                await self._renew()
            except links.LinkDownError as error:
                logs.warn("lease_not_renewed", why=error)
            remaining = max(0.0, self._lease_until - time.monotonic())
            self._metrics.lease_left.set(remaining)
            self._renewal_due.clear()
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(self._settings.timing.watch_seconds):
                    await self._renewal_due.wait()

    async def _renew(self) -> None:
        sent_at = time.monotonic()
        answer = await self.request_leader(
            messages.Watch(
                host=self.host,
                config_version=self._view.version,
                hosts_seen=self._hosts_version,
                running=self.running,
            ),
            # Long enough to outlast an election, within one lease.
            seconds=self._settings.timing.lease_seconds / 2,
        )
        if not isinstance(answer, messages.Lease):
            return
        if answer.update is not None:
            self._apply_update(answer.update)
        if self._view.version < answer.version:
            # The host's configuration is outdated, so its lease is not renewed.
            return
        # Counted from the time of sending. The control host counts from the
        # time of receipt, so the lease never expires there before it does here.
        self._lease_until = sent_at + answer.seconds
        if answer.hosts is not None:
            self._hosts = answer.hosts
            self._hosts_version = answer.hosts_version
        if answer.update is not None:
            # Acknowledged immediately: an operator may be waiting until the
            # change is in force.
            self._renewal_due.set()
            await self._renew()

    def _apply_update(self, update: configuration_lib.Update) -> None:
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
                running.cancel(_key_withdrawn_failure(running.key))

    def on_leader_change(self, listener: Callable[[], None]) -> None:
        """Registers a function to call when there may be a new leader.

        Args:
            listener: The function.
        """
        self._leader_listeners.append(listener)

    def _on_leader_moved(self) -> None:
        self._renewal_due.set()
        for listener in self._leader_listeners:
            listener()

    def _on_push(self, message: messages.Message) -> None:
        if isinstance(message, messages.Lease) and (
            message.version > self._view.version
            or message.hosts_version != self._hosts_version
        ):
            self._renewal_due.set()

    async def request_leader(
        self,
        message: messages.Message,
        *,
        seconds: float,
        answer_seconds: float = 0.0,
    ) -> messages.Message:
        """Sends a request to the control leader and returns its answer.

        Args:
            message: The request.
            seconds: Time limit for the request, with its retries.
            answer_seconds: Time that a leader may take to answer, if that is
                longer than for other requests.

        Raises:
            links.LinkDownError: No leader answered in time. The request may
                have taken effect.
        """
        return await self._link.request(
            message, seconds=seconds, answer_seconds=answer_seconds
        )

    async def charge(
        self, message: messages.Charge
    ) -> messages.Charged | messages.Refused:
        """Requests a team's credit; refused if no leader answers."""
        return await self._request_with_patience(
            message, message.max_wait_seconds
        )

    async def request_ticket(
        self, message: messages.AskTicket
    ) -> messages.Ticket | messages.Refused:
        """Requests a slot on a target; refused if no leader answers."""
        return await self._request_with_patience(
            message, message.max_wait_seconds
        )

    async def _request_with_patience(
        self, message: messages.Message, patience: float
    ) -> Any:
        seconds = patience + self._settings.peers.request_seconds
        try:
            return await self.request_leader(
                message, seconds=seconds, answer_seconds=seconds
            )
        except links.LinkDownError as error:
            return messages.Refused(
                reason="control_unreachable",
                detail=f"no leader of the control hosts responds ({error})",
                retry_after=_LINK_RETRY_AFTER_SECONDS,
            )

    async def propose(self, command: state_lib.Command) -> state_lib.Result:
        """Has the leader commit a command and returns the result.

        Raises:
            links.LinkDownError: No leader answered in time.
        """
        answer = await self.request_leader(
            messages.Propose(command=command),
            seconds=self._settings.peers.request_seconds,
        )
        if not isinstance(answer, messages.Committed):
            raise links.LinkDownError(f"unexpected answer {answer!r}")
        return answer.result

    def propose_until_committed(self, command: state_lib.Command) -> None:
        """Queues a command and sends it until the leader has committed it.

        Only for idempotent commands, such as the end of a call.
        """
        self._commands.append(command)
        self._completion_queued.set()

    def complete_request(self, ending: messages.Completion) -> None:
        """Queues a completion, which is sent until the leader receives it.

        The leader then releases the request's unused credit and its slot.
        """
        self._completions.append(ending)
        self._completion_queued.set()

    async def _send_completions(self) -> None:
        while True:
            await self._completion_queued.wait()
            self._completion_queued.clear()
            try:
                await self._flush_completions()
            except links.LinkDownError as error:
                # The completions are kept and sent again. A lost completion
                # would leak a slot on a target and a team's credit.
                count = len(self._completions) + len(self._commands)
                logs.warn("completions_deferred", count=count, why=error)
                self._completion_queued.set()
            await asyncio.sleep(_BATCH_SECONDS)

    async def _flush_completions(self) -> None:
        # Only one flush may run at a time. Two would send the same batch, and
        # the second would then delete completions that were never sent.
        while self._commands:
            await self.propose(self._commands[0])
            del self._commands[0]
        batch = list(self._completions)
        if batch:
            await self.request_leader(
                messages.Endings(completions=batch),
                seconds=self._settings.peers.request_seconds,
            )
            del self._completions[: len(batch)]


def _key_withdrawn_failure(
    key: configuration_lib.KeyRecord,
) -> findings.Failure:
    return findings.Failure(
        outcome=findings.RunState.FAILED,
        reason="key_withdrawn",
        detail=f"the key {key.label!r} was withdrawn",
        status=401,
    )
