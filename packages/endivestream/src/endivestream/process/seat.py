"""A control host's side of the seat: it places models while it holds it.

One task asks the leader, whoever that is, and takes what is new in. Orders go
out only within the lease that the last answer gave, counted from the question.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Coroutine
from collections.abc import Iterable

from endivestream import clock
from endivestream import logs
from endivestream import loop_meter
from endivestream import messages
from endivestream import site_messages
from endivestream import tasks
from endivestream.connection import engines as engines_lib
from endivestream.process import planner as planner_lib
from endivestream.process import site_settings
from endivestream.version import document as document_lib

# Between two questions of a host that does not hold the seat.
_IDLE_SECONDS = 0.5
# Before a leader that did not answer is asked again.
_AGAIN_SECONDS = 0.05
_ANSWER_SECONDS = 0.6
_NOTICE_SECONDS = 1.0

Call = Callable[..., Awaitable[messages.Message | None]]


class Seat:
    """The seat on one control host. Lives as long as the process."""

    def __init__(
        self,
        *,
        host: str,
        settings: site_settings.SiteSettings,
        engines: engines_lib.Engines,
        call: Call,
        document: Callable[[], document_lib.Document | None],
        meter: loop_meter.LoopMeter | None = None,
    ) -> None:
        """Asks for nothing before `start`.

        Args:
            host: This machine, unique among all that ever held the seat.
            settings: The host's settings.
            engines: Calls to engines.
            call: Has the leader answer a message within so many seconds.
            document: Returns the newest configuration held here.
            meter: Counts what the seat costs.
        """
        self._meter = meter or loop_meter.LoopMeter()
        self._host = host
        self._settings = settings
        self._engines = engines
        self._call = call
        self._document = document
        self._version = 0
        self._position = site_messages.Position()
        self._fence = 0
        self._lease_until = float("-inf")
        self._orders_from = float("-inf")
        self._planner: planner_lib.Planner | None = None
        self._hosts: set[str] = set()
        # Numbers of notices go on across a restart of this process.
        self._number = int(clock.now() * 1e6)
        self._task: asyncio.Task[None] | None = None
        self._telling: set[asyncio.Task[None]] = set()

    @property
    def holds(self) -> bool:
        """Whether this host may order now."""
        now = clock.now()
        return self._orders_from <= now < self._lease_until

    @property
    def unplaced(self) -> int:
        """Models that requests wait for and that are not being loaded.

        0 on a host that does not place models.
        """
        return self._planner.unplaced if self._planner else 0

    def start(self) -> None:
        """Starts to ask for the seat."""
        self._task = tasks.start(self._run(), type(self).__name__)

    async def close(self) -> None:
        """Gives up; orders under way are not followed further."""
        await tasks.cancel((self._task, *self._telling))
        await self._leave()

    async def _run(self) -> None:
        while True:
            asked = clock.now()
            answer = await self._call(
                site_messages.AskSeat(host=self._host, position=self._position),
                seconds=_ANSWER_SECONDS,
            )
            if not isinstance(answer, site_messages.ToldSeat):
                await asyncio.sleep(_AGAIN_SECONDS)
                continue
            if answer.holder != self._host:
                await self._leave()
                await asyncio.sleep(_IDLE_SECONDS)
                continue
            await self._take(answer, asked)

    async def _leave(self) -> None:
        """Stops placing models."""
        self._lease_until = float("-inf")
        self._position = site_messages.Position()
        planner, self._planner = self._planner, None
        if planner is not None:
            logs.event("seat_left", fence=self._fence)
            await planner.close()

    async def _take(self, answer: site_messages.ToldSeat, asked: float) -> None:
        """Takes an answer in that gives this host the seat."""
        if self._planner is not None and answer.fence != self._fence:
            await self._leave()
        self._fence = answer.fence
        self._lease_until = asked + answer.seconds
        self._orders_from = clock.now() + answer.wait
        if self._planner is None:
            logs.event("seat_taken", fence=answer.fence, wait_s=answer.wait)
            self._planner = self._make_planner()
            self._version = 0
            self._hosts = set()
            self._planner.start()
        planner = self._planner
        document = self._document()
        if document is not None and document.version != self._version:
            self._version = document.version
            planner.set_document(document)
        with self._meter.span("feed"):
            if answer.fresh:
                self._begin_anew(planner, answer.items)
            for item in answer.items:
                self._feed(planner, item)
        if answer.fresh and answer.position.term != self._position.term:
            # A new leader knows nothing of what was decided.
            self._tell(planner.targets)
        self._position = answer.position

    def _make_planner(self) -> planner_lib.Planner:
        return planner_lib.Planner(
            settings=self._settings,
            engines=self._engines,
            fence=self._fence,
            may_order=lambda: self.holds,
            changed=self._tell,
            sent=self._count_send,
            meter=self._meter,
        )

    def _begin_anew(
        self,
        planner: planner_lib.Planner,
        items: Iterable[site_messages.Fed],
    ) -> None:
        """Forgets the hosts that a whole feed does not name."""
        named = {
            item.host
            for item in items
            if isinstance(item, site_messages.FedDemand)
        }
        for host in self._hosts - named:
            planner.forget_host(host)
        self._hosts = named

    def _feed(
        self, planner: planner_lib.Planner, item: site_messages.Fed
    ) -> None:
        match item:
            case site_messages.FedDemand(host=host):
                self._hosts.add(host)
                planner.demanded(host, item.demand)
                planner.used(host, item.uses)
                planner.failed(host, item.failing)
            case site_messages.Missing(host=host, demand=demand):
                planner.missing(host, demand)
            case site_messages.FedGone(host=host):
                self._hosts.discard(host)
                planner.forget_host(host)
            case site_messages.FedReport(said=said):
                planner.reported(said)
            case site_messages.FedLimits(rates=rates):
                planner.set_limits(rates)
            case site_messages.FedTargets():
                planner.set_targets(
                    item.names, set(item.silent), complete=item.complete
                )

    def _count_send(self, target: str) -> None:
        """Has an order or question to a target count against its limit."""
        self._run_in_background(
            self._call(
                site_messages.CountSend(target=target), seconds=_NOTICE_SECONDS
            )
        )

    def _tell(self, targets: Iterable[str]) -> None:
        """Tells the leader what was decided about targets."""
        planner = self._planner
        if planner is None:
            return
        self._number += 1
        notices = tuple(
            site_messages.Notice(
                target=target,
                number=self._number,
                closing=planner.closing(target),
                adapters=planner.adapters(target),
                coming=planner.coming(target),
            )
            for target in targets
        )
        message = site_messages.TellNotices(fence=self._fence, notices=notices)
        self._run_in_background(self._send(message))

    def _run_in_background(
        self, work: Coroutine[object, object, object]
    ) -> None:
        task = tasks.start(work, "notices")
        self._telling.add(task)
        task.add_done_callback(self._telling.discard)

    async def _send(self, message: site_messages.TellNotices) -> None:
        answer = await self._call(message, seconds=_NOTICE_SECONDS)
        if not isinstance(answer, site_messages.Registered):
            # Whoever leads next is told everything.
            names = ",".join(notice.target for notice in message.notices)
            logs.warn("notices_unheard", targets=names)
