"""The control role: a replica of the log, and leadership while it has it."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Iterable
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
from endivestream.process import leading as leading_lib
from endivestream.process import settings as settings_lib
from endivestream.process import views
from endivestream.version import credit as credit_lib
from endivestream.version import members as members_lib
from endivestream.version import protocol
from endivestream.version import replicate
from endivestream.version import state as state_lib
from endivestream.version import storage as storage_lib

# How often a replica that is no member asks to become one.
_JOIN_SECONDS = 0.5
# A leader answers within milliseconds, or a few disk syncs under load.
_CALL_SECONDS = 0.6
# Between two looks for a leader.
_CALL_AGAIN_SECONDS = 0.03


class Leading(Protocol):
    """What a control host does while it leads."""

    def start(self) -> None:
        """Takes the lead over the state as it stands."""

    async def close(self) -> None:
        """Stops."""

    def applied(
        self, command: state_lib.Command, result: state_lib.Result
    ) -> None:
        """Follows a commit."""

    async def handle(
        self, peer: bytes, message: messages.Message
    ) -> messages.Message | None:
        """Answers a message that only the leader may answer."""


class Lead(NamedTuple):
    """What a term of leadership is made of.

    Attributes:
        replicator: The replica that leads.
        push: Sends a message that was not asked for to peers.
    """

    replicator: replicate.Replicator
    push: Callable[[Iterable[bytes], messages.Message], Awaitable[None]]


class Control:
    """Answers all messages that hosts send to a control host."""

    def __init__(
        self,
        *,
        settings: settings_lib.Settings,
        context: zmq.asyncio.Context,
        pool: exchange_lib.Pool,
        on_failed: Callable[[OSError], None],
        keys: link_keys.LinkKeys | None = None,
        lead: Callable[[Lead], Leading] | None = None,
        new_identity: str = "",
        meter: loop_meter.LoopMeter | None = None,
    ) -> None:
        """Does not open anything yet.

        Args:
            settings: The process's settings.
            context: The process's zmq context.
            pool: Connections to targets.
            on_failed: Called once the log cannot go on.
            keys: Keys of the links, if they are authenticated.
            lead: Makes what this host does while it leads; by default the
                parts of a host that schedules each request.
            new_identity: Who this replica is in a new folder; random if empty.
            meter: Counts what its messages cost.
        """
        self._meter = meter or loop_meter.LoopMeter()
        self._lead = lead
        self._new_identity = new_identity
        self._settings = settings
        self._named = tuple(settings.peers.control)
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
        self._doorkeeper: link_keys.Doorkeeper | None = None
        if keys is not None:
            self._doorkeeper = link_keys.Doorkeeper(
                context=context,
                allowed_folder=settings.link_keys.allowed_folder,
            )
        self._replicator: replicate.Replicator | None = None
        self._leading: Leading | None = None
        self._links: dict[str, links.Link] = {}
        self._joining: asyncio.Task[None] | None = None
        self._closing: set[asyncio.Task[None]] = set()
        # When this replica heard of each team's level, by a steady clock.
        self._credit_heard: dict[str, float] = {}

    @property
    def address(self) -> str:
        """Where it listens for other hosts."""
        return self._server.address

    @property
    def replicator(self) -> replicate.Replicator:
        """The replica of the log, after `start`."""
        assert self._replicator is not None, "not started"
        return self._replicator

    @property
    def leading(self) -> leading_lib.Leading | None:
        """What it leads, or None while it does not lead."""
        leading = self._leading
        return leading if isinstance(leading, leading_lib.Leading) else None

    @property
    def live_targets(self) -> set[str]:
        """Names of targets that may get new work; empty if it leads not."""
        if self.leading is None:
            return set()
        live = self.leading.dispatcher.targets.live(time.monotonic())
        return {session.info.name for session in live}

    @property
    def levels(self) -> dict[str, float]:
        """Each team's credit in tokens; empty if it leads not."""
        return self.leading.limiter.levels() if self.leading else {}

    async def start(
        self,
        *,
        form: bool,
        alone: bool = False,
        founders: Sequence[members_lib.Member] = (),
    ) -> None:
        """Reads the state back, then takes part.

        Args:
            form: Whether to form a new system in an empty folder.
            founders: With `form`: its voters, the same on all of them.
            alone: Whether to go on as the only voter.

        Raises:
            storage_lib.CorruptError: The stored data is damaged.
            OSError: It cannot be read, or the address cannot be used.
        """
        if self._doorkeeper is not None:
            self._doorkeeper.start()
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
                heartbeat=timing.election_seconds / 5,
                election=timing.election_seconds,
                # Clocks that differ by less than a tenth in one election
                # time keep leases apart; real ones differ by far less.
                lease=timing.election_seconds * 0.9,
            ),
            send=self._send,
            on_applied=self._applied,
            on_restored=self._hear_credit_anew,
            on_role=self._on_role,
            on_failed=self._on_failed,
        )
        if form and not founders:
            form = not await self._finds_system()
        self._replicator.start(form=form, alone=alone, founders=founders)
        self._hear_credit_anew()
        self._joining = tasks.start(self._join(), "join")

    async def _finds_system(self) -> bool:
        """Tells whether another control host belongs to a system.

        The first host may have lost its disk and be started as it first was:
        it would form a second system with empty rules, and callers' keys and
        accepted orders would be gone (symptom: everything reverts).
        """
        for address in self._others():
            try:
                answer = await self._link(address).request(
                    messages.AskStatus(view="voters"), seconds=_JOIN_SECONDS
                )
            except links.LinkDownError:
                continue
            if not isinstance(answer, messages.NotLeader) or answer.members:
                logs.warn("system_found", peer=address)
                return True
        return False

    def set_controls(self, controls: Sequence[str]) -> None:
        """Takes over the control hosts that changed settings name."""
        self._named = tuple(controls)

    def _others(self) -> list[str]:
        return [a for a in self._named if a != self.address]

    async def close(self) -> None:
        """Stops in the reverse order."""
        await tasks.cancel([self._joining])
        if self._replicator is not None:
            await self._replicator.close()
        self._on_role(False)
        for task in list(self._closing):
            await task
        for link in self._links.values():
            await link.close()
        await self._server.close()
        if self._doorkeeper is not None:
            self._doorkeeper.close()

    def _on_role(self, leads: bool) -> None:
        if self._leading is not None:
            task = asyncio.create_task(self._leading.close())
            self._closing.add(task)
            task.add_done_callback(self._closing.discard)
            self._leading = None
        if leads:
            self._leading = self._make_leading()
            self._leading.start()

    def _make_leading(self) -> Leading:
        if self._lead is not None:
            return self._lead(Lead(self.replicator, self._server.push))
        return leading_lib.Leading(
            settings=self._settings,
            replicator=self.replicator,
            pool=self._pool,
            push=self._server.push,
            credit_heard=self._credit_heard,
        )

    def _hear_credit_anew(self) -> None:
        """Counts the refill of all teams from now.

        What came in a snapshot or from the disk replaced levels heard of
        earlier; refilled from then, a new low level would grow too much.
        """
        levels = self.replicator.state.credit.levels
        self._credit_heard.update(dict.fromkeys(levels, time.monotonic()))

    def _applied(
        self, command: state_lib.Command, result: state_lib.Result
    ) -> None:
        if isinstance(command, credit_lib.SetAside):
            now = time.monotonic()
            self._credit_heard.update(dict.fromkeys(command.levels, now))
        if self._leading is not None:
            self._leading.applied(command, result)

    async def call(
        self, message: messages.Message, *, seconds: float
    ) -> messages.Message | None:
        """Has the leader answer a message, whichever host leads.

        The message must be one that may be handled twice: its answer can be
        lost together with the leader.

        Args:
            message: What to ask.
            seconds: How long to look for a leader that answers.

        Returns:
            The answer, or None if there was none in time.
        """
        until = clock.now() + seconds
        while (left := until - clock.now()) > 0:
            answer = await self._call_once(message, left)
            if not isinstance(
                answer, messages.NotLeader | messages.Lost | None
            ):
                return answer
            await asyncio.sleep(min(left, _CALL_AGAIN_SECONDS))
        return None

    async def _call_once(
        self, message: messages.Message, left: float
    ) -> messages.Message | None:
        if self.replicator.leads:
            return await self._handle(b"", message)
        address = self.replicator.leader_address
        if not address:
            return None
        try:
            return await self._link(address).request(
                message, seconds=min(left, _CALL_SECONDS)
            )
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
        """Asks to be let in for as long as it is no member."""
        turn = 0
        while True:
            await asyncio.sleep(_JOIN_SECONDS)
            if self.replicator.replica.members.find(self.replicator.identity):
                continue
            others = self._others()
            if not others:
                continue
            address = others[turn % len(others)]
            turn += 1
            try:
                answer = await self._link(address).request(
                    messages.Join(member=self.replicator.me),
                    seconds=_JOIN_SECONDS,
                )
                leader = getattr(answer, "address", "")
                if leader:
                    await self._link(leader).request(
                        messages.Join(member=self.replicator.me),
                        seconds=_JOIN_SECONDS,
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
        leading = self._leading
        if leading is None or not self.replicator.leads:
            address = self.replicator.leader_address
            members = len(self.replicator.replica.members.all)
            return messages.NotLeader(address=address, members=members)
        try:
            match message:
                case messages.AskStatus() if self.leading is None:
                    return messages.Status(body=b"{}")
                case messages.Propose(command=command):
                    result = await self.replicator.propose(command)
                    return messages.Committed(result=result)
                case messages.AskStatus(view=name, version=version):
                    shown = views.view(
                        name,
                        version=version,
                        host=self._settings.host.name,
                        replicator=self.replicator,
                        leading=self.leading,
                    )
                    return messages.Status(body=msgspec.json.encode(shown))
                case _:
                    answer = await leading.handle(peer, message)
                    if not self.replicator.leads:
                        # It waited, perhaps frozen, and another leads by now:
                        # credit or a place given here would be given twice.
                        return messages.NotLeader(address="")
                    return answer
        except replicate.NotLeaderError as error:
            return messages.NotLeader(address=error.address)
        except (replicate.LostError, OSError):
            return messages.Lost()
