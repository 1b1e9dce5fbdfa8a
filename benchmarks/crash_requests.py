"""One request that ends targets, in virtual time: `python -m crash_requests`.

A caller sends one request again and again, several tries at once, at any entry
host; each target that begins to answer it ends. Beside it are sound requests,
some of them with the same content, and ends by chance. Compared are three
bounds: `content` counts ends in rounds by the content of requests and forgets
them with an answer to it; `verdict` counts processes by caller's request, after
the end; `grants` is the product's, which also bounds attempts before they are
sent. Everything follows from the seed.
"""

from __future__ import annotations

import argparse
import collections
import dataclasses
import heapq
import itertools
import random
import statistics
from typing import NamedTuple

from endivestream import quarantine_messages
from endivestream.request import crash_evidence
from endivestream.request import open_attempts
from endivestream.request import request_evidence
from endivestream.request import request_index

_SOUND_SECONDS = 1.2
_MAX_CRASH_SECONDS = 0.1
_RESTART_SECONDS = 1.2
_MESSAGE_SECONDS = 0.01
_BUDGET_SECONDS = 12.0
_GRANT_WAIT_SECONDS = 1.0
_GRANT_RETRY_SECONDS = 0.1
_MAX_ENDS = 3
_EQUAL_CONTENT = "equal"


class Scenario(NamedTuple):
    """One simulated run.

    Attributes:
        bound: `content`, `verdict` or `grants`.
        targets: Number of targets.
        hosts: Number of entry hosts.
        at_once: Tries of the bad request that are sent together.
        equal_share: Share of sound requests with the content of the bad one.
        chance_rate: Ends of targets by other causes, a second.
        proof_seconds: Time until the end of a process is noticed.
        kills: Entry hosts that are killed with an attempt at the bad request.
        sound_rate: Sound requests, a second.
        seconds: Duration.
        seed: Seed of all draws.
    """

    bound: str = "grants"
    targets: int = 8
    hosts: int = 3
    at_once: int = 1
    equal_share: float = 0.0
    chance_rate: float = 0.0
    proof_seconds: float = 0.0
    kills: int = 0
    sound_rate: float = 30.0
    seconds: float = 16.0
    seed: int = 0


class Outcome(NamedTuple):
    """What happened.

    Attributes:
        ends: Ends of targets under the bad request.
        late_sends: Its sends later than a message after the third end.
        sound: Sound requests.
        sound_refused: Those that were refused.
        sound_asked: Those that had to wait for a grant.
    """

    ends: int
    late_sends: int
    sound: int
    sound_refused: int
    sound_asked: int


@dataclasses.dataclass(eq=False, kw_only=True)
class _Try:
    content: str
    deadline: float
    is_bad: bool
    is_shared: bool
    host: int
    sent_at: float
    target: int = -1
    born: int = 0
    tries: int = 1
    grant: str = ""
    asked_at: float = 0.0

    @property
    def request(self) -> request_index.CallerRequest:
        return request_index.CallerRequest(
            self.content, self.deadline, self.is_shared
        )


