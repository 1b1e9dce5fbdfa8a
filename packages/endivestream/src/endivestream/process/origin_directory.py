"""Directory of stream origins over the entry hosts.

The host at which a stream begins keeps the origin and sends copies to holders:
entry hosts in different failure domains, ranked by rendezvous hashing of the
attempt. Every host computes the holders from the list of entry hosts alone, so
a caller can resume its stream at any host, also if the first one has failed.
"""

from __future__ import annotations

import asyncio
import collections
from collections.abc import Coroutine
from collections.abc import Iterable
from collections.abc import Mapping
from collections.abc import Sequence
from typing import Any
from typing import NamedTuple

import zmq.asyncio

from endivestream import clock
from endivestream import logs
from endivestream import loop_meter
from endivestream import peer_messages
from endivestream import site_messages
from endivestream import tasks
from endivestream.connection import addresses
from endivestream.connection import links
from endivestream.request import resumptions
from endivestream.request import stream_origins

# Copies of a record besides that of the host where the stream began.
_COPIES = 3
# Hosts among which the holders of all records are; each host may have a link
# to each of them.
_MAX_DIRECTORY_HOSTS = 64
# Records for the same holder that are sent together.
_BATCH_SECONDS = 0.01
# A holder answers within milliseconds. Further wait costs callers more than it
# finds.
_ANSWER_TIMEOUT_SECONDS = 0.25
# Time after which holders without a record are asked again: the caller may be
# faster than the record.
_SECOND_LOOK_SECONDS = 0.05
# Interval of records that a holder acknowledges. Without any answer a link
# would not detect that its connection no longer delivers.
_ACKNOWLEDGE_SECONDS = 1.0
# A link without received bytes for this long is reopened.
_LINK_SILENCE_SECONDS = 1.0


class _Holder(NamedTuple):
    name: str
    domain: str
    address: str


