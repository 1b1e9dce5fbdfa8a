"""Compares routing policies in a discrete-event simulation with one seed.

The scheduler is endivestream's; the policies replace its choice of a target.
A simulated engine has slots, a prefill rate, a decoding step and a prefix
cache with least-recently-used eviction. Sizes are those of the Co-operative:
9 engines, 5 teams, 40 models; a session sends several requests with growing
prompts.
"""

from __future__ import annotations

import argparse
import collections
import heapq
import itertools
import json
import random
from typing import Any
from typing import NamedTuple

from endivestream.request import prefixes
from endivestream.request import scheduler as scheduler_lib

_ENGINES = 9
_MODELS = 40
_COPIES = 3
_SLOTS = 16
_PREFILL_TOKENS_S = 6000.0
_STEP_S = 0.030
_CACHE_BLOCKS = 1500
_BLOCK_TOKENS = prefixes.BLOCK_BYTES // 4
_FIRST_TOKEN_S = 1.1


class Request(NamedTuple):
    """One request of a session."""

    at: float
    name: str
    team: str
    model: str
    blocks: tuple[int, ...]
    tokens: int


class LeastLoaded(scheduler_lib.Scheduler):
    """Chooses the target with the least load; ignores prefix caches."""

    def _uncached_tokens(self, target: Any, slot_request: Any) -> float:
        return 0.0


class RandomChoice(scheduler_lib.Scheduler):
    """Chooses a random target with a free slot."""

    rng = random.Random(5)
    choices = 1

    def _best_target(self, slot_request: Any, now: float) -> Any:
        fitting = [
            t
            for t in self.targets.values()
            if slot_request.needs in t.serves
            and self.slots_in_use(t.name) < t.slots
        ]
        if not fitting:
            return None
        candidates = [self.rng.choice(fitting) for _ in range(self.choices)]
        return min(candidates, key=self._expected_backlog)


class TwoChoices(RandomChoice):
    """Chooses the less loaded of two random targets with a free slot."""

    choices = 2


class _Engine:
    """Simulated prefill and prefix cache of an engine."""

    def __init__(self) -> None:
        self.cache: collections.OrderedDict[int, None] = (
            collections.OrderedDict()
        )
        self.prefill_until = 0.0

    def first_token(self, now: float, blocks: tuple[int, ...]) -> float:
        """Prefills a prompt after earlier ones; returns the first token's time.

        Adds the blocks of the prompt to the cache.
        """
        covered = 0
        for block in blocks:
            if block not in self.cache:
                break
            covered += 1
        for block in blocks:
            self.cache[block] = None
            self.cache.move_to_end(block)
        while len(self.cache) > _CACHE_BLOCKS:
            self.cache.popitem(last=False)
        unread_tokens = (len(blocks) - covered) * _BLOCK_TOKENS
        start = max(now, self.prefill_until)
        self.prefill_until = start + unread_tokens / _PREFILL_TOKENS_S
        return self.prefill_until + _STEP_S


def workload(seed: int, seconds: float, rate: float) -> list[Request]:
    """Returns the requests of random sessions, sorted by arrival time.

    A session has 1 to 6 requests. One team sends at ten times its rate.
    """
    rng = random.Random(seed)
    teams = ["apprentices", "members", "masters", "press", "conservatory"]
    weights = [1, 2, 1, 1, 10]
    requests = []
    now = 0.0
    for session in itertools.count():
        now += rng.expovariate(rate / 3.5)
        if now > seconds:
            break
        team = rng.choices(teams, weights)[0]
        short = team == "apprentices"
        model = f"m{min(_MODELS - 1, int(rng.expovariate(0.12)))}"
        blocks = [session * 10_000 + n for n in range(2 if short else 24)]
        at = now
        for turn in range(rng.randint(1, 6)):
            tokens = rng.randint(10, 40) if short else rng.randint(60, 240)
            requests.append(
                Request(
                    at,
                    f"{session}.{turn}",
                    team,
                    model,
                    tuple(blocks[: prefixes.MAX_HASHED_BLOCKS]),
                    tokens,
                )
            )
            new_blocks = [
                session * 10_000 + 100 * (turn + 1) + n for n in range(2)
            ]
            blocks = blocks + new_blocks
            at += tokens * _STEP_S + rng.expovariate(0.3)
    return sorted(requests)