class _Simulation:
    def __init__(self, scenario: Scenario) -> None:
        self._scenario = scenario
        self._random = random.Random(repr(scenario))
        self._events: list[tuple[float, int, object, tuple]] = []
        self._numbers = itertools.count()
        self._born = [0] * scenario.targets
        self._up = [True] * scenario.targets
        self._open: dict[int, list[_Try]] = collections.defaultdict(list)
        self._content = crash_evidence.CrashEvidence()
        self._requests = request_evidence.RequestEvidence()
        # What each host knows: ends by request, and quarantined contents.
        self._listed = [
            (request_index.RequestIndex(), {}) for _ in range(scenario.hosts)
        ]
        self._blocked: list[frozenset[str]] = [frozenset()] * scenario.hosts
        self._kills = scenario.kills
        self._ends: list[float] = []
        self._bad_sends: list[float] = []
        self._sound = self._refused = self._asked = 0

    def run(self) -> Outcome:
        """Runs the scenario."""
        self._at(0.0, self._send_sound)
        self._at(2.0, self._send_bad, 2.0 + _BUDGET_SECONDS)
        if self._scenario.chance_rate:
            self._at(
                self._draw(self._scenario.chance_rate), self._end_by_chance
            )
        while self._events:
            now, _, act, arguments = heapq.heappop(self._events)
            if now > self._scenario.seconds:
                break
            act(now, *arguments)
        late = 0
        if len(self._ends) >= _MAX_ENDS:
            since = self._ends[_MAX_ENDS - 1] + 2 * _MESSAGE_SECONDS
            late = sum(at > since for at in self._bad_sends)
        return Outcome(
            ends=len(self._ends),
            late_sends=late,
            sound=self._sound,
            sound_refused=self._refused,
            sound_asked=self._asked,
        )

    def _at(self, when, act, *arguments) -> None:
        heapq.heappush(
            self._events, (when, next(self._numbers), act, arguments)
        )

    def _draw(self, rate: float) -> float:
        return self._random.expovariate(rate)

    def _delay(self) -> float:
        return _MESSAGE_SECONDS * self._random.uniform(0.2, 2.0)

    def _host(self) -> int:
        return self._random.randrange(self._scenario.hosts)

    def _send_sound(self, now: float) -> None:
        scenario = self._scenario
        self._at(now + self._draw(scenario.sound_rate), self._send_sound)
        self._sound += 1
        is_equal = self._random.random() < scenario.equal_share
        self._send(
            now,
            _Try(
                content=(
                    _EQUAL_CONTENT if is_equal else f"s{next(self._numbers)}"
                ),
                deadline=now + _BUDGET_SECONDS,
                is_bad=False,
                is_shared=is_equal,
                host=self._host(),
                sent_at=now,
            ),
        )

    def _send_bad(self, now: float, deadline: float) -> None:
        if now >= deadline:
            return
        for _ in range(self._scenario.at_once):
            self._send(
                now,
                _Try(
                    content=_EQUAL_CONTENT,
                    deadline=deadline,
                    is_bad=True,
                    is_shared=self._scenario.equal_share > 0,
                    host=self._host(),
                    sent_at=now,
                ),
            )
        pause = self._random.uniform(0.3, 0.5) + _MAX_CRASH_SECONDS
        self._at(now + pause, self._send_bad, deadline)

    def _send(self, now: float, each: _Try) -> None:
        """Sends a request to a target, if the bound allows that."""
        match self._scenario.bound:
            case "content":
                if f"content:{each.content}" in self._blocked[each.host]:
                    self._refuse(each)
                    return
            case bound:
                index, ends = self._listed[each.host]
                key = index.find(each.request)
                if key is not None and ends[key] >= _MAX_ENDS:
                    self._refuse(each)
                    return
                if (
                    key is not None
                    and bound == "grants"
                    and ends[key] > each.is_shared
                ):
                    self._asked += not each.is_bad
                    each.asked_at = now
                    self._at(now + self._delay(), self._grant, each, key)
                    return
        self._start(now, each)

    def _grant(self, now: float, each: _Try, key: str) -> None:
        each.grant = f"a{next(self._numbers)}"
        if self._requests.grant(key, each.grant):
            self._at(now + self._delay(), self._start, each)
        elif (
            self._requests.state(key)
            == request_evidence.RequestState.QUARANTINED
            or now + _GRANT_RETRY_SECONDS > each.asked_at + _GRANT_WAIT_SECONDS
        ):
            self._refuse(each)
        else:
            self._at(now + _GRANT_RETRY_SECONDS, self._grant, each, key)

    def _refuse(self, each: _Try) -> None:
        self._refused += not each.is_bad

    def _start(self, now: float, each: _Try) -> None:
        up = [target for target, is_up in enumerate(self._up) if is_up]
        if not up:
            return
        each.target = self._random.choice(up)
        each.born = self._born[each.target]
        each.sent_at = now
        self._open[each.target].append(each)
        if each.is_bad:
            self._bad_sends.append(now)
            seconds = self._random.uniform(0.0, _MAX_CRASH_SECONDS)
            self._at(now + seconds, self._crash, each)
        else:
            self._at(now + _SOUND_SECONDS, self._complete, each)

    def _complete(self, now: float, each: _Try) -> None:
        if each not in self._open[each.target]:
            return
        self._open[each.target].remove(each)
        if each.grant:
            key = self._requests.find(each.request)
            if key is not None:
                self._requests.release(key, each.grant)
        if self._content.record_answered([f"content:{each.content}"], now):
            self._push(now)

    def _crash(self, now: float, each: _Try) -> None:
        if each in self._open[each.target]:
            self._ends.append(now)
            self._end(now, each.target)

    def _end_by_chance(self, now: float) -> None:
        self._at(
            now + self._draw(self._scenario.chance_rate), self._end_by_chance
        )
        up = [target for target, is_up in enumerate(self._up) if is_up]
        for target in self._random.sample(
            up, min(len(up), self._random.choice((1, 1, 3)))
        ):
            self._end(now, target)

    def _end(self, now: float, target: int) -> None:
        process = open_attempts.TargetProcess(str(target), self._born[target])
        self._up[target] = False
        attempts, self._open[target] = self._open[target], []
        self._at(now + _RESTART_SECONDS, self._restart, target)
        for host in {each.host for each in attempts}:
            own = [each for each in attempts if each.host == host]
            if self._kills and any(each.is_bad for each in own):
                # Nobody reports what this host had there.
                self._kills -= 1
                continue
            noticed_at = now + self._scenario.proof_seconds
            self._at(noticed_at + self._delay(), self._report, process, own)
        for each in attempts:
            if not each.is_bad and each.tries < 2:
                retry = dataclasses.replace(
                    each, tries=each.tries + 1, host=self._host(), grant=""
                )
                pause = self._random.uniform(0.3, 0.5)
                self._at(now + pause, self._send, retry)

    def _restart(self, now: float, target: int) -> None:
        self._up[target] = True
        self._born[target] += 1

    def _report(self, now: float, process, attempts: list[_Try]) -> None:
        seconds: dict[str, float] = {}
        for each in attempts:
            key = f"content:{each.content}"
            open_for = now - each.sent_at
            seconds[key] = min(open_for, seconds.get(key, open_for))
        changed = set(self._content.record_end(process, seconds, now))
        changed |= self._requests.record_end(
            process,
            [
                quarantine_messages.OpenRequest(
                    content=each.content,
                    left=each.deadline - now,
                    open_seconds=now - each.sent_at,
                    attempts=(each.grant,) if each.grant else (),
                    is_shared=each.is_shared,
                )
                for each in attempts
            ],
            now,
        )
        if changed:
            self._push(now)

    def _push(self, now: float) -> None:
        listed = self._requests.listed(now)
        key = f"content:{_EQUAL_CONTENT}"
        blocked = frozenset(
            [key]
            if self._content.state(key, now)
            == crash_evidence.KeyState.QUARANTINED
            else []
        )
        for host in range(self._scenario.hosts):
            self._at(now + self._delay(), self._apply, host, listed, blocked)

    def _apply(self, now: float, host: int, listed, blocked) -> None:
        index = request_index.RequestIndex()
        for each in listed:
            index.add(each.key, each.left, now)
        ends = {each.key: each.ends for each in listed}
        self._listed[host] = (index, ends)
        self._blocked[host] = blocked
        if self._scenario.bound != "grants":
            return
        for each in [e for tries in self._open.values() for e in tries]:
            if each.host != host or each.grant:
                continue
            key = index.find(each.request)
            if key is not None and ends[key] > each.is_shared:
                each.grant = f"h{next(self._numbers)}"
                self._at(now + self._delay(), self._hold, key, each.grant)

    def _hold(self, now: float, key: str, grant: str) -> None:
        self._requests.hold(key, grant)


