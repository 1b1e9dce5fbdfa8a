"""What the leading control host of a site does: it tells all others.

It holds the tables of entry hosts and targets, the teams' buckets and the
planner. All of that is soft: a new leader's tables fill from the heartbeats of
hosts and targets, and until they are complete nobody takes them as such.
Configuration is in the log.
"""

from __future__ import annotations

import asyncio
from collections.abc import Iterable
import dataclasses

import msgspec

from endivestream import clock
from endivestream import logs
from endivestream import loop_meter
from endivestream import messages
from endivestream import site_messages
from endivestream import tasks
from endivestream.connection import addresses
from endivestream.connection import registry as registry_lib
from endivestream.process import bank as bank_lib
from endivestream.process import confirmations as confirmations_lib
from endivestream.process import control as control_lib
from endivestream.process import seat_desk
from endivestream.process import site_settings
from endivestream.process import steward as steward_lib
from endivestream.process import table_news
from endivestream.request import rate_limits as rate_limits_lib
from endivestream.request import repeats as repeats_lib
from endivestream.request import send_slots
from endivestream.version import departures as departures_lib
from endivestream.version import document as document_lib
from endivestream.version import state as state_lib

_SWEEP_SECONDS = 0.1
# Reports that a target may miss before it counts as silent: one may be lost
# and the next late.
_SILENT_REPORTS = 2.5
# A target that is silent for so long is forgotten. Long, because it may still
# serve hosts that reach it while its reports do not reach us.
_FORGET_SECONDS = 20.0
# Renewals that an entry host may miss before callers are sent elsewhere.
_SILENT_RENEWALS = 4
# A configuration that was pushed so long ago and is not in force at the host
# goes along with its next renewal. Before, it is on its way.
_PUSH_SECONDS = 0.5
# A voter that is silent for so long gives its place to a caught-up spare.
_REPLACE_SECONDS = 1.5


@dataclasses.dataclass(kw_only=True)
class _Session:
    """An entry host, as the leader has it.

    Attributes:
        host: What it says of itself.
        peer: Its socket's identity.
        heard: When it renewed last.
        position: The table that it has.
        relay: Name of the relay that it follows, or empty.
        reported_teams: Teams named in its last renewal.
    """

    host: site_messages.EntryHost
    peer: bytes
    heard: float
    position: site_messages.Position
    relay: str = ""
    reported_teams: frozenset[str] = frozenset()


