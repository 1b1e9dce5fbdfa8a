"""The control role: a replica of the log, and the leader role if elected."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping
from collections.abc import Sequence
import pathlib
import time
from typing import NamedTuple
from typing import Protocol

import msgspec
import zmq.asyncio

from endivestream import clock
from endivestream import logs
from endivestream import loop_meter
from endivestream import messages
from endivestream import tasks
from endivestream.connection import exchange as exchange_lib
from endivestream.connection import link_keys
from endivestream.connection import links
from endivestream.process import leader as leader_lib
from endivestream.process import settings as settings_lib
from endivestream.process import views
from endivestream.version import credit as credit_lib
from endivestream.version import lease_holders as lease_holders_lib
from endivestream.version import members as members_lib
from endivestream.version import protocol
from endivestream.version import replicate
from endivestream.version import state as state_lib
from endivestream.version import storage as storage_lib

# Interval and timeout of the requests to join of a replica that is no member.
_JOIN_INTERVAL_SECONDS = 0.5
# Timeout of a request to the leader. It answers within milliseconds, or within
# a few disk syncs under load.
_CALL_TIMEOUT_SECONDS = 0.6
# Delay between two attempts to reach the leader.
_CALL_RETRY_SECONDS = 0.03


class LeaderRole(Protocol):
    """Leader role of a control host."""

    def start(self) -> None:
        """Starts the leader role with the current state."""

    async def close(self) -> None:
        """Stops."""

    def applied(
        self, command: state_lib.Command, result: state_lib.Result
    ) -> None:
        """Handles a committed command."""

    async def handle(
        self, peer: bytes, message: messages.Message
    ) -> messages.Message | None:
        """Answers a message that only the leader may answer."""


class LeaderContext(NamedTuple):
    """Resources of the leader role during one term.

    Attributes:
        replicator: The leader's replica.
        push: Sends an unsolicited message to peers.
        former_leases: How long the lease of each entry host from former leaders
            lasts at most, in seconds; None for a host that renewed. None
            instead of the mapping if the hosts are unknown.
    """

    replicator: replicate.Replicator
    push: Callable[[Iterable[bytes], messages.Message], Awaitable[None]]
    former_leases: Mapping[str, float | None] | None = None


class Control:
    """Control role of a host: handles all messages that other hosts send."""

    def __init__(
        self,
        *,
        settings: settings_lib.Settings,
        context: zmq.asyncio.Context,
        pool: exchange_lib.Pool,
        on_failed: Callable[[OSError], None],
        keys: link_keys.LinkKeys | None = None,
        leader_factory: Callable[[LeaderContext], LeaderRole] | None = None,
        new_identity: str = "",
        meter: loop_meter.LoopMeter | None = None,
    ) -> None:
        """Opens no files or connections before `start`.

        Args:
            settings: The process's settings.
            context: The process's zmq context.
            pool: Connections to targets.
            on_failed: Called once the log cannot continue.
            keys: Keys of the links, if they are authenticated.
            leader_factory: Creates the leader role for a term; by default the
                one that schedules each request on the leader.
            new_identity: Identity of this replica if the data folder is new;
                random if empty.
            meter: Records the time spent on messages.
        """
        self._meter = meter or loop_meter.LoopMeter()
        self._leader_factory = leader_factory
        self._new_identity = new_identity
        self._settings = settings
        self._configured_controls = tuple(settings.peers.control)
        self._keys = keys
        self._context = context
        self._pool = pool
        self._on_failed = on_failed
        self._server = links.Server(
            address=settings.peers.address,
            handle=self._handle,
            context=context,
            keys=keys,
            meter=self._meter,
        )
        self._authenticator: link_keys.LinkAuthenticator | None = None
        if keys is not None:
            self._authenticator = link_keys.LinkAuthenticator(
                context=context,
                allowed_folder=settings.link_keys.allowed_folder,
            )
        self._replicator: replicate.Replicator | None = None
        self._leader_role: LeaderRole | None = None
        self._links: dict[str, links.Link] = {}
        self._join_task: asyncio.Task[None] | None = None
        self._close_tasks: set[asyncio.Task[None]] = set()
        # When this replica received each team's credit level, by the monotonic
        # clock.
        self._credit_received_at: dict[str, float] = {}
        self._lease_records = lease_holders_lib.ReceivedRecords()

    @property
    def address(self) -> str:
        """Address on which this host listens for other hosts."""
        return self._server.address

    @property
    def replicator(self) -> replicate.Replicator:
        """The replica of the log, after `start`."""
        assert self._replicator is not None, "not started"
        return self._replicator

    @property
    def leader_role(self) -> leader_lib.Leader | None:
        """The request-scheduling leader role, or None if not active."""
        leader_role = self._leader_role
        return (
            leader_role if isinstance(leader_role, leader_lib.Leader) else None
        )

    @property
    def live_targets(self) -> set[str]:
        """Names of targets that may get new requests; empty if not leader."""
        if self.leader_role is None:
            return set()
        live = self.leader_role.dispatcher.targets.live(time.monotonic())
        return {session.info.name for session in live}

    @property
    def levels(self) -> dict[str, float]:
        """Each team's credit in tokens; empty if not leader."""
        return self.leader_role.limiter.levels() if self.leader_role else {}

    async def start(
        self,
        *,
        form: bool,
        alone: bool = False,
        founders: Sequence[members_lib.Member] = (),
    ) -> None:
        """Reads the stored state, then joins the replication.

        Args:
            form: Whether to form a new system if the data folder is empty.
            founders: With `form`: the voters of the new system, identical on
                all of them.
            alone: Whether to continue as the only voter.

        Raises:
            storage_lib.CorruptError: The stored data is damaged.
            OSError: The stored data cannot be read, or the address cannot be
                used.
        """
        if self._authenticator is not None:
            self._authenticator.start()
        self._server.start()
        timing = self._settings.timing
        self._replicator = replicate.Replicator(
            storage=storage_lib.Storage(
                folder=pathlib.Path(self._settings.host.data_folder),
                new_identity=self._new_identity,
            ),
            name=self._settings.host.name,
            address=self.address,
            timing=protocol.Timing(
                heartbeat_seconds=timing.election_seconds / 5,
                election_seconds=timing.election_seconds,
                # Leases of two leaders do not overlap if clocks drift by
                # less than a tenth during one election timeout; the drift
                # of real clocks is far smaller.
                lease_seconds=timing.election_seconds * 0.9,
            ),
            send=self._send,
            on_applied=self._on_applied,
            on_restored=self._on_restored,
            on_leadership_changed=self._on_role,
            on_failed=self._on_failed,
        )
        if form and not founders:
            form = not await self._system_exists()
        self._replicator.start(
            bootstrap=form, sole_voter=alone, founders=founders
        )
        self._restart_credit_refill()
        self._join_task = tasks.start(self._join(), "join")

    async def _system_exists(self) -> bool:
        """Returns whether another control host already belongs to a system.

        The first host may have lost its disk and been started with the options
        of its first start. It would then form a second system with empty
        rules, without callers' keys and accepted orders (symptom: all changes
        are reverted).
        """
        for address in self._other_addresses():
            try:
                answer = await self._link(address).request(
                    messages.AskStatus(view="voters"),
                    seconds=_JOIN_INTERVAL_SECONDS,
                )
            except links.LinkDownError:
                continue
            if not isinstance(answer, messages.NotLeader) or answer.members:
                logs.warn("system_found", peer=address)
                return True
        return False

    def set_controls(self, controls: Sequence[str]) -> None:
        """Sets the control hosts named by changed settings."""
        self._configured_controls = tuple(controls)

    def _join_addresses(self) -> list[str]:
        """Returns the addresses of control hosts that may know the leader.

        All configured ones may have been replaced since the settings were
        written; the log names newer ones.
        """
        members = self.replicator.replica.members.all
        known = (*self._configured_controls, *(m.address for m in members))
        return [a for a in dict.fromkeys(known) if a != self.address]

    def _other_addresses(self) -> list[str]:
        return [a for a in self._configured_controls if a != self.address]

    async def close(self) -> None:
        """Stops all parts in reverse order of their start."""
        await tasks.cancel([self._join_task])
        if self._replicator is not None:
            await self._replicator.close()
        self._on_role(False)
        for task in list(self._close_tasks):
            await task
        for link in self._links.values():
            await link.close()
        await self._server.close()
        if self._authenticator is not None:
            self._authenticator.close()

    def _on_role(self, leads: bool) -> None:
        if self._leader_role is not None:
            task = asyncio.create_task(self._leader_role.close())
            self._close_tasks.add(task)
            task.add_done_callback(self._close_tasks.discard)
            self._leader_role = None
        if leads:
            self._leader_role = self._create_leader_role()
            self._leader_role.start()

    def _create_leader_role(self) -> LeaderRole:
        if self._leader_factory is not None:
            return self._leader_factory(
                LeaderContext(
                    self.replicator,
                    self._server.push,
                    self._lease_records.remaining(
                        self.replicator.state.lease_holders.seconds, clock.now()
                    ),
                )
            )
        return leader_lib.Leader(
            settings=self._settings,
            replicator=self.replicator,
            pool=self._pool,
            push=self._server.push,
            credit_received_at=self._credit_received_at,
        )

    def _on_restored(self) -> None:
        self._restart_credit_refill()
        self._lease_records.clear()

    def _restart_credit_refill(self) -> None:
        """Restarts the credit refill of all teams at the current time.

        Levels from a snapshot or from the disk replace levels received
        earlier. If the refill counted from the earlier time, a new low level
        would grow too much.
        """
        levels = self.replicator.state.credit.levels
        self._credit_received_at.update(dict.fromkeys(levels, time.monotonic()))

    def _on_applied(
        self, command: state_lib.Command, result: state_lib.Result
    ) -> None:
        if isinstance(command, credit_lib.ReserveCredit):
            now = time.monotonic()
            self._credit_received_at.update(dict.fromkeys(command.levels, now))
        if isinstance(command, lease_holders_lib.RecordLeaseHolders):
            self._lease_records.update(
                self.replicator.state.lease_holders.seconds, clock.now()
            )
        if self._leader_role is not None:
            self._leader_role.applied(command, result)

    async def call(
        self,
        message: messages.Message,
        *,
        seconds: float,
        attempt_seconds: float = _CALL_TIMEOUT_SECONDS,
    ) -> messages.Message | None:
        """Returns the leader's answer to a message.

        Finds the leader first. The message must be idempotent, because it is
        sent again if its answer is lost together with a leader.

        Args:
            message: The request.
            seconds: Timeout for finding a leader that answers.
            attempt_seconds: Time after which a leader that does not answer gets
                the message again.

        Returns:
            The answer, or None after the timeout.
        """
        deadline = clock.now() + seconds
        while (remaining := deadline - clock.now()) > 0:
            answer = await self._call_once(
                message, min(remaining, attempt_seconds)
            )
            if not isinstance(
                answer, messages.NotLeader | messages.Lost | None
            ):
                return answer
            await asyncio.sleep(min(remaining, _CALL_RETRY_SECONDS))
        return None

    async def _call_once(
        self, message: messages.Message, seconds: float
    ) -> messages.Message | None:
        if self.replicator.is_leader:
            return await self._handle(b"", message)
        address = self.replicator.leader_address
        if not address:
            return None
        try:
            return await self._link(address).request(message, seconds=seconds)
        except links.LinkDownError as error:
            logs.warn("leader_unanswered", peer=address, why=error)
            return None

    def _link(self, address: str) -> links.Link:
        link = self._links.get(address)
        if link is None:
            link = links.Link(
                address=address,
                context=self._context,
                on_push=lambda message: None,
                silence=self._settings.peers.silence_seconds,
                keys=self._keys,
                meter=self._meter,
            )
            link.start()
            self._links[address] = link
        return link

    async def _send(
        self, to: str, address: str, message: protocol.Message
    ) -> None:
        await self._link(address).send(
            messages.Agreement(
                to=to,
                sender=self.replicator.identity,
                address=self.address,
                body=message,
            )
        )

    async def _join(self) -> None:
        """Requests to join while this replica may be no member."""
        attempt = 0
        is_removal_suspected = False
        while True:
            await asyncio.sleep(_JOIN_INTERVAL_SECONDS)
            replica = self.replicator.replica
            if not replica.needs_admission:
                is_removal_suspected = False
                continue
            is_named = replica.members.find(self.replicator.identity)
            if is_named and not is_removal_suspected:
                is_removal_suspected = True
                logs.event(
                    "membership_unconfirmed",
                    index=replica.last_index,
                    leader_silence=replica.seconds_since_leader,
                )
            others = self._join_addresses()
            if not others:
                continue
            address = others[attempt % len(others)]
            attempt += 1
            try:
                answer = await self._link(address).request(
                    messages.Join(member=self.replicator.own_member),
                    seconds=_JOIN_INTERVAL_SECONDS,
                )
                leader = getattr(answer, "address", "")
                if leader:
                    await self._link(leader).request(
                        messages.Join(member=self.replicator.own_member),
                        seconds=_JOIN_INTERVAL_SECONDS,
                    )
            except links.LinkDownError as error:
                logs.warn("join_unanswered", peer=address, why=error)

    async def _handle(
        self, peer: bytes, message: messages.Message
    ) -> messages.Message | None:
        if isinstance(message, messages.Agreement):
            if message.to == self.replicator.identity:
                await self.replicator.receive(
                    message.sender, message.address, message.body
                )
            return None
        leader_role = self._leader_role
        if leader_role is None or not self.replicator.is_leader:
            address = self.replicator.leader_address
            members = len(self.replicator.replica.members.all)
            return messages.NotLeader(address=address, members=members)
        try:
            match message:
                case messages.AskStatus() if self.leader_role is None:
                    return messages.Status(body=b"{}")
                case messages.Propose(command=command):
                    result = await self.replicator.propose(command)
                    return messages.Committed(result=result)
                case messages.AskStatus(view=name, version=version):
                    view_data = views.view(
                        name,
                        version=version,
                        host=self._settings.host.name,
                        replicator=self.replicator,
                        leader_role=self.leader_role,
                    )
                    return messages.Status(body=msgspec.json.encode(view_data))
                case _:
                    answer = await leader_role.handle(peer, message)
                    if not self.replicator.is_leader:
                        # While the handler waited, perhaps with the process
                        # suspended, another host became leader. Credit or a
                        # slot on a target granted here would be granted twice.
                        return messages.NotLeader(address="")
                    return answer
        except replicate.NotLeaderError as error:
            return messages.NotLeader(address=error.address)
        except (replicate.LeadershipLostError, OSError):
            return messages.Lost()
