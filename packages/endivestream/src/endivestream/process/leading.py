"""What a control host does while it leads: leases, limits, places, orders.

Its tables are soft: a new leader starts with empty ones, which fill from
renewals and reports. Teams' credit goes on from the level in the log.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Iterable
import contextlib
import time

from endivestream import findings
from endivestream import logs
from endivestream import messages
from endivestream import tasks
from endivestream.connection import exchange as exchange_lib
from endivestream.process import dispatcher as dispatcher_lib
from endivestream.process import limiter as limiter_lib
from endivestream.process import placer as placer_lib
from endivestream.process import settings as settings_lib
from endivestream.process import steward as steward_lib
from endivestream.version import calls as calls_lib
from endivestream.version import configuration as configuration_lib
from endivestream.version import credit as credit_lib
from endivestream.version import replicate
from endivestream.version import rules as rules_lib
from endivestream.version import state as state_lib
from endivestream.version import watchers as watchers_lib

# How often answers of calls that outlived their time are dropped.
_EXPIRE_SECONDS = 60.0


class Leading:
    """One term of leadership.

    Attributes:
        limiter: The teams' credit.
        dispatcher: Targets and places on them.
        placer: Placement.
        watchers: Leases of gateways.
    """

    def __init__(
        self,
        *,
        settings: settings_lib.Settings,
        replicator: replicate.Replicator,
        pool: exchange_lib.Pool,
        push: Callable[[Iterable[bytes], messages.Message], Awaitable[None]],
        credit_heard: dict[str, float],
    ) -> None:
        timing = settings.timing
        self._settings = settings
        self._replicator = replicator
        self._push = push
        self._credit_heard = credit_heard
        self.limiter = limiter_lib.Limiter(set_aside=self._set_aside)
        self.dispatcher = dispatcher_lib.Dispatcher(
            silence_seconds=timing.target_silence_seconds,
            settle_seconds=1.5 * timing.report_seconds,
        )
        self.placer = placer_lib.Placer(
            replicator=replicator,
            targets=self.dispatcher.targets,
            pool=pool,
            plan_seconds=timing.plan_seconds,
            loads_at_once=settings.weight_store.loads_at_once,
            loads_per_second=settings.weight_store.loads_per_second,
        )
        self.steward = steward_lib.Steward(
            replicator=replicator,
            wanted=settings.peers.voters,
            replace_seconds=settings.peers.replace_voter_seconds,
        )
        self.watchers = watchers_lib.Watchers(
            lease_seconds=timing.lease_seconds,
            silence_seconds=timing.host_silence_seconds,
            now=time.monotonic(),
        )
        self._tasks: list[asyncio.Task[None]] = []
        self._pushing: set[asyncio.Task[None]] = set()

    def start(self) -> None:
        """Takes the lead over the state as it stands."""
        teams = dict(self._replicator.state.configuration.rules.teams)
        self.limiter.set_teams(teams, levels=self._levels(teams))
        self.dispatcher.set_teams(teams)
        self.dispatcher.start()
        self.placer.start()
        self.steward.start()
        self._tasks = [asyncio.create_task(self._sweep())]

    async def close(self) -> None:
        """Stops; what waits here ends by its own time limit."""
        await tasks.cancel((*self._tasks, *self._pushing))
        await self.steward.close()
        await self.placer.close()
        await self.dispatcher.close()
        await self.limiter.close()

    def _levels(self, teams: dict[str, rules_lib.Team]) -> dict[str, int]:
        """Returns what each team surely has, in millionths of a token.

        The log's level, and the refill since this replica heard of it: it
        heard after the old leader proposed, so this is never too much.
        """
        now = time.monotonic()
        known = self._replicator.state.credit.levels
        levels = {}
        for name in known.keys() & teams.keys() & self._credit_heard.keys():
            seconds = now - self._credit_heard[name]
            refilled = known[name].rest + int(teams[name].rate * seconds * 1e6)
            levels[name] = min(refilled, known[name].most)
        return levels

    async def _set_aside(self, levels: dict[str, credit_lib.Level]) -> bool:
        try:
            result = await self._replicator.propose(
                credit_lib.SetAside(term=self._replicator.term, levels=levels)
            )
        except (replicate.NotLeaderError, replicate.LostError, OSError):
            return False
        return isinstance(result, credit_lib.DoneSettingAside) and (
            result.accepted
        )

    async def _sweep(self) -> None:
        expire_at = time.monotonic() + _EXPIRE_SECONDS
        while True:
            await asyncio.sleep(self._settings.timing.watch_seconds)
            now = time.monotonic()
            self.watchers.refresh(now)
            for host in self.watchers.forget(now):
                # Its process may hang and come back; its places are free for
                # others now.
                freed = self.dispatcher.release_host(host.name)
                logs.warn("host_gone", peer=host.name, places_freed=freed)
            with contextlib.suppress(
                replicate.NotLeaderError, replicate.LostError, OSError
            ):
                await self._abandon_calls_of_gone(now)
                if now > expire_at and len(self._replicator.state.calls):
                    expire_at = now + _EXPIRE_SECONDS
                    await self._replicator.propose(
                        calls_lib.ExpireCalls(now=time.time())
                    )

    async def _abandon_calls_of_gone(self, now: float) -> None:
        """Has calls of hosts that went for good end as unknown.

        The host may be cut off and its call may still run: "unknown" is true
        either way, and its answer, should it come, still replaces it.
        """
        running = list(self._replicator.state.calls.running_hosts)
        for name, incarnation in running:
            if self.watchers.is_gone(name, now):
                logs.warn("calls_abandoned", peer=name)
                await self._replicator.propose(
                    calls_lib.AbandonCalls(host=name, before=incarnation + 1)
                )

    def applied(
        self, command: state_lib.Command, result: state_lib.Result
    ) -> None:
        """Follows a commit: limits, weights, pushes to all gateways."""
        if not isinstance(result, configuration_lib.Applied):
            return
        if isinstance(command, configuration_lib.ApplyRules):
            teams = dict(self._replicator.state.configuration.rules.teams)
            self.limiter.set_teams(teams)
            self.dispatcher.set_teams(teams)
        logs.event(
            "configuration",
            version=result.version,
            change=type(command).__name__,
            author=getattr(command, "author", ""),
            repeated=result.repeated,
        )
        task = asyncio.create_task(self._push_change())
        self._pushing.add(task)
        task.add_done_callback(self._pushing.discard)

    async def _push_change(self) -> None:
        """Tells every watcher that there is news; each then watches."""
        now = time.monotonic()
        push = messages.Lease(
            update=None,
            version=self._replicator.state.configuration.version,
            seconds=0.0,
            hosts=None,
            hosts_version=self.watchers.hosts_version,
        )
        await self._push(self.watchers.peers(now), push)

    async def handle(
        self, peer: bytes, message: messages.Message
    ) -> messages.Message | None:
        """Answers a message that only the leader may answer."""
        match message:
            case messages.Watch():
                return await self._watch(peer, message)
            case messages.Charge():
                return await self.limiter.charge(message)
            case messages.Endings(endings=endings):
                for ending in endings:
                    self.limiter.settle(ending)
                    self.dispatcher.release(ending)
                return messages.Noted()
            case messages.AskTicket():
                return await self.dispatcher.ask(message)
            case messages.Announce(info=info):
                refused = self.dispatcher.announce(info)
                return messages.Known(unknown=[], reason=refused)
            case messages.Report(reports=reports):
                unknown = self.dispatcher.report(reports)
                return messages.Known(unknown=unknown)
            case messages.Join(member=member):
                self.steward.join(member)
                return messages.Noted()
            case messages.RemoveVoter(name=name):
                reason = self.steward.remove(name)
                return messages.Known(unknown=[], reason=reason)
            case messages.DrainTarget(name=name, draining=draining):
                return self._drain(name, draining)
            case _:
                logs.warn("unexpected", message=type(message).__name__)
        return None

    def _drain(self, name: str, draining: bool) -> messages.Known:
        reason = ""
        if not self.dispatcher.drain(name, draining):
            valid = self.dispatcher.targets.sessions
            reason = findings.unknown_word("target", name, valid)
        return messages.Known(unknown=[], reason=reason)

    async def _watch(
        self, peer: bytes, message: messages.Watch
    ) -> messages.Message | None:
        now = time.monotonic()
        previous = self.watchers.find(message.host.name)
        if not self.watchers.renew(message.host, peer, message.have, now):
            logs.warn(
                "two_hosts_one_name",
                peer=message.host.name,
                incarnation=message.host.incarnation,
            )
            return None
        if previous is None or previous.incarnation < message.host.incarnation:
            logs.event("host_in", peer=message.host.name)
            # A newer incarnation proves that the old process is dead.
            self.watchers.refresh(now)
            self.dispatcher.release_host(message.host.name)
            await self._abandon_calls(message.host)
        elif previous.draining != message.host.draining:
            logs.event("host_draining", peer=message.host.name)
            self.watchers.refresh(now)
            await self._push_change()
        return self._lease(message)

    def _lease(self, message: messages.Watch) -> messages.Message:
        if not self._replicator.leads:
            # Another may lead and have accepted a newer configuration.
            return messages.NotLeader(address="")
        configuration = self._replicator.state.configuration
        update = None
        if message.have != configuration.version:
            update = configuration.update_since(message.have)
        hosts_version = self.watchers.hosts_version
        # A host without any table is better off with a short one.
        seen = message.hosts_seen == hosts_version or (
            message.hosts_seen > 0
            and not self.watchers.is_complete(time.monotonic())
        )
        return messages.Lease(
            update=update,
            version=configuration.version,
            seconds=self._settings.timing.lease_seconds,
            hosts=None if seen else self.watchers.live,
            hosts_version=message.hosts_seen if seen else hosts_version,
        )

    async def _abandon_calls(self, host: messages.HostInfo) -> None:
        dead = any(
            name == host.name and incarnation < host.incarnation
            for name, incarnation in self._replicator.state.calls.running_hosts
        )
        if dead:
            await self._replicator.propose(
                calls_lib.AbandonCalls(host=host.name, before=host.incarnation)
            )
