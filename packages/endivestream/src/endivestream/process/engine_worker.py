"""What is known of one engine, and the orders to it, one at a time.

Every order names the number of orders that the engine should have accepted
before. An order that gets no answer may be carried out seconds later; until
another order has used its number up, what it would load counts as held.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from collections.abc import Iterable

from endivestream import clock
from endivestream import logs
from endivestream.connection import engines as engines_lib
from endivestream.connection import registry as registry_lib
from endivestream.version import document as document_lib
from endivestream.version import plan_types

# An engine answers an order within a few milliseconds.
ORDER_SECONDS = 0.5
ORDER_TRIES = 6
# An engine that was busy is tried again after so long.
BUSY_SECONDS = 0.06
# What an engine reports may be so much older than its answer.
REPORT_OLD_SECONDS = 0.4
# A report of its own accord may be so much older than an order that took an
# adapter off.
REPORT_LAG_SECONDS = 3.0
# An adapter that is unloaded while requests use it keeps its place until they
# have ended; the engine is asked so often, for so long.
ENDING_POLL_SECONDS = 0.3
ENDING_SECONDS = 8.0


class EngineWorker:
    """One engine of a service, while this host places models.

    Attributes:
        said: Its newest registration.
        closing: Models that entry hosts were told to leave alone.
        adapters: `MODEL/ADAPTER` that it holds, with when each was last used.
        leaving: Those of them that are about to be taken off.
        pending: `MODEL/ADAPTER` that are ordered and not there yet.
        step: The step under way, or None.
        step_begun: When that step began.
        there_at: When the model of that step is expected to be there.
        task: What carries it out.
        is_busy: Whether it carries out an order for a model, and takes none.
        blocked_until: When it may be tried again after a step that failed.
        adapters_blocked_until: When it may be ordered to take an adapter
            again, after it refused one.
        asked_at: When it was last asked what it holds.
        reported: Set with each report.
    """

    def __init__(
        self,
        *,
        said: registry_lib.Registration,
        engines: engines_lib.Engines,
        holder: str,
        fence: int,
        may_order: Callable[[], bool],
        sent: Callable[[str], None] = lambda target: None,
    ) -> None:
        self.said = said
        self.closing: set[str] = set()
        self.adapters: dict[str, float] = {}
        self.leaving: set[str] = set()
        self.pending: set[str] = set()
        self.step: plan_types.Step | None = None
        self.step_begun = 0.0
        self.there_at = 0.0
        self.task: asyncio.Task[None] | None = None
        self.is_busy = False
        self.blocked_until = float("-inf")
        self.adapters_blocked_until = float("-inf")
        self.asked_at = float("-inf")
        self.reported = asyncio.Event()
        self._engines = engines
        self._holder = holder
        self._fence = fence
        self._may_order = may_order
        self._sent = sent
        self._lock = asyncio.Lock()
        # Orders that it has accepted; None if that is not known.
        self._accepted: int | None = None
        self._taken_at = float("-inf")
        # Until when models must not be displaced.
        self._kept: dict[str, float] = {}
        # Adapters whose unload was accepted while requests may use them.
        self._ending: set[str] = set()
        # When adapters were taken off.
        self._dropped: dict[str, float] = {}
        # Models that it showed when asked, and not in a report of its own yet.
        self._shown: set[str] = set()
        # Whether it carries out an order that is not known here: one of the
        # holder before, or of this one before its process was started again.
        self._under_way = False
        # What orders without an answer may still load, by their number.
        self._doubts: dict[str, int] = {}

    def __repr__(self) -> str:
        return f"<EngineWorker {self.said.name} accepted {self._accepted}>"

    @property
    def models(self) -> set[str]:
        """Models that it holds."""
        return {loaded.model for loaded in self.said.loaded} | self._shown

    @property
    def loading(self) -> str:
        """The model of the step under way, or empty."""
        return self.step.model if self.step else ""

    def kept(self, now: float) -> frozenset[str]:
        """Returns the models that must not be displaced yet."""
        return frozenset(m for m, until in self._kept.items() if now < until)

    def keep(self, model: str, until: float) -> None:
        """Keeps a model that has just come."""
        self._kept[model] = until

    def used(self, model: str, until: float) -> None:
        """Notes that requests run; their model is kept no longer than this."""
        if model in self._kept:
            self._kept[model] = min(self._kept[model], until)

    def take_report(self, said: registry_lib.Registration) -> None:
        """Takes a report of its own accord in."""
        self.said = said
        self._shown -= {loaded.model for loaded in said.loaded}
        self._add_adapters(said.loaded)
        self.reported.set()

    def fits(self, model: str, engine: document_lib.Engine) -> bool:
        """Whether there surely is room for a model.

        An engine that is ordered to hold more than it can crashes, with all
        that runs on it.
        """
        sizes = {m.name: m.weights_mb for m in engine.models}
        doubts = {name for name in self._doubts if "/" not in name}
        held = {*self.models, *doubts, model}
        weights = sum(sizes.get(name, 0.0) for name in held)
        adapters = engine.adapter_places * max(
            (m.adapter_mb for m in engine.models), default=0.0
        )
        return weights + adapters <= engine.weights_mb

    def adapter_room(self, engine: document_lib.Engine) -> int:
        """Returns how many more adapters may be planned for.

        Those that are about to leave make room for those they leave for.
        """
        held = self._adapters_held() | self.pending
        return engine.adapter_places - len(held - self.leaving)

    def _adapters_held(self) -> set[str]:
        """Returns the adapters that it may hold now."""
        doubted = {name for name in self._doubts if "/" in name}
        return {*self.adapters, *doubted, *self._ending}

    def _has_room(self, name: str, engine: document_lib.Engine) -> bool:
        """Whether a load may be ordered at this moment.

        Plans rest on what orders before it will do; one of them may have been
        refused, or an older one carried out since.
        """
        if "/" in name:
            held = self._adapters_held() | {name}
            return len(held) <= engine.adapter_places
        return self.fits(name, engine)

    def forget_adapters(self, model: str) -> None:
        """A model is gone, and its adapters with it."""
        self._shown.discard(model)
        self._kept.pop(model, None)
        for name in list(self.adapters):
            if name.startswith(f"{model}/"):
                del self.adapters[name]
        self._ending = {
            name for name in self._ending if not name.startswith(f"{model}/")
        }

    async def until_gone(self, name: str) -> bool:
        """Waits until an adapter whose unload was accepted is gone.

        Returns:
            Whether it is. If not, it still counts as held.
        """
        until = clock.now() + ENDING_SECONDS
        while name in self._ending:
            if clock.now() >= until:
                return False
            await asyncio.sleep(ENDING_POLL_SECONDS)
            await self.ask()
        return True

    def adapter_gone(self, name: str) -> None:
        """The engine has confirmed that it dropped an adapter."""
        self.adapters.pop(name, None)
        self.leaving.discard(name)
        self._dropped[name] = clock.now()

    async def ask(self) -> None:
        """Asks the engine what it holds."""
        async with self._lock:
            await self._learn()

    def distrust(self) -> None:
        """What is known of its orders may be wrong; the next one asks."""
        self._accepted = None

    async def order(
        self,
        *,
        load: bool,
        model: str,
        adapter: str = "",
        engine: document_lib.Engine,
    ) -> bool:
        """Sends one order.

        Args:
            load: Whether to load; else to unload.
            model: The model.
            adapter: An adapter of it, or empty for the model itself.
            engine: What the engine can hold.

        Returns:
            Whether it was taken, or holds already. If not, what was planned
            for is not sure any more and must be planned anew.
        """
        name = f"{model}/{adapter}" if adapter else model
        async with self._lock:
            # An order under way may have ended since the engine was asked.
            known = self._accepted is not None and not (
                self._under_way and load and not adapter
            )
            if not known and not await self._learn():
                return False
            for attempt in range(ORDER_TRIES):
                if not self._may_order():
                    return False
                if load and not adapter and self._under_way:
                    # What it is loading shows nowhere yet. An order that
                    # arrives right after that would be one model too many,
                    # and the engine crashes with all that runs on it.
                    logs.warn("order_under_way", target=self.said.name)
                    return False
                if load and not self._has_room(name, engine):
                    logs.warn("no_room", target=self.said.name, load=name)
                    return False
                expected = self._accepted or 0
                earlier = any(
                    number == expected and other != name
                    for other, number in self._doubts.items()
                )
                outcome = await self._send(load, model, adapter, attempt)
                match outcome:
                    case (
                        engines_lib.Outcome.ACCEPTED | engines_lib.Outcome.DONE
                    ):
                        self._used_up(expected)
                        self._note_taken(load, name)
                        if outcome == engines_lib.Outcome.ACCEPTED and (
                            adapter and not load
                        ):
                            self._ending.add(name)
                        return True
                    case engines_lib.Outcome.REFUSED:
                        return False
                    case engines_lib.Outcome.UNANSWERED if load:
                        self._doubts[name] = expected
                    case engines_lib.Outcome.BUSY if attempt % 2 == 0 and (
                        adapter or not load
                    ):
                        # Another order is still under way, or ours is not
                        # the number that the engine expects. The first is
                        # likelier and passes by itself.
                        await asyncio.sleep(BUSY_SECONDS)
                        continue
                if not await self._learn():
                    return False
                if self._accepted != expected:
                    # Some order was carried out. If it can only be this one,
                    # it is done; an older one has changed what it rests on.
                    lost = outcome == engines_lib.Outcome.UNANSWERED
                    if lost and not earlier:
                        self._note_taken(load, name)
                    return lost and not earlier
        return False

    def _note_taken(self, load: bool, name: str) -> None:
        if load and "/" in name:
            self.adapters[name] = clock.now()
        if not load:
            self._shown.discard(name)

    async def _send(
        self, load: bool, model: str, adapter: str, attempt: int
    ) -> engines_lib.Outcome:
        order = engines_lib.Order(
            load=load,
            model=model,
            adapter=adapter,
            expected=self._accepted or 0,
            holder=self._holder,
            fence=self._fence,
        )
        self._sent(self.said.name)
        outcome = await self._engines.order(
            self.said.address, self.said.name, order, seconds=ORDER_SECONDS
        )
        logs.event(
            "order",
            target=self.said.name,
            load=load,
            model=model,
            adapter=adapter,
            expected=order.expected,
            fence=self._fence,
            attempt=attempt,
            outcome=outcome,
        )
        return outcome

    def _used_up(self, expected: int) -> None:
        """An order was taken: older ones with its number do nothing now."""
        self._accepted = expected + 1
        self._taken_at = clock.now()
        self._doubts = {n: e for n, e in self._doubts.items() if e > expected}

    async def _learn(self) -> bool:
        """Asks how many orders the engine has accepted, and what it holds."""
        # A report is a little older than its answer. Asked right after an
        # order, it would give the number before that (symptom: every further
        # order is refused).
        wait = self._taken_at + REPORT_OLD_SECONDS - clock.now()
        await asyncio.sleep(max(0.0, wait))
        self.asked_at = clock.now()
        self._sent(self.said.name)
        report = await self._engines.report(
            self.said.address, seconds=ORDER_SECONDS
        )
        if report is None:
            return False
        self._accepted = report.accepted
        self._under_way = report.busy
        if not report.busy:
            # A load that is under way does not show yet.
            self._doubts = {
                n: e for n, e in self._doubts.items() if e >= report.accepted
            }
        loaded = {held.model for held in report.loaded}
        self._shown = loaded - {held.model for held in self.said.loaded}
        self._drop_absent(report)
        # What it shows when asked is newer than any order that took it off.
        for held in report.loaded:
            for adapter in held.adapters:
                self._dropped.pop(f"{held.model}/{adapter}", None)
        self._add_adapters(report.loaded)
        return True

    def _drop_absent(self, report: engines_lib.Report) -> None:
        """Forgets adapters that an engine does not show when asked.

        It was asked under the lock, so no order of ours is under way that the
        answer does not show; young ones are left alone all the same.
        """
        shown = {
            f"{held.model}/{adapter}"
            for held in report.loaded
            for adapter in held.adapters
        }
        now = clock.now()
        self._ending &= shown
        for name in self.adapters.keys() - shown - set(report.coming):
            if now - self.adapters[name] > REPORT_LAG_SECONDS:
                del self.adapters[name]

    def _add_adapters(self, loaded: Iterable[registry_lib.Loaded]) -> None:
        """Adds adapters that an engine says it holds.

        None is ever taken off by a report of its own accord: that may be
        older than the order that loaded one. Engines lose adapters only by
        orders and restarts.
        """
        now = clock.now()
        for held in loaded:
            for adapter in held.adapters:
                name = f"{held.model}/{adapter}"
                if now - self._dropped.get(name, 0.0) > REPORT_LAG_SECONDS:
                    self.adapters.setdefault(name, now)
