"""One request that ends targets, in several ways: `python -m soak.one_request`.

Targets exit when they begin to answer one request of a caller, who sends it
again within its time, at any entry host; the header with the time left ends at
the same instant in each try. The ways differ in how many tries are sent at
once, in what a target writes before it exits, in how soon it is back, and in
whether sound requests have the same content. Reported are requests that reach a
target after three have ended under them. Only hosts count that are in touch
with stable control hosts.
"""

from __future__ import annotations

import argparse
import asyncio
import collections
import dataclasses
import itertools
import sys
import time

from soak import callers
from soak import crashes
from soak import processes
from soak import streams

_MAX_ENDS = 3
# Sent before the third end, and read by its target after it.
_IN_FLIGHT_SECONDS = 0.05
_SOUND_CALLERS = 8
_SOUND_PAUSE_SECONDS = (0.0, 0.2)
# Share of the sound requests whose content is that of the request that ends
# targets.
_EQUAL_SHARE = 0.2
_BUDGET_SECONDS = 12.0
_CALM_SECONDS = 4.0
_SHARED_PART = "c0ffee:350"


@dataclasses.dataclass(frozen=True, kw_only=True)
class Way:
    """How a caller and its targets behave.

    Attributes:
        at_once: Tries that are sent at the same time.
        pause: Shortest and longest pause before the next ones, in seconds.
        answer: What a target writes before it exits: `nothing`, `event` (a part
            of a stream that is no whole event) or `unframed` (a whole event, in
            an answer with neither length nor chunks).
        down_seconds: Time until a target is back.
        keeps_address: Whether it is back at its address.
        has_equals: Whether sound requests have the same content.
        kills_host: Whether an entry host is killed with its attempt.
    """

    at_once: int = 1
    pause: tuple[float, float] = (0.3, 0.5)
    answer: str = "nothing"
    down_seconds: float = 1.2
    keeps_address: bool = False
    has_equals: bool = False
    kills_host: bool = False


WAYS = {
    "repeated": Way(),
    "repeated fast": Way(pause=(0.0, 0.02)),
    "broken event": Way(answer="event"),
    "two at once": Way(at_once=2),
    "three at once": Way(at_once=3),
    "six at once": Way(at_once=6),
    "unframed": Way(answer="unframed"),
    "back at once": Way(down_seconds=0.0, keeps_address=True),
    "equal content": Way(has_equals=True),
    "two at once, equal content": Way(at_once=2, has_equals=True),
    "unframed, back at once": Way(
        answer="unframed", down_seconds=0.0, keeps_address=True
    ),
    "host killed": Way(kills_host=True),
}


class Target(crashes.Target):
    """A target that exits under one request in the way of the run."""

    async def _answer(self, message, sender, writer) -> None:
        request = message.headers.get("Attempt-Id", "")
        if not self._soak.ends_target(request):
            await super()._answer(message, sender, writer)
            return
        if self._restart_lock.locked():
            writer.transport.abort()
            return
        process, way = self._starts, self._soak.way
        self._soak.record_request(request, sender())
        if way.answer != "nothing":
            lines = [
                "HTTP/1.1 200 OK",
                "Content-Type: text/event-stream",
                f"Attempt-Id: {request}",
            ]
            body = b"id: 1\ndata: 1\n\n"
            if way.answer == "event":
                lines.append("Transfer-Encoding: chunked")
                body = b"%x\r\n%b\r\n" % (len(body) + 5, body + b"id: 2")
            writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
            await writer.drain()
        await asyncio.sleep(self._soak.draws.uniform(0.0, 0.1))
        if self._starts != process or self._restart_lock.locked():
            return
        self._soak.record_exit(request, sender(), self)
        # As with a process that exits: no byte of this answer is lost.
        writer.close()


