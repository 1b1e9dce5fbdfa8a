"""Leader of the control hosts: leases, rate limits, scheduling, placement.

Its tables are soft state: those of a new leader start empty and fill from
renewals and reports. Teams' credit continues from the level in the log.
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
from endivestream.process import membership_manager as membership_manager_lib
from endivestream.process import placer as placer_lib
from endivestream.process import settings as settings_lib
from endivestream.version import calls as calls_lib
from endivestream.version import configuration as configuration_lib
from endivestream.version import credit as credit_lib
from endivestream.version import host_leases as host_leases_lib
from endivestream.version import replicate
from endivestream.version import rules as rules_lib
from endivestream.version import state as state_lib

# Interval between removals of stored answers whose time has expired.
_EXPIRE_CALLS_INTERVAL_SECONDS = 60.0


class Leader:
    """The leader's state and message handlers for one term of leadership.

    Attributes:
        limiter: Token buckets of the teams.
        dispatcher: Target table and scheduler.
        placer: Placement of models on targets.
        host_leases: Configuration leases of gateways.
    """

    def __init__(
        self,
        *,
        settings: settings_lib.Settings,
        replicator: replicate.Replicator,
        pool: exchange_lib.Pool,
        push: Callable[[Iterable[bytes], messages.Message], Awaitable[None]],
        credit_received_at: dict[str, float],
    ) -> None:
        timing = settings.timing
        self._settings = settings
        self._replicator = replicator
        self._push = push
        self._credit_received_at = credit_received_at
        self.limiter = limiter_lib.Limiter(reserve_credit=self._reserve_credit)
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
        self.membership_manager = membership_manager_lib.MembershipManager(
            replicator=replicator,
            wanted=settings.peers.voters,
            replace_seconds=settings.peers.replace_voter_seconds,
        )
        self.host_leases = host_leases_lib.HostLeases(
            lease_seconds=timing.lease_seconds,
            silence_seconds=timing.host_silence_seconds,
            now=time.monotonic(),
        )
        self._tasks: list[asyncio.Task[None]] = []
        self._push_tasks: set[asyncio.Task[None]] = set()

    def start(self) -> None:
        """Starts leading with the replicated state as it is now."""
        teams = dict(self._replicator.state.configuration.rules.teams)
        self.limiter.set_teams(teams, levels=self._initial_levels(teams))
        self.dispatcher.set_teams(teams)
        self.dispatcher.start()
        self.placer.start()
        self.membership_manager.start()
        self._tasks = [asyncio.create_task(self._sweep())]

    async def close(self) -> None:
        """Stops; requests that still wait end at their own deadlines."""
        await tasks.cancel((*self._tasks, *self._push_tasks))
        await self.membership_manager.close()
        await self.placer.close()
        await self.dispatcher.close()
        await self.limiter.close()

    def _initial_levels(
        self, teams: dict[str, rules_lib.Team]
    ) -> dict[str, int]:
        """Returns the minimum credit of each team in millionths of a token.

        This is the level in the log plus the refill since this replica received
        that level. It was received after the previous leader proposed it, so
        the result is never too high.
        """
        now = time.monotonic()
        committed = self._replicator.state.credit.levels
        levels = {}
        for name in (
            committed.keys() & teams.keys() & self._credit_received_at.keys()
        ):
            seconds = now - self._credit_received_at[name]
            refilled = committed[name].level_without_reserve + int(
                teams[name].rate * seconds * 1e6
            )
            levels[name] = min(refilled, committed[name].max_level)
        return levels

    async def _reserve_credit(
        self, levels: dict[str, credit_lib.CreditLevel]
    ) -> bool:
        try:
            result = await self._replicator.propose(
                credit_lib.ReserveCredit(
                    term=self._replicator.term, levels=levels
                )
            )
        except (
            replicate.NotLeaderError,
            replicate.LeadershipLostError,
            OSError,
        ):
            return False
        return isinstance(result, credit_lib.CreditReserved) and (
            result.accepted
        )

    async def _sweep(self) -> None:
        expire_at = time.monotonic() + _EXPIRE_CALLS_INTERVAL_SECONDS
        while True:
            await asyncio.sleep(self._settings.timing.watch_seconds)
            now = time.monotonic()
            self.host_leases.refresh(now)
            for host in self.host_leases.forget_expired(now):
                # The host's process may hang and recover later; its slots are
                # released for other hosts now.
                released = self.dispatcher.release_host(host.name)
                logs.warn(
                    "host_expired", peer=host.name, slots_released=released
                )
            with contextlib.suppress(
                replicate.NotLeaderError, replicate.LeadershipLostError, OSError
            ):
                await self._abandon_calls_of_expired_hosts(now)
                if now > expire_at and len(self._replicator.state.calls):
                    expire_at = now + _EXPIRE_CALLS_INTERVAL_SECONDS
                    await self._replicator.propose(
                        calls_lib.ExpireCalls(now=time.time())
                    )

    async def _abandon_calls_of_expired_hosts(self, now: float) -> None:
        """Ends calls of permanently departed hosts with an unknown outcome.

        The host may only be unreachable and its call may still run: "unknown"
        is correct in both cases, and a later answer still replaces it.
        """
        running = list(self._replicator.state.calls.running_processes)
        for name, incarnation in running:
            if self.host_leases.is_expired(name, now):
                logs.warn("calls_abandoned", peer=name)
                await self._replicator.propose(
                    calls_lib.AbandonCalls(
                        host=name, first_live_incarnation=incarnation + 1
                    )
                )

    def applied(
        self, command: state_lib.Command, result: state_lib.Result
    ) -> None:
        """Applies a committed configuration and notifies all gateways."""
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
        task = asyncio.create_task(self._push_version())
        self._push_tasks.add(task)
        task.add_done_callback(self._push_tasks.discard)

    async def _push_version(self) -> None:
        """Pushes the current version; each gateway then renews its lease."""
        now = time.monotonic()
        push = messages.Lease(
            update=None,
            version=self._replicator.state.configuration.version,
            seconds=0.0,
            hosts=None,
            hosts_version=self.host_leases.hosts_version,
        )
        await self._push(self.host_leases.peers(now), push)

    async def handle(
        self, peer: bytes, message: messages.Message
    ) -> messages.Message | None:
        """Handles a message for the leader and returns the answer, if any."""
        match message:
            case messages.Watch():
                return await self._renew_lease(peer, message)
            case messages.Charge():
                return await self.limiter.charge(message)
            case messages.Endings(completions=completions):
                for completion in completions:
                    self.limiter.complete_charge(completion)
                    self.dispatcher.complete_request(completion)
                return messages.Noted()
            case messages.AskTicket():
                return await self.dispatcher.request_ticket(message)
            case messages.Announce(info=info):
                refusal = self.dispatcher.announce(info)
                return messages.Known(unknown=[], reason=refusal)
            case messages.Report(reports=reports):
                unknown = self.dispatcher.report(reports)
                return messages.Known(unknown=unknown)
            case messages.Join(member=member):
                self.membership_manager.join(member)
                return messages.Noted()
            case messages.RemoveVoter(name=name):
                reason = self.membership_manager.remove(name)
                return messages.Known(unknown=[], reason=reason)
            case messages.DrainTarget(name=name, draining=draining):
                return self._drain_target(name, draining)
            case _:
                logs.warn("unexpected_message", message=type(message).__name__)
        return None

    def _drain_target(self, name: str, draining: bool) -> messages.Known:
        reason = ""
        if not self.dispatcher.drain(name, draining):
            known_targets = self.dispatcher.targets.sessions
            reason = findings.unknown_word("target", name, known_targets)
        return messages.Known(unknown=[], reason=reason)

    async def _renew_lease(
        self, peer: bytes, message: messages.Watch
    ) -> messages.Message | None:
        now = time.monotonic()
        previous = self.host_leases.find(message.host.name)
        if not self.host_leases.renew(
            message.host, peer, message.config_version, now
        ):
            logs.warn(
                "duplicate_host_name",
                peer=message.host.name,
                incarnation=message.host.incarnation,
            )
            return None
        if previous is None or previous.incarnation < message.host.incarnation:
            logs.event("host_joined", peer=message.host.name)
            # A newer incarnation proves that the old process has ended.
            self.host_leases.refresh(now)
            self.dispatcher.release_host(message.host.name)
            await self._abandon_older_calls(message.host)
        elif previous.draining != message.host.draining:
            logs.event("host_draining", peer=message.host.name)
            self.host_leases.refresh(now)
            await self._push_version()
        return self._lease_answer(message)

    def _lease_answer(self, message: messages.Watch) -> messages.Message:
        if not self._replicator.is_leader:
            # Another leader may have committed a newer configuration.
            return messages.NotLeader(address="")
        configuration = self._replicator.state.configuration
        update = None
        if message.config_version != configuration.version:
            update = configuration.update_since(message.config_version)
        hosts_version = self.host_leases.hosts_version
        # An incomplete table is sent only to a host that has none yet.
        has_hosts = message.hosts_seen == hosts_version or (
            message.hosts_seen > 0
            and not self.host_leases.is_complete(time.monotonic())
        )
        return messages.Lease(
            update=update,
            version=configuration.version,
            seconds=self._settings.timing.lease_seconds,
            hosts=None if has_hosts else self.host_leases.live,
            hosts_version=message.hosts_seen if has_hosts else hosts_version,
        )

    async def _abandon_older_calls(self, host: messages.HostInfo) -> None:
        has_older_calls = any(
            name == host.name and incarnation < host.incarnation
            for name, incarnation in (
                self._replicator.state.calls.running_processes
            )
        )
        if has_older_calls:
            await self._replicator.propose(
                calls_lib.AbandonCalls(
                    host=host.name, first_live_incarnation=host.incarnation
                )
            )