class OriginDirectory:
    """Records and finds stream origins; lives as long as the process."""

    def __init__(
        self,
        *,
        name: str,
        context: zmq.asyncio.Context,
        meter: loop_meter.LoopMeter | None = None,
    ) -> None:
        """Starts without other hosts; `set_hosts` sets them.

        Args:
            name: Name of this host.
            context: The process's zmq context.
            meter: Measures the event loop time of messages.
        """
        self._name = name
        self._context = context
        self._meter = meter or loop_meter.LoopMeter()
        self._table = stream_origins.OriginTable()
        self._all_hosts: tuple[_Holder, ...] = ()
        # Hosts that get new records.
        self._writable_hosts: tuple[_Holder, ...] = ()
        self._links: dict[str, links.Link] = {}
        self._acknowledged_at: dict[str, float] = {}
        self._batches: dict[str, list[peer_messages.OriginRecord]] = {}
        self._counts: collections.Counter[str] = collections.Counter()
        self._tasks: set[asyncio.Task[None]] = set()

    @property
    def events(self) -> Mapping[str, int]:
        """Number of events, by kind."""
        return collections.Counter(self._table.events) + self._counts

    @property
    def size(self) -> int:
        """Number of records on this host."""
        return len(self._table)

    async def close(self) -> None:
        """Sends what waits and closes all links."""
        for address in list(self._batches):
            await self._send_batch(address, is_last=True)
        await tasks.cancel(list(self._tasks))
        for link in self._links.values():
            await link.close()

    def set_hosts(self, hosts: Sequence[site_messages.EntryHost]) -> None:
        """Sets the list of entry hosts and closes links to removed ones."""
        self._all_hosts = _directory(host for host in hosts if host.peers)
        self._writable_hosts = _directory(
            host for host in hosts if host.peers and not host.draining
        )
        used = {
            holder.address
            for holder in (*self._all_hosts, *self._writable_hosts)
        }
        for address in self._links.keys() - used:
            self._batches.pop(address, None)
            self._acknowledged_at.pop(address, None)
            self._start_task(self._links.pop(address).close())

    def record(
        self,
        attempts: Iterable[str],
        origin: stream_origins.StreamOrigin,
        seconds: float,
    ) -> None:
        """Records where a stream began; sends copies soon after.

        The stream does not wait for the copies: one that is resumed without
        any is refused.

        Args:
            attempts: The caller's attempts that may name the stream.
            origin: Where it began.
            seconds: How long the record is kept.
        """
        for attempt in attempts:
            if not stream_origins.is_attempt(attempt):
                continue
            self._table.record(attempt, origin, clock.now(), seconds)
            self._counts["recorded"] += 1
            record = peer_messages.OriginRecord(attempt, origin, seconds)
            for holder in self._holders(attempt, self._writable_hosts):
                batch = self._batches.setdefault(holder.address, [])
                batch.append(record)
                if len(batch) == 1:
                    self._start_task(self._send_later(holder.address))

    def store(self, records: Iterable[peer_messages.OriginRecord]) -> None:
        """Stores copies of another host's records."""
        for record in records:
            self._counts["stored"] += 1
            self._table.record(
                record.attempt, record.origin, clock.now(), record.seconds
            )

    def find_here(self, attempt: str) -> peer_messages.OriginFound:
        """Answers another host's query from this host's records."""
        origin = self._table.find(attempt, clock.now())
        return peer_messages.OriginFound(origin=origin)

    async def find(self, attempt: str) -> resumptions.Lookup:
        """Returns where the stream of an attempt began, if that is known."""
        lookup = await self._find_once(attempt)
        if lookup.source == resumptions.Source.ABSENT:
            await asyncio.sleep(_SECOND_LOOK_SECONDS)
            lookup = await self._find_once(attempt)
        return lookup

    async def _find_once(self, attempt: str) -> resumptions.Lookup:
        origin = self._table.find(attempt, clock.now())
        if origin is not None:
            return resumptions.Lookup(resumptions.Source.LOCAL, origin)
        holders = {
            *self._holders(attempt, self._writable_hosts),
            *self._holders(attempt, self._all_hosts),
        }
        queries = [
            asyncio.create_task(self._query(holder.address, attempt))
            for holder in holders
        ]
        source = resumptions.Source.ABSENT
        if not self._all_hosts:
            # A host that has just started knows no other host yet.
            source = resumptions.Source.UNCONFIRMED
        try:
            for query in asyncio.as_completed(queries):
                lookup = await query
                if lookup.origin is not None:
                    return lookup
                if lookup.source == resumptions.Source.UNCONFIRMED:
                    source = lookup.source
        finally:
            await tasks.cancel(queries)
        return resumptions.Lookup(source)

    async def _query(self, address: str, attempt: str) -> resumptions.Lookup:
        try:
            answer = await self._link(address).request(
                peer_messages.FindOrigin(attempt=attempt),
                seconds=_ANSWER_TIMEOUT_SECONDS,
            )
        except links.LinkDownError as error:
            logs.warn("origin_unanswered", peer=address, why=error)
            return resumptions.Lookup(resumptions.Source.UNCONFIRMED)
        match answer:
            case peer_messages.OriginFound(origin=None):
                return resumptions.Lookup(resumptions.Source.ABSENT)
            case peer_messages.OriginFound(origin=origin):
                return resumptions.Lookup(resumptions.Source.HOLDER, origin)
        logs.warn("unexpected_message", message=type(answer).__name__)
        return resumptions.Lookup(resumptions.Source.UNCONFIRMED)

    def _holders(
        self, attempt: str, hosts: Sequence[_Holder]
    ) -> Sequence[_Holder]:
        """Returns the holders of a record, without this host."""
        others = [host for host in hosts if host.name != self._name]
        return _spread(others, attempt, _COPIES)

    async def _send_later(self, address: str) -> None:
        await asyncio.sleep(_BATCH_SECONDS)
        await self._send_batch(address)

    async def _send_batch(self, address: str, *, is_last: bool = False) -> None:
        records = self._batches.pop(address, None)
        if not records:
            return
        message = peer_messages.RecordOrigins(records=tuple(records))
        link, now = self._link(address), clock.now()
        acknowledged_at = self._acknowledged_at.get(address, now)
        self._acknowledged_at.setdefault(address, now)
        if is_last or now - acknowledged_at < _ACKNOWLEDGE_SECONDS:
            await link.send(message)
            return
        self._acknowledged_at[address] = now
        try:
            await link.request(message, seconds=_ANSWER_TIMEOUT_SECONDS)
        except links.LinkDownError as error:
            self._counts["unacknowledged"] += 1
            logs.warn("origins_unanswered", peer=address, why=error)

    def _link(self, address: str) -> links.Link:
        link = self._links.get(address)
        if link is None:
            link = links.Link(
                address=address,
                context=self._context,
                on_push=lambda message: None,
                silence=_LINK_SILENCE_SECONDS,
                expects_pushes=False,
                meter=self._meter,
            )
            link.start()
            self._links[address] = link
        return link

    def _start_task(self, coroutine: Coroutine[Any, Any, None]) -> None:
        task = tasks.start(coroutine, "origins")
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)


def _directory(
    hosts: Iterable[site_messages.EntryHost],
) -> tuple[_Holder, ...]:
    """Returns the hosts among which the holders of all records are."""
    holders = [_Holder(host.name, host.domain, host.peers) for host in hosts]
    return tuple(_spread(holders, "", _MAX_DIRECTORY_HOSTS))


def _spread(
    hosts: Sequence[_Holder], key: str, count: int
) -> Sequence[_Holder]:
    """Returns the first hosts of a key's order, one of each domain first.

    The order of hosts does not depend on which others exist, so a host that
    joins or leaves changes few results.
    """
    ranked = sorted(hosts, key=lambda host: addresses.rank(key, host.name))
    turn_of_domain: collections.Counter[str] = collections.Counter()
    turns = []
    for host in ranked:
        turns.append((turn_of_domain[host.domain], host))
        turn_of_domain[host.domain] += 1
    turns.sort(key=lambda item: item[0])
    return [host for _, host in turns[:count]]
