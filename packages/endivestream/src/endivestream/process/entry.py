"""An entry host of a site: serves callers from what the leader has told.

It decides alone. Configuration, targets and credit come by `connection.watch`;
a request then takes `request.forward` without asking anyone. Without word of a
leader it goes on until its lease ends, and then refuses.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from collections.abc import Coroutine
from collections.abc import Sequence
import contextlib
import math
import time

from tornado import httpserver
from tornado import netutil
import zmq.asyncio

from endivestream import clock
from endivestream import logs
from endivestream import loop_meter
from endivestream import messages
from endivestream import site_messages
from endivestream import tasks
from endivestream.connection import exchange as exchange_lib
from endivestream.connection import links
from endivestream.connection import watch as watch_lib
from endivestream.process import entry_credit
from endivestream.process import entry_rate_limits
from endivestream.process import entry_repeats
from endivestream.process import freshness as freshness_lib
from endivestream.process import push_relay
from endivestream.process import site_metrics
from endivestream.process import site_settings
from endivestream.process import turn_desk
from endivestream.request import admission
from endivestream.request import allowance as allowance_lib
from endivestream.request import call as call_lib
from endivestream.request import choice as choice_lib
from endivestream.request import demand as demand_lib
from endivestream.request import forward as forward_lib
from endivestream.request import forward_parts
from endivestream.request import names as names_lib
from endivestream.request import rate_limits as rate_limits_lib
from endivestream.request import routes as routes_lib
from endivestream.request import unserved as unserved_lib
from endivestream.version import document as document_lib

# What callers are told of entry hosts: at least so many, from other failure
# domains if need be, so that one loss leaves them another.
_LEAST_ADDRESSES = 2
# Target that a complete table no longer names: kept for so long, in case the
# way from it to the control hosts is cut and the way to us is not.
_UNNAMED_SECONDS = 20.0
# Before the kill that follows a stop: what still runs then is broken off by
# us, with an end that callers understand.
_STOP_MARGIN_SECONDS = 0.35
_DRAIN_POLL_SECONDS = 0.05
# Of that margin, for the final answers of what still runs then to leave.
_LAST_ANSWERS_SECONDS = 0.15
# A stopping host takes no new streams once less than this part of its grace is
# left, and no other requests in the last part: what it takes, it must finish.
# Long streams take five seconds.
_STREAM_GRACE = 0.65
_OTHER_GRACE = 0.25


class Entry:
    """One entry host. Lives as long as the process."""

    def __init__(
        self,
        *,
        settings: site_settings.SiteSettings,
        names: names_lib.HeaderNames,
    ) -> None:
        self._settings = settings
        self._context = zmq.asyncio.Context()
        self._meter = loop_meter.LoopMeter()
        self._pool = exchange_lib.Pool()
        self._limits = rate_limits_lib.RateLimits()
        self._view = choice_lib.View(
            domain=settings.domain, limits=self._limits
        )
        self._allowance = allowance_lib.Allowance()
        self._table: routes_lib.Table | None = None
        self._position = site_messages.Position()
        self._entries: tuple[site_messages.EntryHost, ...] = ()
        self._unnamed: dict[str, float] = {}
        self._demand = demand_lib.Meters(now=clock.now())
        self._unserved = unserved_lib.Unserved()
        self._waiting: dict[tuple[str, str, str], list[float]] = {}
        self._changed = asyncio.Event()
        self._draining = False
        self._leased_until = -math.inf
        self._ends = math.inf
        self._incarnation = time.time_ns() // 1_000_000
        self._watch = watch_lib.Watch(
            controls=settings.controls,
            context=self._context,
            every=settings.renew_seconds,
            renewal=self._renewal,
            on_renewed=self._renewed,
            on_push=self._take_leader_push,
            meter=self._meter,
        )
        self._turn_desk = turn_desk.TurnDesk(
            name=settings.name, context=self._context, meter=self._meter
        )
        self._push_relay = push_relay.PushRelay(
            host=settings.name,
            domain=settings.domain,
            context=self._context,
            on_push=self._take_push,
            changed=self._watch.poke,
            has_lease=lambda: self._watch.lease_until > clock.now(),
            meter=self._meter,
        )
        self._peer_server: links.Server | None = None
        if settings.peers:
            self._peer_server = links.Server(
                address=settings.peers,
                context=self._context,
                handle=self._answer_peer,
                meter=self._meter,
            )
        self._rate_limits = entry_rate_limits.EntryRateLimits(
            limits=self._limits, watch=self._watch, changed=self._watch.poke
        )
        self._metrics = site_metrics.EntryMetrics(
            running=lambda: self.running,
            version=lambda: self.version,
            lease=lambda: max(0.0, self._watch.lease_until - clock.now()),
            targets=lambda: len(self._view.targets),
            rate_limited=lambda: self._limits.count,
            limited_sends=lambda: self._rate_limits.outcomes,
            meter=self._meter,
        )
        rules = admission.Rules(
            names=names,
            table=lambda: self._table,
            lease_until=lambda: self._watch.lease_until,
            share=lambda: 1 / max(1, len(self._entries)),
            takes=self._takes,
        )
        self._freshness = freshness_lib.Freshness(
            watch=self._watch,
            version=lambda: self.version,
            changed=self._wait_for_change,
        )
        self._credit = entry_credit.EntryCredit(
            allowance=self._allowance,
            watch=self._watch,
            host=settings.name,
        )
        self._repeats = entry_repeats.EntryRepeats(
            bounds=settings.bounds, watch=self._watch
        )
        parts = forward_parts.Parts(
            rules=rules,
            view=self._view,
            pool=self._pool,
            credit=self._credit,
            repeats=self._repeats.budget,
            ask_repeat=self._repeats.ask,
            missing=self._missing,
            changed=self._wait_for_change,
            confirm=self._freshness.confirm,
            asked=self._count,
            found=self._found,
            idle=self._watch.poke,
            freed=self._signal_change,
            heard_limit=self._rate_limits.heard,
            permit=self._rate_limits.permit,
            turn=self._turn_desk.take,
            observe=self._metrics.observe,
        )
        self._forwarder = forward_lib.Forwarder(parts=parts)
        self._front = call_lib.Front(serve=self._forwarder.serve, now=clock.now)
        self._server: httpserver.HTTPServer | None = None
        self._telling: set[asyncio.Task[None]] = set()

    @property
    def is_ready(self) -> bool:
        """Whether callers should connect here."""
        return (
            not self._draining
            and self._table is not None
            and self._watch.lease_until > clock.now()
        )

    @property
    def metrics(self) -> site_metrics.EntryMetrics:
        """What this host counts."""
        return self._metrics

    @property
    def running(self) -> int:
        """Requests under way."""
        return self._front.running

    @property
    def version(self) -> int:
        """The configuration version in force here; 0 before the first."""
        return self._table.document.version if self._table else 0

    def addresses(self, domain: str) -> list[str]:
        """Returns where callers of a failure domain should connect.

        Hosts of their own domain; with too few of these, all others too.
        """
        live = [host for host in self._entries if not host.draining]
        near = [host.address for host in live if host.domain == domain]
        if len(near) >= _LEAST_ADDRESSES:
            return near
        return [host.address for host in live]

    def start(self) -> None:
        """Listens for callers and looks for the leader.

        Raises:
            OSError: The address cannot be used.
        """
        host, port = self._settings.callers.rsplit(":", 1)
        sockets = netutil.bind_sockets(int(port), host, backlog=1024)
        limits = document_lib.Limits()
        self._server = httpserver.HTTPServer(
            self._front,
            max_header_size=limits.header_bytes,
            max_body_size=limits.body_bytes,
            max_buffer_size=limits.body_bytes + limits.header_bytes,
            idle_connection_timeout=limits.idle_seconds,
        )
        self._server.add_sockets(sockets)
        self._meter.start()
        if self._peer_server is not None:
            self._peer_server.start()
            self._push_relay.start()
        self._watch.start()

    def set_controls(self, controls: Sequence[str]) -> None:
        """Takes over the control hosts that changed settings name."""
        self._watch.set_seeds(controls)

    async def drain(self) -> None:
        """Stops without cutting a request.

        The host leaves the answer that callers get, serves those that still
        come, and ends when their answers are surely stale.
        """
        begun = clock.now()
        until = begun + self._settings.bounds.grace - _STOP_MARGIN_SECONDS
        self._draining = True
        self._ends = until
        self._watch.poke()
        if self._server is not None:
            # Callers on open connections learn with their next answer.
            self._server.conn_params.no_keep_alive = True
        stale = min(until, begun + 3 * self._settings.address_seconds)
        while clock.now() < until:
            await asyncio.sleep(_DRAIN_POLL_SECONDS)
            self._forwarder.stop_waiting()
            if clock.now() >= stale and not self._front.running:
                break
        self._forwarder.stop_all()
        answered = clock.now() + _LAST_ANSWERS_SECONDS
        while self._front.running and clock.now() < answered:
            await asyncio.sleep(_DRAIN_POLL_SECONDS / 5)
        logs.event(
            "drained",
            seconds=clock.now() - begun,
            running=self._front.running,
        )

    async def close(self) -> None:
        """Closes everything; requests under way are broken off."""
        if self._server is not None:
            self._server.stop()
        await self._freshness.close()
        await self._credit.close()
        await self._watch.close()
        await self._turn_desk.close()
        await self._push_relay.close()
        if self._peer_server is not None:
            await self._peer_server.close()
        await self._meter.close()
        await tasks.cancel(list(self._telling))
        self._pool.close()
        self._context.destroy(linger=0)

    # What the leader says.

    def _renewal(self, is_new_leader: bool) -> site_messages.Renew:
        now = clock.now()
        rates = self._demand.rates(now)
        demand = tuple(
            site_messages.Demand(
                *key,
                rates.get(key, 0.0),
                len(self._waiting.get(key, ())),
                min(self._waiting.get(key) or [0.0]),
                round(self._unserved.seconds(key, now), 1),
            )
            for key in {*rates, *self._waiting}
        )
        return site_messages.Renew(
            host=site_messages.EntryHost(
                self._settings.name,
                self._incarnation,
                self._settings.domain,
                self._settings.callers,
                self._draining,
                self._settings.peers,
            ),
            version=self.version,
            position=self._position,
            demand=demand,
            uses=self._view.uses(),
            needs=self._allowance.needs(now),
            failing=self._view.failing(now),
            relay=self._push_relay.relay,
            controls=self._watch.controls_digest,
            limits=self._rate_limits.report(everything=is_new_leader),
        )

    def _take_leader_push(self, message: messages.Message) -> None:
        """Handles a push from the leader and forwards it to followers."""
        followers = self._push_relay.followers
        if followers and self._peer_server is not None:
            self._run_in_background(self._peer_server.push(followers, message))
        self._take_push(message)

    def _take_push(self, message: messages.Message) -> None:
        match message:
            case site_messages.News():
                self._take_news(message)
            case site_messages.Loads(loads=loads):
                self._view.set_all_loads(loads, clock.now())

    async def _answer_peer(
        self, peer: bytes, message: messages.Message
    ) -> messages.Message | None:
        match message:
            case site_messages.AskTurn():
                return self._turn_desk.answer(message)
            case site_messages.Follow():
                return self._push_relay.answer(peer, message)
        logs.warn("unexpected", message=type(message).__name__, peer=peer.hex())
        return None

    def _renewed(self, renewed: site_messages.Renewed) -> None:
        now = clock.now()
        self._allowance.heard_leader(now)
        self._rate_limits.reported()
        for grant in renewed.grants:
            self._allowance.take(grant, now)
        if renewed.news is not None:
            self._take_news(renewed.news)
        if renewed.loads is not None:
            self._view.set_loads(renewed.loads, now)
        self._drop_unnamed(now)
        if self._leased_until < now:
            # Requests wait for the lease.
            self._signal_change()
        self._leased_until = self._watch.lease_until

    def _take_news(self, news: site_messages.News) -> None:
        self._rate_limits.merge(news.limits)
        before = self.version, self._position
        if news.document is not None:
            self._take_document(news.document)
        self._take_table(news)
        leaving = news.gone or any(t.said.draining for t in news.targets)
        waits = leaving or news.document is not None
        if waits and before != (self.version, self._position):
            # Whoever asked for this change waits until all hosts have it.
            self._tell(
                site_messages.Confirm(
                    host=self._settings.name,
                    version=self.version,
                    position=self._position,
                )
            )

    def _take_table(self, news: site_messages.News) -> None:
        if news.position <= self._position:
            # A renewal's answer has overtaken it.
            return
        if news.after is not None and not self._reaches(news.after):
            # Something between was lost; the next renewal brings it.
            self._watch.poke()
            return
        self._position = news.position
        gone = list(news.gone)
        if news.after is None and news.complete:
            named = {target.said.name for target in news.targets}
            now = clock.now()
            for name in self._view.targets.keys() - named:
                self._unnamed.setdefault(name, now)
            for name in named:
                self._unnamed.pop(name, None)
        for target in news.targets:
            self._unnamed.pop(target.said.name, None)
        self._view.set_targets(news.targets, gone, clock.now())
        self._limits.forget(self._view.targets.keys(), clock.now())
        if news.entries is not None:
            self._entries = news.entries
            self._turn_desk.set_hosts(news.entries)
            self._push_relay.set_hosts(news.entries)
            self._view.set_hosts(len(news.entries))
            self._rate_limits.set_hosts(len(news.entries))
            self._repeats.set_hosts(len(news.entries))
        self._signal_change()

    def _reaches(self, after: site_messages.Position) -> bool:
        """Whether this host's table is at least that far."""
        return (
            after.term == self._position.term
            and after.number <= self._position.number
        )

    def _take_document(self, document: document_lib.Document) -> None:
        if document.version <= self.version:
            return
        self._table = routes_lib.Table(document=document)
        logs.event(
            "configuration",
            version=document.version,
            leader=self._watch.leader,
            lease_s=self._watch.lease_until - clock.now(),
            loop_late_s=self._meter.late,
        )
        if self._server is not None:
            limits = document.limits
            params = self._server.conn_params
            params.header_timeout = limits.idle_seconds
        self._signal_change()

    def _drop_unnamed(self, now: float) -> None:
        old = [
            n for n, t in self._unnamed.items() if now - t > _UNNAMED_SECONDS
        ]
        for name in old:
            del self._unnamed[name]
        if old:
            self._view.set_targets((), old, now)

    def _signal_change(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    async def _wait_for_change(self, seconds: float) -> None:
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(seconds):
                await self._changed.wait()

    # What requests ask for.

    def _takes(self, kind: document_lib.Kind) -> bool:
        is_stream = kind == document_lib.Kind.STREAM
        share = _STREAM_GRACE if is_stream else _OTHER_GRACE
        return self._ends - clock.now() > share * self._settings.bounds.grace

    def _count(self, work: admission.Work) -> None:
        if work.model and work.service.engine is not None:
            key = (work.service.name, work.model, work.adapter)
            self._demand.count(key, clock.now())

    def _found(self, work: admission.Work) -> None:
        self._unserved.served((work.service.name, work.model, work.adapter))

    def _missing(self, work: admission.Work) -> Callable[[], None]:
        """Tells the leader that a request waits; returns what ends that."""
        key = (work.service.name, work.model, work.adapter)
        now = clock.now()
        self._unserved.missed(key, now)
        waiting = self._waiting.setdefault(key, [])
        waiting.append(work.route.objective)
        if len(waiting) == 1:
            # At once: the next renewal would cost a third of a second.
            rate = self._demand.rates(now).get(key, 0.0)
            unserved = self._unserved.seconds(key, now)
            demand = site_messages.Demand(
                *key, rate, 1, work.route.objective, unserved
            )
            self._tell(
                site_messages.Missing(
                    host=self._settings.name, demand=(demand,)
                )
            )

        def stop() -> None:
            waiting.remove(work.route.objective)
            if not waiting:
                self._waiting.pop(key, None)

        return stop

    def _tell(self, message: site_messages.Message) -> None:
        self._run_in_background(self._watch.tell(message))

    def _run_in_background(
        self, coroutine: Coroutine[object, object, None]
    ) -> None:
        task = asyncio.create_task(coroutine)
        self._telling.add(task)
        task.add_done_callback(self._telling.discard)
