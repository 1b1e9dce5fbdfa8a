"""The task that plans placement and sends orders to engines."""

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

# An order whose effect is not seen after this long is sent again, under the
# same fencing token: it was lost, or is late, and loading twice is one load.
_RESEND_SECONDS = 5.0
_ORDER_SECONDS = 2.0


class Placer:
    """Plans on a timer; every order is an intent in the log first."""

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
        # A new leader starts with one load: what the last one started within
        # the last second is not known here.
        self._pace = placement.Pace(rate=loads_per_second, now=time.monotonic())
        self._sent: dict[tuple[str, int, str], float] = {}
        self._unplaced: set[str] = set()
        self._refused: set[tuple[str, int]] = set()
        self._task: asyncio.Task[None] | None = None
        self._sending: set[asyncio.Task[None]] = set()

    @property
    def unplaced(self) -> list[str]:
        """Models that lack a copy and have no room."""
        return sorted(self._unplaced)

    def start(self) -> None:
        """Starts to plan."""
        self._task = asyncio.create_task(self._run())

    async def close(self) -> None:
        """Stops to plan; orders under way may still reach their engines."""
        await tasks.cancel((self._task, *self._sending))

    async def _run(self) -> None:
        while True:
            await asyncio.sleep(self._plan_seconds)
            try:
                await self._round()
            except (replicate.NotLeaderError, replicate.LostError) as error:
                # The next leader plans from the ledger; an intent that did
                # commit is there, and its order is sent by that leader.
                logs.warn("plan_stopped", why=error)
            except OSError as error:
                logs.warn("plan_stopped", why=error)
                return

    async def _round(self) -> None:
        now = time.monotonic()
        live = self._targets.live(now)
        for session in live:
            if session.info.kind == "engine":
                await self._register(session)
                await self._confirm(session)
        engines = {s.info.name for s in live if s.info.kind == "engine"}
        state = self._replicator.state
        plan = placement.plan(
            state.configuration.rules.models,
            state.ledger.targets,
            live=engines,
            most_loads=self._loads_at_once,
            most_new=self._pace.allowed(now),
        )
        self._pace.started(len(plan.loads))
        for load in plan.loads:
            await self._intend(load)
        self._report_unplaced(plan.unplaced)
        self._send_due(live, now)

    async def _register(self, session: targets_lib.Session) -> None:
        info = session.info
        known = self._replicator.state.ledger.targets.get(info.name)
        if known is not None and known.incarnation >= info.incarnation:
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
        name = (info.name, info.incarnation)
        if isinstance(result, ledger_lib.Refused) and name not in self._refused:
            self._refused.add(name)
            logs.warn("target_refused", target=info.name, why=result.reason)

    async def _confirm(self, session: targets_lib.Session) -> None:
        info = session.info
        known = self._replicator.state.ledger.targets.get(info.name)
        if known is None or known.incarnation != info.incarnation:
            return
        for model, entry in list(known.entries.items()):
            if entry.loaded or model not in session.loaded:
                continue
            await self._replicator.propose(
                ledger_lib.ConfirmLoad(
                    target=info.name, incarnation=info.incarnation, model=model
                )
            )
            self._sent.pop((info.name, info.incarnation, model), None)
            logs.event("loaded", target=info.name, model=model)

    async def _intend(self, load: placement.Load) -> None:
        result = await self._replicator.propose(
            ledger_lib.IntendLoad(
                target=load.target,
                incarnation=load.incarnation,
                model=load.model,
                memory=load.memory,
            )
        )
        match result:
            case ledger_lib.Reserved(fence=fence):
                logs.event(
                    "place",
                    order="load",
                    model=load.model,
                    target=load.target,
                    memory=load.memory,
                    fence=fence,
                    reason=load.reason,
                )
            case ledger_lib.Refused(reason=reason):
                logs.warn(
                    "place_refused",
                    model=load.model,
                    target=load.target,
                    why=reason,
                )

    def _report_unplaced(self, unplaced: list[placement.Unplaced]) -> None:
        names = {copy.model for copy in unplaced}
        for copy in unplaced:
            if copy.model not in self._unplaced:
                logs.warn(
                    "no_room",
                    model=copy.model,
                    memory=copy.memory,
                    largest_free=copy.largest_free,
                )
        self._unplaced = names

    def _send_due(self, live: list[targets_lib.Session], now: float) -> None:
        for session in live:
            info = session.info
            known = self._replicator.state.ledger.targets.get(info.name)
            if known is None or known.incarnation != info.incarnation:
                continue
            for model, entry in known.entries.items():
                name = (info.name, info.incarnation, model)
                sent = self._sent.get(name)
                due = sent is None or now - sent > _RESEND_SECONDS
                if entry.loaded or not due:
                    continue
                self._sent[name] = now
                order = {
                    "order": "load",
                    "incarnation": info.incarnation,
                    "model": model,
                    "memory": entry.memory,
                    "fence": [self._replicator.term, entry.fence],
                }
                task = asyncio.create_task(self._send(info.url, order))
                self._sending.add(task)
                task.add_done_callback(self._sending.discard)

    async def _send(self, url: str, order: dict[str, object]) -> None:
        exchange = exchange_lib.Exchange(pool=self._pool, url=url)
        try:
            await exchange.start(
                "POST",
                "/endivestream/orders",
                {"Content-Type": "application/json"},
                msgspec.json.encode(order),
                connect_seconds=_ORDER_SECONDS,
            )
            head = await exchange.head(seconds=_ORDER_SECONDS)
            body = b""
            async for chunk in exchange.chunks(silence=_ORDER_SECONDS):
                body += chunk
            if head.status != 200:
                logs.warn("order_refused", url=url, why=body.decode())
        except exchange_lib.ExchangeError as error:
            # Lost or late: its memory stays reserved, and it is sent again.
            logs.warn("order_unanswered", url=url, error=error)
        finally:
            exchange.close()