def run(scenario: Scenario) -> Outcome:
    """Runs a scenario."""
    return _Simulation(scenario).run()


_CASES = (
    {},
    {"at_once": 2},
    {"at_once": 6},
    {"equal_share": 0.2},
    {"at_once": 2, "equal_share": 0.2},
    {"proof_seconds": 0.7},
    {"kills": 1},
    {"chance_rate": 0.5, "equal_share": 0.2},
)


def main() -> None:
    """Prints a table of bounds, cases, targets and hosts."""
    parser = argparse.ArgumentParser(description=__doc__.partition("\n")[0])
    parser.add_argument("--seeds", type=int, default=8)
    options = parser.parse_args()
    print("| targets, hosts | case | bound | " + " | ".join(Outcome._fields))
    for targets, hosts in ((8, 3), (100, 30)):
        for fields in _CASES:
            for bound in ("content", "verdict", "grants"):
                outcomes = [
                    run(
                        Scenario(
                            bound=bound,
                            targets=targets,
                            hosts=hosts,
                            sound_rate=4.0 * targets,
                            seed=seed,
                            **fields,
                        )
                    )
                    for seed in range(options.seeds)
                ]
                means = " | ".join(
                    f"{statistics.mean(column):.1f}"
                    for column in zip(*outcomes, strict=True)
                )
                case = ", ".join(f"{k} {v}" for k, v in fields.items())
                print(
                    f"| {targets}, {hosts} | {case} | {bound} | {means} |",
                    flush=True,
                )


if __name__ == "__main__":
    main()
