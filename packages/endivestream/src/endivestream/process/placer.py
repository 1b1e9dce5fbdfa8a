"""Plans model placement and sends load orders to engines."""

from __future__ import annotations

import asyncio
import time

import msgspec

from endivestream import logs
from endivestream import tasks
from endivestream.connection import exchange as exchange_lib
from endivestream.connection import targets as targets_lib
from endivestream.version import ledger as ledger_lib
from endivestream.version import placement
from endivestream.version import replicate

# An order without a reported effect is sent again after this time with the same
# fencing token. It was lost or is late; a repeated load has no further effect.
_RESEND_SECONDS = 5.0
_ORDER_TIMEOUT_SECONDS = 2.0
_MAX_LOGGED_BYTES = 256


class Placer:
    """Plans periodically; commits each order to the log before sending it."""

    def __init__(
        self,
        *,
        replicator: replicate.Replicator,
        targets: targets_lib.Targets,
        pool: exchange_lib.Pool,
        plan_seconds: float,
        loads_at_once: int,
        loads_per_second: float,
    ) -> None:
        self._replicator = replicator
        self._targets = targets
        self._pool = pool
        self._plan_seconds = plan_seconds
        self._loads_at_once = loads_at_once
        # A new leader starts with one load, because it has no record of the
        # loads that the previous leader started within the last second.
        self._load_rate = placement.LoadRateLimiter(
            rate=loads_per_second, now=time.monotonic()
        )
        self._sent_at: dict[tuple[str, int, str], float] = {}
        self._unplaced_models: set[str] = set()
        self._refused_targets: set[tuple[str, int]] = set()
        self._task: asyncio.Task[None] | None = None
        self._send_tasks: set[asyncio.Task[None]] = set()

    @property
    def unplaced(self) -> list[str]:
        """Models that lack a copy and fit on no engine."""
        return sorted(self._unplaced_models)

    def start(self) -> None:
        """Starts planning."""
        self._task = asyncio.create_task(self._run())

    async def close(self) -> None:
        """Stops planning; orders already sent may still reach their engines."""
        await tasks.cancel((self._task, *self._send_tasks))

    async def _run(self) -> None:
        while True:
            await asyncio.sleep(self._plan_seconds)
            try:
                await self._run_round()
            except (
                replicate.NotLeaderError,
                replicate.LeadershipLostError,
            ) as error:
                # The next leader plans from the ledger. It sends the orders of
                # all intents that were committed.
                logs.warn("plan_stopped", why=error)
            except OSError as error:
                logs.warn("plan_stopped", why=error)
                return

    async def _run_round(self) -> None:
        now = time.monotonic()
        live = self._targets.live(now)
        for session in live:
            if session.info.kind == "engine":
                await self._register(session)
                await self._confirm_loads(session)
        engines = {s.info.name for s in live if s.info.kind == "engine"}
        state = self._replicator.state
        plan = placement.plan(
            state.configuration.rules.models,
            state.ledger.targets,
            live=engines,
            max_loads=self._loads_at_once,
            max_new=self._load_rate.available(now),
        )
        self._load_rate.take(len(plan.loads))
        for load in plan.loads:
            await self._commit_intent(load)
        self._report_unplaced(plan.unplaced)
        self._send_due_orders(live, now)

    async def _register(self, session: targets_lib.Session) -> None:
        info = session.info
        recorded = self._replicator.state.ledger.targets.get(info.name)
        if recorded is not None and recorded.incarnation >= info.incarnation:
            return
        result = await self._replicator.propose(
            ledger_lib.RegisterTarget(
                target=info.name,
                incarnation=info.incarnation,
                domain=info.domain,
                memory=info.memory,
                checks_fencing=info.checks_fencing,
                loaded=info.loaded,
            )
        )
        key = (info.name, info.incarnation)
        if (
            isinstance(result, ledger_lib.LedgerRejected)
            and key not in self._refused_targets
        ):
            self._refused_targets.add(key)
            logs.warn("target_refused", target=info.name, why=result.reason)

    async def _confirm_loads(self, session: targets_lib.Session) -> None:
        info = session.info
        recorded = self._replicator.state.ledger.targets.get(info.name)
        if recorded is None or recorded.incarnation != info.incarnation:
            return
        for model, entry in list(recorded.entries.items()):
            if entry.loaded or model not in session.loaded:
                continue
            await self._replicator.propose(
                ledger_lib.ConfirmLoad(
                    target=info.name, incarnation=info.incarnation, model=model
                )
            )
            self._sent_at.pop((info.name, info.incarnation, model), None)
            logs.event("loaded", target=info.name, model=model)

    async def _commit_intent(self, load: placement.Load) -> None:
        result = await self._replicator.propose(
            ledger_lib.ReserveLoad(
                target=load.target,
                incarnation=load.incarnation,
                model=load.model,
                memory=load.memory,
            )
        )
        match result:
            case ledger_lib.MemoryReserved(fencing_token=fence):
                logs.event(
                    "place",
                    order="load",
                    model=load.model,
                    target=load.target,
                    memory=load.memory,
                    fence=fence,
                    reason=load.reason,
                )
            case ledger_lib.LedgerRejected(reason=reason):
                logs.warn(
                    "place_refused",
                    model=load.model,
                    target=load.target,
                    why=reason,
                )

    def _report_unplaced(self, unplaced: list[placement.Unplaced]) -> None:
        names = {copy.model for copy in unplaced}
        for copy in unplaced:
            if copy.model not in self._unplaced_models:
                logs.warn(
                    "no_room",
                    model=copy.model,
                    memory=copy.memory,
                    largest_free=copy.largest_free,
                )
        self._unplaced_models = names

    def _send_due_orders(
        self, live: list[targets_lib.Session], now: float
    ) -> None:
        for session in live:
            info = session.info
            recorded = self._replicator.state.ledger.targets.get(info.name)
            if recorded is None or recorded.incarnation != info.incarnation:
                continue
            for model, entry in recorded.entries.items():
                key = (info.name, info.incarnation, model)
                sent_at = self._sent_at.get(key)
                due = sent_at is None or now - sent_at > _RESEND_SECONDS
                if entry.loaded or not due:
                    continue
                self._sent_at[key] = now
                order = {
                    "order": "load",
                    "incarnation": info.incarnation,
                    "model": model,
                    "memory": entry.memory,
                    "fence": [self._replicator.term, entry.fencing_token],
                }
                task = asyncio.create_task(self._send_order(info.url, order))
                self._send_tasks.add(task)
                task.add_done_callback(self._send_tasks.discard)

    async def _send_order(self, url: str, order: dict[str, object]) -> None:
        exchange = exchange_lib.Exchange(pool=self._pool, url=url)
        try:
            await exchange.start(
                "POST",
                "/endivestream/orders",
                {"Content-Type": "application/json"},
                msgspec.json.encode(order),
                connect_seconds=_ORDER_TIMEOUT_SECONDS,
            )
            head = await exchange.head(seconds=_ORDER_TIMEOUT_SECONDS)
            body = await exchange.body(seconds=_ORDER_TIMEOUT_SECONDS)
            if head.status != 200:
                why = body[:_MAX_LOGGED_BYTES].decode(errors="replace")
                logs.warn("order_refused", url=url, why=why)
        except exchange_lib.ExchangeError as error:
            # The order is lost or late: its memory stays reserved, and it is
            # sent again.
            logs.warn("order_unanswered", url=url, error=error)
        finally:
            exchange.close()