class SiteLeading:
    """One term of leadership."""

    def __init__(
        self,
        *,
        settings: site_settings.SiteSettings,
        lead: control_lib.Lead,
        meter: loop_meter.LoopMeter | None = None,
    ) -> None:
        self._settings = settings
        self._meter = meter or loop_meter.LoopMeter()
        self._replicator = lead.replicator
        self._began = clock.now()
        self._complete = False
        self._registry = registry_lib.Registry()
        for name, born in lead.replicator.state.departures.born.items():
            self._registry.leave(name, self._began, born)
        self._silent: set[str] = set()
        self._sessions: dict[str, _Session] = {}
        self._entries: tuple[site_messages.EntryHost, ...] = ()
        self._bank = bank_lib.Bank()
        self._repeats: dict[str, repeats_lib.SharedRepeatBudget] = {}
        self._limits = rate_limits_lib.RateLimits()
        self._send_slots = send_slots.SendSlots(now=self._began)
        self._steward = steward_lib.Steward(
            replicator=lead.replicator,
            wanted=settings.voters,
            replace_seconds=_REPLACE_SECONDS,
            superseded_seconds=_REPLACE_SECONDS,
        )
        self._seat = seat_desk.SeatDesk(
            host=settings.machine,
            replicator=lead.replicator,
            pause=settings.bounds.lease,
            sessions=lambda: self._registry.sessions,
            changed=self._targets_changed,
        )
        self._tasks: list[asyncio.Task[None]] = []
        self._push = lead.push
        self._pushing: set[asyncio.Task[None]] = set()
        self._loads_pushed_at = self._began
        self._news = table_news.TableNews(
            term=lead.replicator.term,
            push=lead.push,
            peers=lambda: [s.peer for s in self._sessions.values()],
            direct_peers=lambda: [
                s.peer for s in self._sessions.values() if not self._relay_of(s)
            ],
            target=self._target,
            whole=self._whole_table,
            limits=lambda names: self._limits.records(clock.now(), names),
        )
        self._confirmations = confirmations_lib.Confirmations(
            lease=settings.lease_seconds,
            version=lead.replicator.state.document.version,
            positions=lambda: [s.position for s in self._sessions.values()],
        )

    @property
    def _renew_seconds(self) -> float:
        """Seconds between renewals of an entry host."""
        return self._settings.renew_seconds_for(len(self._sessions))

    @property
    def _document(self) -> document_lib.Document | None:
        return self._replicator.state.document.current

    def start(self) -> None:
        """Takes the lead over the state as it stands."""
        if self._document is not None:
            self._take_document(self._document, full=False)
        self._steward.start()
        self._news.start()
        self._tasks = [tasks.start(self._sweep(), "sweep")]

    async def close(self) -> None:
        """Stops; what waits here ends by its own time limit."""
        await tasks.cancel((*self._tasks, *self._pushing))
        await self._news.close()
        await self._steward.close()

    def applied(
        self, command: state_lib.Command, result: state_lib.Result
    ) -> None:
        """Follows a commit: credit, pushes to all entry hosts."""
        match command, result:
            case (
                document_lib.ApplyDocument(document=document),
                document_lib.DocumentApplied(changed=True),
            ):
                logs.event(
                    "configuration",
                    version=document.version,
                    routes=len(document.routes),
                    teams=len(document.teams),
                )
                self._take_document(document, full=True)
                self._confirmations.committed(document.version, self._sessions)
                self._news.tell_at_once(document)

    def _take_document(
        self, document: document_lib.Document, *, full: bool
    ) -> None:
        self._bank.set_teams(document.teams, clock.now(), full=full)

    async def handle(
        self, peer: bytes, message: messages.Message
    ) -> messages.Message | None:
        """Answers a message that only the leader may answer."""
        match message:
            case site_messages.Renew():
                return self._renew(peer, message)
            case site_messages.AskCredit(host=host, asked=asked):
                grants = tuple(self._grant(host, each) for each in asked)
                return site_messages.GiveCredit(grants=grants)
            case site_messages.AskRepeat(service=service):
                return self._give_repeat(service)
            case site_messages.AskSend():
                return self._give_send(message)
            case site_messages.CountSend(target=target):
                self._count_send(target)
                return None
            case site_messages.Confirm():
                self._note(message.host, message.version, message.position)
                return None
            case site_messages.Missing():
                self._seat.missing(message)
                return None
            case site_messages.AskSeat():
                return await self._seat.ask(message)
            case site_messages.TellNotices():
                self._seat.told(message)
                return site_messages.Registered()
            case site_messages.Apply(document=document):
                return await self._apply(document)
            case site_messages.AskVersion():
                held = self._replicator.state.document
                return site_messages.ToldVersion(version=held.version)
            case site_messages.ReadDocument():
                held = self._document
                source = held.source if held else b""
                return site_messages.DocumentRead(source=source)
            case site_messages.Register(said=said):
                self._register(said)
                if said.draining:
                    await self._wait_for_leave(said.name)
                else:
                    self._confirmations.stays(said.name)
                return site_messages.Registered()
            case site_messages.Deregister(name=name):
                await self._depart(name)
                return site_messages.Registered()
            case messages.Join(member=member):
                self._steward.join(member)
                return messages.Noted()
            case _:
                logs.warn("unexpected", message=type(message).__name__)
        return None

    def _give_repeat(
        self, service: str
    ) -> site_messages.GiveRepeat | messages.NotLeader:
        if not self._replicator.leads:
            # Another leader may already grant from the same fixed number.
            return messages.NotLeader(address="")
        budget = self._repeats.get(service)
        if budget is None:
            bounds = self._settings.bounds
            budget = self._repeats[service] = repeats_lib.SharedRepeatBudget(
                window=bounds.repeat_window,
                slack=bounds.repeat_slack,
                now=self._began,
            )
        granted = budget.spend(clock.now(), hosts=len(self._sessions))
        return site_messages.GiveRepeat(granted=granted)

    def _give_send(
        self, message: site_messages.AskSend
    ) -> site_messages.GiveSend | messages.NotLeader:
        if not self._replicator.leads:
            # Another leader may already grant sends to the same target.
            return messages.NotLeader(address="")
        now = clock.now()
        asked = message.limit
        self._merge_limits([asked])
        rate = self._limits.rate(asked.target, asked.born)
        if rate is None:
            # It has ended, or is of another start; the push is on its way.
            return site_messages.GiveSend(wait=0.0)
        given = self._send_slots.take(
            asked.target,
            asked.born,
            rate,
            hosts=len(self._sessions),
            patience=message.patience,
            now=now,
        )
        match given:
            case send_slots.Granted(wait=wait):
                return site_messages.GiveSend(wait=wait)
            case send_slots.Denied(seconds=seconds):
                return site_messages.GiveSend(again=seconds)

    def _count_send(self, target: str) -> None:
        born = self._registry.born(target)
        rate = None if born is None else self._limits.rate(target, born)
        if rate is not None:
            self._send_slots.spent(target, born, rate, clock.now())

    def _merge_limits(self, limits: Iterable[site_messages.RateLimit]) -> None:
        """Takes in what entry hosts know of targets' limits."""
        current = [
            limit
            for limit in limits
            if limit.born >= (self._registry.born(limit.target) or 0)
        ]
        changed = self._limits.merge(current, clock.now())
        if not changed:
            return
        for name in changed:
            rate = self._limits.rates.get(name)
            logs.event(
                "rate_limit",
                target=name,
                rate="none" if rate is None else rate,
                told_by="host",
            )
        self._seat.set_limits(self._limits.rates)
        # A target that has not reported to this leader yet would be told as
        # gone.
        known = [name for name in changed if self._registry.find(name)]
        if known:
            self._news.note_targets(known)

    def _grant(
        self, host: str, asked: site_messages.CreditAsk
    ) -> site_messages.Grant:
        need = asked.need
        grant = self._bank.ask(
            host,
            need,
            clock.now(),
            soon=asked.soon,
            patience=asked.patience,
        )
        if grant is None:
            # This leader has no such limit (yet): nothing is short.
            grant = site_messages.Grant(need.team, need.wanted, 0.0, 0.0)
        return grant

    async def _apply(
        self, document: document_lib.Document
    ) -> site_messages.Applied:
        held = self._replicator.state.document
        version = held.version
        if document.version > version:
            result = await self._replicator.propose(
                document_lib.ApplyDocument(document=document)
            )
            assert isinstance(result, document_lib.DocumentApplied), result
            version = result.version
        # Otherwise committed already, or overtaken: nothing to write.
        await self._confirmations.wait_for_configuration(
            bound=self._settings.bounds.config
        )
        return site_messages.Applied(version=version)

    # Targets.

    async def _depart(self, name: str) -> None:
        """Tells entry hosts that a target leaves, then commits it.

        Entry hosts may know it from the leader before, so they are told also
        where this one has not heard of it.
        """
        born = self._registry.born(name)
        known = self._registry.leave(name, clock.now())
        logs.event("target_left", target=name, born=born, known=known)
        self._targets_changed([name])
        await self._replicator.propose(
            departures_lib.Depart(name=name, born=born)
        )
        await self._wait_for_leave(name)

    async def _wait_for_leave(self, name: str) -> None:
        await self._confirmations.wait_for_leave(
            name, self._news.position, bound=self._settings.bounds.drain
        )

    def _register(self, said: registry_lib.Registration) -> None:
        now = clock.now()
        known = self._registry.find(said.name)
        changed = self._registry.note(said, now)
        if not changed:
            return
        self._seat.reported(said)
        if self._limits.forget_before(said.name, said.born):
            self._seat.set_limits(self._limits.rates)
        if said.name in self._silent:
            self._silent.discard(said.name)
        elif known is not None and _same(known.said, said):
            changed.remove(said.name)
        if known is None or known.said.draining != said.draining:
            logs.event(
                "target",
                target=said.name,
                service=said.service,
                address=said.address,
                draining=said.draining,
                models=",".join(loaded.model for loaded in said.loaded),
                in_memory=",".join(said.in_memory),
                on_disk=",".join(said.on_disk),
            )
        if changed:
            self._targets_changed(changed)

    def _target(self, name: str) -> site_messages.Target | None:
        session = self._registry.find(name)
        if session is None:
            return None
        # Only placement uses the location of weights; leaving it out makes
        # pushes smaller.
        said = msgspec.structs.replace(session.said, in_memory=(), on_disk=())
        notice = self._seat.notice(said.name)
        return site_messages.Target(
            said=said,
            closing=notice.closing,
            adapters=notice.adapters,
            silent=said.name in self._silent,
            coming=notice.coming,
        )

    def _targets_changed(self, names: Iterable[str]) -> None:
        """Has everyone told of a change of some targets."""
        names = list(names)
        self._silent -= {n for n in names if self._registry.find(n) is None}
        self._seat.set_targets(self._silent, complete=self._complete)
        self._news.note_targets(names)

    def _whole_table(self) -> table_news.Table:
        targets = map(self._target, self._registry.sessions)
        return table_news.Table(
            targets=tuple(t for t in targets if t is not None),
            gone=self._registry.departed,
            complete=self._complete,
        )

    # Entry hosts.

    def _renew(
        self, peer: bytes, message: site_messages.Renew
    ) -> site_messages.Renewed | messages.NotLeader:
        now = clock.now()
        host = message.host
        session = self._sessions.get(host.name)
        if session is None or session.host != host:
            logs.event(
                "entry_host",
                peer=host.name,
                address=host.address,
                draining=host.draining,
                new=session is None,
            )
        reported_teams = frozenset(need.team for need in message.needs)
        if session is not None:
            self._bank.forget_teams(
                host.name, session.reported_teams - reported_teams
            )
        self._sessions[host.name] = _Session(
            host=host,
            peer=peer,
            heard=now,
            position=message.position,
            relay=message.relay,
            reported_teams=reported_teams,
        )
        self._note(host.name, message.version, message.position)
        # Before anything is pushed to this host: it may know of limits that
        # only the leader before was told of.
        self._merge_limits(message.limits)
        self._seat.renewed(message)
        grants = [
            self._bank.report(host.name, need, now) for need in message.needs
        ]
        was_pushed_to = session is not None and session.peer == peer
        return self._renewed(message, grants, was_pushed_to=was_pushed_to)

    def _renewed(
        self,
        message: site_messages.Renew,
        grants: list[site_messages.Grant | None],
        *,
        was_pushed_to: bool,
    ) -> site_messages.Renewed | messages.NotLeader:
        if not self._replicator.leads:
            # Another may lead and have accepted a newer configuration.
            return messages.NotLeader(address="")
        document = self._document
        version = document.version if document else 0
        news = self._news.since(message.position)
        since_push = clock.now() - self._confirmations.rollout_begun
        is_coming = was_pushed_to and since_push < _PUSH_SECONDS
        if message.version < version and not is_coming:
            position = message.position
            news = news or site_messages.News(position=position, after=position)
            news = msgspec.structs.replace(news, document=document)
        members = self._replicator.replica.members.all
        controls = tuple(member.address for member in members)
        if addresses.digest(controls) == message.controls:
            controls = ()
        is_relayed = self._relay_of(self._sessions[message.host.name])
        loads = None if is_relayed else self._seat.loads(message.host.name)
        return site_messages.Renewed(
            seconds=self._settings.lease_seconds,
            version=version,
            news=news,
            grants=tuple(grant for grant in grants if grant is not None),
            controls=controls,
            loads=loads,
            every=self._renew_seconds,
        )

    def _relay_of(self, session: _Session) -> str:
        """Returns the relay that a host receives pushes from, or empty.

        A host that has stopped renewing, or that follows another one, does
        not count as a relay: it forwards nothing.
        """
        relay = self._sessions.get(session.relay)
        if relay is None or relay.relay:
            return ""
        silence = _SILENT_RENEWALS * self._renew_seconds
        return session.relay if clock.now() - relay.heard <= silence else ""

    def _note(
        self, host: str, version: int, position: site_messages.Position
    ) -> None:
        """Notes what an entry host acts on."""
        session = self._sessions.get(host)
        if session is not None:
            session.position = max(session.position, position)
        self._confirmations.confirmed(host, version)

    def _refresh_entries(self, now: float) -> None:
        """Has everyone told when the entry hosts are others than before."""
        silence = _SILENT_RENEWALS * self._renew_seconds
        live = tuple(
            session.host
            for _, session in sorted(self._sessions.items())
            if now - session.heard <= silence
        )
        if self._complete and live != self._entries:
            self._entries = live
            self._news.note_entries(live)

    # Time.

    async def _sweep(self) -> None:
        while True:
            await asyncio.sleep(_SWEEP_SECONDS)
            with self._meter.span("sweep"):
                self._sweep_once(clock.now())

    def _sweep_once(self, now: float) -> None:
        self._forget_hosts(now)
        self._note_silence(now)
        if not self._complete and now - self._began > self._settle_seconds:
            self._complete = True
            self._news.note_whole()
            self._seat.set_targets(self._silent, complete=True)
        self._refresh_entries(now)
        self._push_loads(now)

    def _push_loads(self, now: float) -> None:
        """Pushes the loads of all targets to relays that have followers."""
        if now < self._loads_pushed_at + self._settings.renew_seconds:
            return
        self._loads_pushed_at = now
        names = {self._relay_of(s) for s in self._sessions.values()}
        peers = [self._sessions[name].peer for name in names if name]
        if peers:
            loads = site_messages.Loads(loads=self._seat.all_loads())
            task = tasks.start(self._push(peers, loads), "push_loads")
            self._pushing.add(task)
            task.add_done_callback(self._pushing.discard)

    @property
    def _settle_seconds(self) -> float:
        """After so long every sound host and target has been heard of."""
        return 1.5 * self._settings.report + self._settings.renew_seconds

    def _forget_hosts(self, now: float) -> None:
        for name, session in list(self._sessions.items()):
            if now - session.heard > self._settings.lease_seconds:
                del self._sessions[name]
                self._confirmations.forget_host(name)
                self._bank.forget(name)
                self._seat.forget_host(name)
                logs.warn("entry_host_gone", peer=name)

    def _note_silence(self, now: float) -> None:
        silence = _SILENT_REPORTS * self._settings.report
        changed = self._registry.expire(now, silence=_FORGET_SECONDS)
        sessions = self._registry.sessions
        known = {*sessions, *self._registry.departed}
        self._news.forget_all_but(known)
        self._confirmations.forget_all_but(known)
        self._limits.forget(sessions.keys(), now)
        self._send_slots.forget(self._limits.rates)
        for name, session in sessions.items():
            if now - session.heard > silence and name not in self._silent:
                logs.warn("target_silent", target=name)
                self._silent.add(name)
                changed.append(name)
        if changed:
            self._targets_changed(changed)


def _same(
    before: registry_lib.Registration, after: registry_lib.Registration
) -> bool:
    """Whether a report says nothing that entry hosts act on."""
    ignored = {"number": 0, "warm_in": 0.0, "in_memory": (), "on_disk": ()}
    same = msgspec.structs.replace(
        before, **ignored
    ) == msgspec.structs.replace(after, **ignored)
    return same and (before.warm_in > 0) == (after.warm_in > 0)
