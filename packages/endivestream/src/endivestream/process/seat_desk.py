"""The leader's side of the seat: it appoints the host that places models.

What that host must know goes to it as a feed, each item once; what it decides
comes back as notices, which the leader pushes to entry hosts. The feed is soft:
a holder that has missed a part, or a new leader, begins with the whole.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping

from endivestream import clock
from endivestream import logs
from endivestream import site_messages
from endivestream.connection import registry as registry_lib
from endivestream.process import use_table
from endivestream.version import replicate
from endivestream.version import seat as seat_lib

# How long the holder may order after it asked. Covers most elections, so that
# placement continues when the leader is lost. A longer lease delays the
# successor of a lost holder, which must wait for its end and the pause.
LEASE_SECONDS = 1.4
# A holder that is silent for the lease and this much more is replaced.
_SILENT_MARGIN_SECONDS = 0.4
# Left between an old holder's last order and the first of a new one.
_HOLDER_MARGIN_SECONDS = 0.4
# A question of the holder waits so long for something new.
_POLL_SECONDS = 0.1
# How much longer the seat stays free for hosts of a preferred kind: each asks
# within this time.
_PREFERRED_SECONDS = 0.6
# Items that are kept for a holder that does not ask; beyond, it begins anew.
_MOST_ITEMS = 2000


class SeatDesk:
    """The seat during one term of leadership."""

    def __init__(
        self,
        *,
        host: str,
        replicator: replicate.Replicator,
        pause: float,
        sessions: Callable[[], Mapping[str, registry_lib.Session]],
        changed: Callable[[Iterable[str]], None],
    ) -> None:
        """Appoints nobody before it is asked.

        Args:
            host: This host, as it names itself when it asks for the seat.
            replicator: The log.
            pause: Seconds without orders between two holders.
            sessions: Returns all targets by name.
            changed: Told of targets of which the holder says something new.
        """
        self._host = host
        self._replicator = replicator
        self._pause = pause
        self._sessions = sessions
        self._changed = changed
        self._uses = use_table.UseTable()
        # The last notice of each target with the fencing token of its sender.
        # Numbers start at the sender's boot clock, so they are comparable only
        # under the same token.
        self._notices: dict[str, tuple[int, site_messages.Notice]] = {}
        self._demand: dict[str, site_messages.FedDemand] = {}
        self._targets = site_messages.FedTargets()
        self._limits = site_messages.FedLimits(rates={})
        self._items: list[site_messages.Fed] = []
        # The number of the first item that is kept.
        self._first = 1
        self._news = asyncio.Event()
        self._began = clock.now()
        self._heard = self._began
        # When the holder may begin to order.
        self._orders_from = self._began
        if self._record.holder and not self._record.settled:
            self._orders_from += pause + _HOLDER_MARGIN_SECONDS
        self._appointing = asyncio.Lock()

    @property
    def _number(self) -> int:
        """The number of the last item."""
        return self._first + len(self._items) - 1

    @property
    def _record(self) -> seat_lib.Record:
        return self._replicator.state.seat.record

    # What the leader hears.

    def reported(self, said: registry_lib.Registration) -> None:
        """Passes a target's own report on."""
        self._feed(site_messages.FedReport(said=said))

    def set_targets(self, silent: Iterable[str], *, complete: bool) -> None:
        """Passes on which targets there are.

        Args:
            silent: Those that miss reports.
            complete: Whether every sound one has been heard of.
        """
        names = self._sessions().keys()
        if complete:
            # Until the table is complete, a target without a session may be
            # one that has not yet reported to this leader.
            for name in self._notices.keys() - names:
                del self._notices[name]
        targets = site_messages.FedTargets(
            names=tuple(sorted(names)),
            silent=tuple(sorted(silent)),
            complete=complete,
        )
        if targets != self._targets:
            self._targets = targets
            self._feed(targets)

    def set_limits(self, rates: dict[str, float]) -> None:
        """Passes on the limits that targets name."""
        self._limits = site_messages.FedLimits(rates=rates)
        self._feed(self._limits)

    def renewed(self, message: site_messages.Renew) -> None:
        """Passes on what an entry host counts."""
        host = message.host.name
        self._uses.note(host, message.uses)
        fed = site_messages.FedDemand(
            host=host,
            demand=message.demand,
            uses=message.uses,
            failing=message.failing,
        )
        if fed != self._demand.get(host):
            self._demand[host] = fed
            self._feed(fed)

    def missing(self, message: site_messages.Missing) -> None:
        """Passes on at once what requests wait for."""
        self._feed(message)

    def forget_host(self, host: str) -> None:
        """An entry host is gone, and with it what waited there."""
        self._uses.forget(host)
        if self._demand.pop(host, None) is not None:
            self._feed(site_messages.FedGone(host=host))

    def _feed(self, item: site_messages.Fed) -> None:
        self._items.append(item)
        if len(self._items) > _MOST_ITEMS:
            dropped = len(self._items) // 2
            del self._items[:dropped]
            self._first += dropped
        self._news.set()

    # What others ask.

    def loads(self, host: str) -> dict[str, int]:
        """Returns what runs on targets for all entry hosts but one."""
        return self._uses.loads(host)

    def all_loads(self) -> dict[str, int]:
        """Returns the load of each target from all entry hosts."""
        return self._uses.all_loads()

    def notice(self, target: str) -> site_messages.Notice:
        """Returns what the holder last said of a target."""
        if target in self._notices:
            return self._notices[target][1]
        return site_messages.Notice(target=target)

    def told(self, message: site_messages.TellNotices) -> None:
        """Takes notices of the holder in."""
        if message.fence != self._record.fence:
            return
        fresh = []
        for notice in message.notices:
            known_fence, known = self._notices.get(notice.target, (-1, notice))
            if (known_fence, known.number) < (message.fence, notice.number):
                self._notices[notice.target] = (message.fence, notice)
                fresh.append(notice.target)
        known_targets = self._sessions().keys()
        fresh = [name for name in fresh if name in known_targets]
        if fresh:
            self._changed(fresh)

    async def ask(
        self, message: site_messages.AskSeat
    ) -> site_messages.ToldSeat:
        """Answers a host that asks for the seat, or for what is new."""
        if self._record.holder != message.host:
            await self._consider(message.host)
            if self._record.holder != message.host:
                return site_messages.ToldSeat(holder=self._record.holder)
        self._heard = clock.now()
        await self._settle()
        seen = message.position
        if not self._lacks(seen) and seen.number == self._number:
            await self._wait_for_news()
        # After the wait: what was appended meanwhile goes along.
        fresh = self._lacks(seen)
        items = self._all() if fresh else self._after(seen)
        return site_messages.ToldSeat(
            holder=message.host,
            fence=self._record.fence,
            seconds=LEASE_SECONDS,
            wait=max(0.0, self._orders_from - clock.now()),
            position=site_messages.Position(
                self._replicator.term, self._number
            ),
            fresh=fresh,
            items=tuple(items),
        )

    def _lacks(self, seen: site_messages.Position) -> bool:
        """Whether the feed does not go on from a position."""
        kept = self._first - 1 <= seen.number <= self._number
        return seen.term != self._replicator.term or not kept

    def _after(self, seen: site_messages.Position) -> list[site_messages.Fed]:
        return self._items[seen.number + 1 - self._first :]

    def _all(self) -> list[site_messages.Fed]:
        """Returns all that a holder must know, from nothing."""
        reports = [
            site_messages.FedReport(said=session.said)
            for session in self._sessions().values()
        ]
        return [
            *reports,
            self._targets,
            self._limits,
            *self._demand.values(),
        ]

    async def _wait_for_news(self) -> None:
        self._news.clear()
        try:
            async with asyncio.timeout(_POLL_SECONDS):
                await self._news.wait()
        except TimeoutError:
            pass

    # Appointment.

    async def _settle(self) -> None:
        """Notes in the log that the pause before the holder has passed."""
        if not self._record.settled and clock.now() >= self._orders_from:
            await self._replicator.propose(
                seat_lib.Settle(fence=self._record.fence)
            )

    def _preference(self, host: str) -> int:
        """Returns how many kinds of hosts are preferred to this one.

        A fault of the leader, or of whoever leads next, then leaves the
        placement of models going, and the other way round.
        """
        members = self._replicator.replica.members
        if len(members.all) < 2:
            return 0
        if host == self._host:
            return 2
        return any(host.endswith(f"@{v.address}") for v in members.voters)

    async def _consider(self, host: str) -> None:
        """Appoints a host if nobody can hold the seat any more."""
        async with self._appointing:
            now = clock.now()
            record = self._record
            if record.holder == host:
                return
            least = self._preference(host) * _PREFERRED_SECONDS
            if record.holder:
                # It may still order, by this leader's word or by that of the
                # one before, which was given before this one led.
                least += LEASE_SECONDS + _SILENT_MARGIN_SECONDS
            if now - self._heard < least:
                return
            # In a log of an earlier version leaders have ordered themselves.
            first = not record.holder and self._replicator.replica.first_own < 2
            orders_from = now if first else self._order_start(record, now)
            result = await self._replicator.propose(
                seat_lib.Appoint(
                    holder=host,
                    after=record.fence,
                    term=self._replicator.term,
                    settled=first,
                )
            )
            assert isinstance(result, seat_lib.Appointed), result
            if result.holder == host:
                self._heard = clock.now()
                self._orders_from = orders_from
            logs.event(
                "seat",
                holder=result.holder,
                fence=result.fence,
                before=record.holder,
                silent_s=now - self._heard,
            )

    def _order_start(self, record: seat_lib.Record, now: float) -> float:
        """Returns the earliest time at which a new holder may order.

        The pause starts at the end of the previous holder's last lease. If the
        log names no holder, an earlier leader may have ordered without a lease
        until now, and the pause starts now.
        """
        pause_start = self._heard + LEASE_SECONDS if record.holder else now
        return max(now, pause_start + self._pause + _HOLDER_MARGIN_SECONDS)
