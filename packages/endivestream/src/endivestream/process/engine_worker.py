"""State of one engine and serialized load and unload orders to it.

Every order carries the number of orders that the engine is expected to have
accepted before. An order without an answer may be executed seconds later;
until the engine accepts another order with the same number, the model or
adapter that it would load counts as held.
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

# Engines answer orders within a few milliseconds.
ORDER_TIMEOUT_SECONDS = 0.5
MAX_ORDER_ATTEMPTS = 6
# Delay before an order to a busy engine is sent again.
BUSY_RETRY_SECONDS = 0.06
# Maximum age of the state in an engine's answer to a report request.
MAX_REPORT_AGE_SECONDS = 0.4
# Unsolicited reports may predate an order that unloaded an adapter by up to
# this time.
MAX_REPORT_LAG_SECONDS = 3.0
# An adapter that is unloaded while requests use it keeps its place until these
# have ended; the engine is polled at this interval, up to this timeout.
UNLOAD_POLL_SECONDS = 0.3
UNLOAD_TIMEOUT_SECONDS = 8.0


class EngineWorker:
    """One engine of a service, while this host is the lease holder.

    Attributes:
        registration: The engine's newest registration.
        closing: Models that entry hosts must not send new requests to.
        adapters: Loaded adapters as `MODEL/ADAPTER`, with the time of the last
            use of each.
        evicting_adapters: Adapters of `adapters` that are about to be unloaded.
        pending_adapters: `MODEL/ADAPTER` whose load is planned or ordered and
            not complete.
        step: The placement step in progress, or None.
        step_started_at: When that step started.
        expected_ready_at: When the model of that step is expected to be loaded.
        task: The task that executes the step.
        is_busy: Whether the engine executes an order for a model and accepts no
            other order.
        blocked_until: Earliest time of the next step after a failed one.
        adapters_blocked_until: Earliest time of the next adapter load after a
            failed one.
        queried_at: When the engine was last queried.
        report_received: Set with each unsolicited report.
    """

    def __init__(
        self,
        *,
        registration: registry_lib.Registration,
        engines: engines_lib.Engines,
        holder: str,
        fence: int,
        may_order: Callable[[], bool],
        on_request_sent: Callable[[str], None] = lambda target: None,
    ) -> None:
        self.registration = registration
        self.closing: set[str] = set()
        self.adapters: dict[str, float] = {}
        self.evicting_adapters: set[str] = set()
        self.pending_adapters: set[str] = set()
        self.step: plan_types.Step | None = None
        self.step_started_at = 0.0
        self.expected_ready_at = 0.0
        self.task: asyncio.Task[None] | None = None
        self.is_busy = False
        self.blocked_until = float("-inf")
        self.has_ordered_load = False
        self.failed_steps = 0
        self.adapters_blocked_until = float("-inf")
        self.queried_at = float("-inf")
        self.report_received = asyncio.Event()
        self._engines = engines
        self._holder = holder
        self._fence = fence
        self._may_order = may_order
        self._on_request_sent = on_request_sent
        self._sent_orders = 0
        self._lock = asyncio.Lock()
        # Number of orders that the engine has accepted; None if unknown.
        self._accepted_orders: int | None = None
        self._accepted_at = float("-inf")
        # Time before which a model must not be displaced, by model.
        self._pinned_until: dict[str, float] = {}
        # Adapters whose unload was accepted while requests may still use them.
        self._unloading_adapters: set[str] = set()
        # When each adapter was unloaded.
        self._unloaded_at: dict[str, float] = {}
        # Models in the last query's answer that are in no unsolicited report
        # yet.
        self._queried_models: set[str] = set()
        # Whether the engine executes an order that is unknown here: one of the
        # previous lease holder, or of this host before its process restarted.
        self._has_unknown_order = False
        # Models and adapters that orders without an answer may still load, with
        # the expected order count that each order carried.
        self._unconfirmed_loads: dict[str, int] = {}
        # Sizes of the models among them, in MB.
        self._unconfirmed_sizes: dict[str, float] = {}

    def __repr__(self) -> str:
        return (
            f"<EngineWorker {self.registration.name} "
            f"accepted {self._accepted_orders}>"
        )

    @property
    def sent_orders(self) -> int:
        """Number of orders sent, answered or not."""
        return self._sent_orders

    @property
    def will_load_from_store(self) -> bool:
        """Whether its step will send an order to load from the store."""
        return (
            self.step is not None
            and self.step.from_store
            and not self.has_ordered_load
        )

    @property
    def has_unknown_order(self) -> bool:
        """Whether the last query showed an order that is unknown here."""
        return self._has_unknown_order

    @property
    def unconfirmed_adapters(self) -> set[str]:
        """Adapters that orders without an answer may still load.

        Each has a place already.
        """
        return {name for name in self._unconfirmed_loads if "/" in name}

    @property
    def models(self) -> set[str]:
        """Loaded models."""
        return {
            loaded.model for loaded in self.registration.loaded
        } | self._queried_models

    @property
    def loading(self) -> str:
        """The model of the step in progress, or empty."""
        return self.step.model if self.step else ""

    def pinned_models(self, now: float) -> frozenset[str]:
        """Returns the models that must not be displaced at this time."""
        return frozenset(
            m for m, until in self._pinned_until.items() if now < until
        )

    def pin_model(self, model: str, until: float) -> None:
        """Protects a recently loaded model from displacement."""
        self._pinned_until[model] = until

    def limit_pin(self, model: str, until: float) -> None:
        """Shortens the protection of a model that serves requests."""
        if model in self._pinned_until:
            self._pinned_until[model] = min(self._pinned_until[model], until)

    def apply_report(self, registration: registry_lib.Registration) -> None:
        """Applies an unsolicited report of the engine."""
        self.registration = registration
        self.failed_steps = 0
        self._queried_models -= {loaded.model for loaded in registration.loaded}
        self._add_adapters(registration.loaded)
        self.report_received.set()

    def fits(self, model: str, engine: document_lib.EngineCapacity) -> bool:
        """Returns whether a model is certain to fit into the engine's memory.

        An engine that is ordered to hold more than fits crashes, and all
        requests that run on it fail. Nothing is certain to fit beside a model
        whose size is unknown because the configuration no longer lists it.
        """
        unconfirmed_models = {
            name for name in self._unconfirmed_loads if "/" not in name
        }
        sizes = {m.name: m.weights_mb for m in engine.models}
        sizes = self._unconfirmed_sizes | sizes
        held = {*self.models, *unconfirmed_models, model}
        if not held <= sizes.keys():
            return False
        weights = sum(sizes[name] for name in held)
        adapters = engine.adapter_places * max(
            (m.adapter_mb for m in engine.models), default=0.0
        )
        return weights + adapters <= engine.weights_mb

    def free_adapter_places(self, engine: document_lib.EngineCapacity) -> int:
        """Returns how many more adapters may be planned for the engine.

        Adapters about to be unloaded do not count: their places are reserved
        for the pending adapters that replace them.
        """
        held = self._held_adapters() | self.pending_adapters
        return engine.adapter_places - len(held - self.evicting_adapters)

    def _held_adapters(self) -> set[str]:
        """Returns the adapters that may be loaded now."""
        return {
            *self.adapters,
            *self.unconfirmed_adapters,
            *self._unloading_adapters,
        }

    def _has_room(self, name: str, engine: document_lib.EngineCapacity) -> bool:
        """Returns whether a load may be ordered now.

        Plans assume the effects of earlier orders; one of these may have been
        refused, or an older order executed since.
        """
        if "/" in name:
            held = self._held_adapters() | {name}
            return len(held) <= engine.adapter_places
        return self.fits(name, engine)

    def remove_model_state(self, model: str) -> None:
        """Removes the state of an unloaded model and of its adapters."""
        self._queried_models.discard(model)
        self._pinned_until.pop(model, None)
        for name in list(self.adapters):
            if name.startswith(f"{model}/"):
                del self.adapters[name]
        self._unloading_adapters = {
            name
            for name in self._unloading_adapters
            if not name.startswith(f"{model}/")
        }

    async def wait_until_unloaded(self, name: str) -> bool:
        """Waits until an adapter whose unload was accepted is unloaded.

        Returns:
            Whether it is unloaded. If not, it still counts as held.
        """
        until = clock.now() + UNLOAD_TIMEOUT_SECONDS
        while name in self._unloading_adapters:
            if clock.now() >= until:
                return False
            await asyncio.sleep(UNLOAD_POLL_SECONDS)
            await self.query()
        return True

    def note_adapter_unloaded(self, name: str) -> None:
        """Records that the engine has confirmed an adapter's unload."""
        self.adapters.pop(name, None)
        self.evicting_adapters.discard(name)
        self._unloaded_at[name] = clock.now()

    async def query(self) -> None:
        """Queries the engine for the models and adapters that it holds."""
        async with self._lock:
            await self._query()

    def invalidate_order_count(self) -> None:
        """Discards the known order count; the next order queries it first."""
        self._accepted_orders = None

    async def order(
        self,
        *,
        load: bool,
        model: str,
        adapter: str = "",
        engine: document_lib.EngineCapacity,
    ) -> bool:
        """Sends one order.

        Args:
            load: True to load, False to unload.
            model: The model.
            adapter: An adapter of the model, or empty for the model itself.
            engine: Capacity of the service's engines.

        Returns:
            Whether the order was accepted or its effect is already present. If
            not, the state that the plan assumed is uncertain, and the step
            must be planned again.
        """
        name = f"{model}/{adapter}" if adapter else model
        async with self._lock:
            # An unknown order may have completed since the last query.
            is_count_known = self._accepted_orders is not None and not (
                self._has_unknown_order and load and not adapter
            )
            if not is_count_known and not await self._query():
                return False
            for attempt in range(MAX_ORDER_ATTEMPTS):
                if not self._may_order():
                    return False
                if load and not adapter and self._has_unknown_order:
                    # The model being loaded is in no report yet. An order
                    # that arrives right after that load would exceed the
                    # engine's memory by one model: the engine would crash,
                    # and all requests that run on it would fail.
                    logs.warn("order_under_way", target=self.registration.name)
                    return False
                if load and not self._has_room(name, engine):
                    logs.warn(
                        "no_room", target=self.registration.name, load=name
                    )
                    return False
                expected = self._accepted_orders or 0
                has_other_load = any(
                    number == expected and other != name
                    for other, number in self._unconfirmed_loads.items()
                )
                outcome = await self._send(load, model, adapter, attempt)
                match outcome:
                    case (
                        engines_lib.Outcome.ACCEPTED | engines_lib.Outcome.DONE
                    ):
                        self._note_accepted(expected)
                        self._note_effect(load, name)
                        if outcome == engines_lib.Outcome.ACCEPTED and (
                            adapter and not load
                        ):
                            self._unloading_adapters.add(name)
                        return True
                    case engines_lib.Outcome.REFUSED:
                        return False
                    case engines_lib.Outcome.UNANSWERED if load:
                        self._unconfirmed_loads[name] = expected
                        self._record_size(name, engine)
                    case engines_lib.Outcome.BUSY if attempt % 2 == 0 and (
                        adapter or not load
                    ):
                        # Either another order is still in progress, or this
                        # one has an unexpected number. The first is more
                        # likely and resolves without a query.
                        await asyncio.sleep(BUSY_RETRY_SECONDS)
                        continue
                if not await self._query():
                    return False
                if self._accepted_orders != expected:
                    # Some order was executed. If it can only be this one,
                    # it has succeeded; an older one has changed the state
                    # that this order assumed.
                    is_unanswered = outcome == engines_lib.Outcome.UNANSWERED
                    if is_unanswered and not has_other_load:
                        self._note_effect(load, name)
                    return is_unanswered and not has_other_load
        return False

    def _record_size(
        self, name: str, engine: document_lib.EngineCapacity
    ) -> None:
        """Records the size of a model that an unanswered order may load."""
        self._unconfirmed_sizes = {
            known: size
            for known, size in self._unconfirmed_sizes.items()
            if known in self._unconfirmed_loads
        } | {m.name: m.weights_mb for m in engine.models if m.name == name}

    def _note_effect(self, load: bool, name: str) -> None:
        if load and "/" in name:
            self.adapters[name] = clock.now()
        if not load:
            self._queried_models.discard(name)

    async def _send(
        self, load: bool, model: str, adapter: str, attempt: int
    ) -> engines_lib.Outcome:
        order = engines_lib.Order(
            load=load,
            model=model,
            adapter=adapter,
            expected=self._accepted_orders or 0,
            holder=self._holder,
            fence=self._fence,
        )
        self._on_request_sent(self.registration.name)
        self._sent_orders += 1
        outcome = await self._engines.order(
            self.registration.address,
            self.registration.name,
            order,
            seconds=ORDER_TIMEOUT_SECONDS,
        )
        logs.event(
            "order",
            target=self.registration.name,
            load=load,
            model=model,
            adapter=adapter,
            expected=order.expected,
            fence=self._fence,
            attempt=attempt,
            outcome=outcome,
        )
        return outcome

    def _note_accepted(self, expected: int) -> None:
        """Counts an accepted order; the engine now rejects older numbers."""
        self._accepted_orders = expected + 1
        self._accepted_at = clock.now()
        self._unconfirmed_loads = {
            n: e for n, e in self._unconfirmed_loads.items() if e > expected
        }

    async def _query(self) -> bool:
        """Queries the engine's order count, models and adapters."""
        # The state in an answer is slightly older than the answer. A query
        # right after an order would return the previous count (symptom: every
        # further order is refused).
        wait = self._accepted_at + MAX_REPORT_AGE_SECONDS - clock.now()
        await asyncio.sleep(max(0.0, wait))
        self.queried_at = clock.now()
        self._on_request_sent(self.registration.name)
        report = await self._engines.report(
            self.registration.address, seconds=ORDER_TIMEOUT_SECONDS
        )
        if report is None:
            return False
        self._accepted_orders = report.accepted
        self._has_unknown_order = report.busy
        if not report.busy:
            # A load in progress is not in the report yet.
            self._unconfirmed_loads = {
                n: e
                for n, e in self._unconfirmed_loads.items()
                if e >= report.accepted
            }
        loaded = {held.model for held in report.loaded}
        self._queried_models = loaded - {
            held.model for held in self.registration.loaded
        }
        self._remove_absent_adapters(report)
        # The answer is newer than any order that unloaded one of its adapters.
        for held in report.loaded:
            for adapter in held.adapters:
                self._unloaded_at.pop(f"{held.model}/{adapter}", None)
        self._add_adapters(report.loaded)
        return True

    def _remove_absent_adapters(self, report: engines_lib.Report) -> None:
        """Removes adapters that are missing from a query's answer.

        The query ran under the lock, so the answer includes the effect of every
        order of this host. Adapters used recently are kept nevertheless.
        """
        shown = {
            f"{held.model}/{adapter}"
            for held in report.loaded
            for adapter in held.adapters
        }
        now = clock.now()
        self._unloading_adapters &= shown
        for name in self.adapters.keys() - shown - set(report.loading):
            if now - self.adapters[name] > MAX_REPORT_LAG_SECONDS:
                del self.adapters[name]

    def _add_adapters(self, loaded: Iterable[registry_lib.Loaded]) -> None:
        """Adds adapters that an engine reports as loaded.

        An unsolicited report never removes an adapter, because it may be older
        than the order that loaded it. Engines unload adapters only on orders
        and restarts.
        """
        now = clock.now()
        for held in loaded:
            for adapter in held.adapters:
                name = f"{held.model}/{adapter}"
                if (
                    now - self._unloaded_at.get(name, 0.0)
                    > MAX_REPORT_LAG_SECONDS
                ):
                    self.adapters.setdefault(name, now)