class OneRequestSoak(crashes.CrashSoak):
    """A run with one request, or one after the other, that ends targets.

    Attributes:
        way: How it ends them.
        has_faults: Whether there are those of `soak.processes`, too.
    """

    way = WAYS["repeated"]
    has_faults = False
    target_class = Target
    target_count = 8

    @classmethod
    def add_arguments(cls, parser: argparse.ArgumentParser) -> None:
        """Adds the arguments for the way and for other faults."""
        parser.add_argument(
            "--way", choices=WAYS, help="one after the other, by seed"
        )
        parser.add_argument(
            "--faults", action="store_true", help="with those of soak.processes"
        )

    @classmethod
    def variant(
        cls, options: argparse.Namespace, seed: int
    ) -> type[processes.Soak]:
        """Returns the class of a run with some options."""
        way = WAYS[options.way or list(WAYS)[seed % len(WAYS)]]
        fields = {
            "way": way,
            "has_faults": options.faults,
            "keeps_address": way.keeps_address,
        }
        return type(cls.__name__, (cls,), fields)

    def __init__(self, **options) -> None:
        super().__init__(**options)
        self._exits: dict[str, list[float]] = collections.defaultdict(list)
        self._received: dict[str, list[tuple[float, bool]]] = (
            collections.defaultdict(list)
        )
        self._statuses: collections.Counter[str] = collections.Counter()

    def ends_target(self, attempt: str) -> bool:
        """Whether an attempt belongs to the request that ends targets."""
        return attempt.startswith("bad")

    def _name(self, attempt: str) -> str:
        return attempt.split("-")[0]

    def record_request(self, attempt: str, host: str) -> None:
        """Records that the request has reached a target."""
        in_touch = self._is_stable and any(
            process.name == host and process.is_calm(_CALM_SECONDS)
            for process in self._entries
        )
        self._received[self._name(attempt)].append((time.monotonic(), in_touch))

    def record_exit(self, attempt: str, host: str, target: Target) -> None:
        """Ends a target under the request."""
        self._exits[self._name(attempt)].append(time.monotonic())
        self._counts["ends"] += 1
        self._keep(target.crash(self.way.down_seconds))
        if self.way.kills_host and len(self._exits[self._name(attempt)]) == 2:
            for process in self._entries:
                if process.name == host:
                    self._keep(process.restart(processes.signal.SIGKILL))

    def _keep(self, coroutine) -> None:
        task = asyncio.create_task(coroutine)
        self._crash_tasks.add(task)
        task.add_done_callback(self._crash_tasks.discard)

    async def start(self) -> None:
        """Starts everything, the sound callers and that of the request."""
        await processes.Soak.start(self)
        for number in range(_SOUND_CALLERS):
            self._keep(self._call_sound(number))
        self._keep(self._call_ending())

    async def _draw_fault(self) -> None:
        if self.has_faults:
            await super()._draw_fault()

    def _has_bad(self) -> bool:
        return any(len(ends) >= _MAX_ENDS for ends in self._exits.values())

    async def _call_sound(self, caller: int) -> None:
        for number in itertools.count():
            period = "after" if self._has_bad() else "before"
            path = f"/again/?item={caller}.{number}"
            if self.draws.random() < _EQUAL_SHARE and self.way.has_equals:
                path, period = "/again/?item=1", f"equal {period}"
            prefix = ""
            if self.way.answer != "nothing" and number % 2:
                path, prefix = streams.RESUMED, f"{number:x}{caller}:9"
            status = await self._try(
                self.draws.choice(self._entries),
                path,
                f"5{caller}{number:08x}",
                prefix=prefix,
                seconds=_BUDGET_SECONDS,
            )
            self._statuses[f"sound {period} sent"] += 1
            self._statuses[f"sound {period} served"] += status == 200
            await asyncio.sleep(self.draws.uniform(*_SOUND_PAUSE_SECONDS))

    async def _call_ending(self) -> None:
        await asyncio.sleep(_CALM_SECONDS + 0.5)
        for number in itertools.count():
            if time.monotonic() > self._bad_until:
                return
            await self._send_request(number)

    async def _send_request(self, number: int) -> None:
        deadline = time.monotonic() + _BUDGET_SECONDS
        path, prefix = "/again/?item=1", ""
        if self.way.answer != "nothing":
            path, prefix = streams.RESUMED, f"bad{number}:9"
        if not self.way.has_equals:
            path += f"?only={number}" if "?" not in path else f"&only={number}"
        for tries in itertools.count():
            left = min(deadline, self._bad_until) - time.monotonic()
            if left < 0.3:
                return
            entries = self.draws.sample(self._entries, len(self._entries))
            statuses = await asyncio.gather(
                *(
                    self._try(
                        entries[n % len(entries)],
                        path,
                        f"bad{number}-{tries}.{n}",
                        prefix=prefix,
                        seconds=deadline - time.monotonic(),
                    )
                    for n in range(self.way.at_once)
                )
            )
            for status in statuses:
                self._statuses[f"bad {status}"] += 1
            await asyncio.sleep(self.draws.uniform(*self.way.pause))

    async def _try(
        self,
        process: processes.Process,
        path: str,
        attempt: str,
        *,
        prefix: str,
        seconds: float,
    ) -> int:
        headers = {
            "Attempt-Id": attempt,
            "Deadline-Ms": str(int(seconds * 1000)),
        }
        if prefix:
            # Both kinds of requests share all parts but the last.
            headers["Prefix-Hash"] = f"{_SHARED_PART},{prefix}"
        answer = await callers.ask(
            f"{process.ip}:{processes.FRONT_PORT}",
            path,
            headers,
            seconds=seconds,
        )
        return answer.status if answer is not None else 0

    def report(self) -> dict[str, object]:
        """Adds ends, and what was sent after the third."""
        report = processes.Soak.report(self)
        violations = report["violations"]
        assert isinstance(violations, list)
        sent_after = 0
        for name, ends in self._exits.items():
            if len(ends) < _MAX_ENDS:
                continue
            since = sorted(ends)[_MAX_ENDS - 1] + _IN_FLIGHT_SECONDS
            late = [at - since for at, ok in self._received[name] if at > since]
            counted = sum(
                at > since and in_touch for at, in_touch in self._received[name]
            )
            sent_after += len(late)
            if counted:
                violations.append(
                    f"sent after {_MAX_ENDS} ends: {name} {len(ends)} ends, "
                    f"then {[f'{seconds:.3f}' for seconds in late[:8]]}"
                )
        report["way"] = next(n for n, way in WAYS.items() if way is self.way)
        report["ends"] = [len(ends) for ends in self._exits.values()]
        report["sent_after"] = sent_after
        report["answers"] = dict(sorted(self._statuses.items()))
        return report


if __name__ == "__main__":
    sys.exit(processes.main(OneRequestSoak))