class _Run:
    """Simulates one policy with one workload."""

    def __init__(
        self, scheduler: scheduler_lib.Scheduler, requests: list[Request]
    ) -> None:
        self.scheduler = scheduler
        self.requests = {request.name: request for request in requests}
        self.engines = {f"e{n}": _Engine() for n in range(_ENGINES)}
        self.first: dict[str, float] = {}
        self.total_blocks = self.cached_blocks = 0
        self.events: list[tuple[float, int, str, Request]] = []
        self.order = itertools.count()
        for request in requests:
            self._push(request.at, "ask", request)
        serving = collections.defaultdict(set)
        for model in range(_MODELS):
            for copy in range(_COPIES):
                engine = (model * 7 + copy * 3) % _ENGINES
                serving[f"e{engine}"].add(f"m{model}")
        for name in self.engines:
            scheduler.upsert_target(
                scheduler_lib.Target(name, frozenset(serving[name]), _SLOTS, 0)
            )

    def _push(self, at: float, kind: str, request: Request) -> None:
        heapq.heappush(self.events, (at, next(self.order), kind, request))

    def run(self) -> None:
        """Processes events in time order until none is left."""
        while self.events:
            now, _, kind, request = heapq.heappop(self.events)
            if kind == "ask":
                slot_request = scheduler_lib.SlotRequest(
                    request.name,
                    request.team,
                    1,
                    request.model,
                    len(request.blocks) * _BLOCK_TOKENS + request.tokens,
                    1e9,
                    frozenset(),
                    request.blocks,
                )
                answer = self.scheduler.request_slot(slot_request, now=now)
                if isinstance(answer, scheduler_lib.Grant):
                    self._start(answer, now)
            else:
                self.scheduler.release(request.name)
            for grant in self.scheduler.grant_free_slots(now):
                self._start(grant, now)

    def _start(self, grant: scheduler_lib.Grant, now: float) -> None:
        request = self.requests[grant.request]
        engine = self.engines[grant.target]
        covered = 0
        for block in request.blocks:
            if block not in engine.cache:
                break
            covered += 1
        self.cached_blocks += covered
        self.total_blocks += len(request.blocks)
        first = engine.first_token(now, request.blocks)
        self.first[request.name] = first - request.at
        self._push(first + request.tokens * _STEP_S, "end", request)


def measure(policy: type, requests: list[Request]) -> dict[str, Any]:
    """Returns the cache hit share, attainment and latency of a policy."""
    run = _Run(policy(), requests)
    run.run()
    by_team = collections.defaultdict(list)
    for name, first in run.first.items():
        by_team[run.requests[name].team].append(first)

    def attainment(times: list[float]) -> float:
        return sum(t <= _FIRST_TOKEN_S for t in times) / len(times)

    all_times = sorted(run.first.values())
    return {
        "hit_share": run.cached_blocks / run.total_blocks,
        "attained": attainment(all_times),
        "attained_per_engine_s": (
            attainment(all_times) * len(all_times) / _ENGINES / requests[-1].at
        ),
        "first_p95_s": all_times[int(len(all_times) * 0.95)],
        "worst_team": min(map(attainment, by_team.values())),
        "apprentices": attainment(by_team["apprentices"]),
    }


def main() -> None:
    """Prints a row of figures per request rate and policy."""
    parser = argparse.ArgumentParser(prog="routing")
    parser.add_argument("--seed", type=int, default=1)
    arguments = parser.parse_args()
    policies = {
        "random": RandomChoice,
        "two_choices": TwoChoices,
        "least_loaded": LeastLoaded,
        "prefix": scheduler_lib.Scheduler,
    }
    for rate in (10.0, 18.0, 24.0):
        requests = workload(arguments.seed, 300.0, rate)
        for name, policy in policies.items():
            row = {"rate": rate, "requests": len(requests), "policy": name}
            row |= {
                key: round(value, 4)
                for key, value in measure(policy, requests).items()
            }
            print(json.dumps(row))


if __name__ == "__main__":
    main()
