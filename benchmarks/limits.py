"""Measures rate limits, fairness and latency as callers of real processes.

Three control hosts, two gateways, six engines, five teams. Four teams send at
half of their rate limit, the conservatory at ten times its limit. Phases: the
four teams alone, all five teams, and all five while the leader is killed
periodically.
"""

from __future__ import annotations

import argparse
import asyncio
import collections
import json
import pathlib
import random
import sys
import tempfile
import time
from typing import Any
from typing import NamedTuple

import processes

_ENGINES = 6
_SLOTS = 24
_STEP_S = 0.030
_FIRST_TOKEN_S = 1.1
_TOKEN_GAP_S = 0.034
_SETTINGS = """
[timing]
lease_seconds = 1.5
election_seconds = 0.3
watch_seconds = 0.2
host_silence_seconds = 0.8
"""


class Team(NamedTuple):
    """A team, its limits in the rules, and the load that it offers.

    Attributes:
        name: Name of the team.
        rate: Rate limit in tokens a second.
        burst: Burst limit in tokens.
        share: Offered load as a multiple of `rate`.
        tokens: Generated tokens per request.
    """

    name: str
    rate: int
    burst: int
    share: float
    tokens: int


TEAMS = (
    Team("apprentices", 150, 900, 0.5, 20),
    Team("members", 500, 3000, 0.5, 100),
    Team("masters", 500, 3000, 0.5, 120),
    Team("press", 400, 2400, 0.5, 80),
    Team("conservatory", 500, 3000, 10.0, 120),
)
_PROMPT = "x" * 38
_PROMPT_TOKENS = 12  # As the gateway counts: role and text, 4 bytes per token.


class CallerResult(NamedTuple):
    """Result of one request, as measured by its caller."""

    team: str
    sent_at: float
    status: int
    reason: str
    tokens: int
    first_token: float
    slow_gaps: int
    complete: bool


async def send_request(
    url: str, key: str, team: Team, started: float
) -> CallerResult:
    """Sends one request, reads its stream and returns the result."""
    sent_at = time.monotonic()
    host, port = url.removeprefix("http://").split(":")
    body = json.dumps(
        {
            "model": "brass",
            "messages": [{"role": "user", "content": _PROMPT}],
            "max_tokens": team.tokens,
            "stream": True,
        }
    ).encode()
    status, reason, tokens, first_token, slow, complete = (
        0,
        "no_answer",
        0,
        0.0,
        0,
        False,
    )
    try:
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(
            f"POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\n"
            f"Authorization: Bearer {key}\r\nConnection: close\r\n"
            f"Content-Length: {len(body)}\r\n\r\n".encode()
            + body
        )
        status = int((await reader.readline()).split()[1])
        last = 0.0
        async for line in reader:
            now = time.monotonic()
            if b'"error"' in line:
                text = line[line.index(b"{") :]
                reason = json.loads(text)["error"]["type"]
            elif line.startswith(b'data: {"id"') and b'"usage"' not in line:
                tokens += 1
                first_token = first_token or now - sent_at
                slow += bool(last) and now - last > _TOKEN_GAP_S * 1.5
                last = now
            elif line.startswith(b"data: [DONE]"):
                complete, reason = True, ""
        writer.close()
    except (OSError, ValueError, IndexError):
        pass
    return CallerResult(
        team.name,
        sent_at - started,
        status,
        reason,
        tokens,
        first_token,
        slow,
        complete,
    )


class Site:
    """Control hosts, gateways and engines, with rules and keys of all teams."""

    def __init__(self, *, folder: pathlib.Path) -> None:
        self.control = processes.ControlSite(
            folder=folder,
            count=3,
            more=_SETTINGS,
            more_peers="silence_seconds = 0.8\n",
        )
        self.gateways = [
            processes.Host(
                folder=folder,
                name=f"g{n}",
                domain=f"d{n}",
                control=self.control.addresses,
                more=_SETTINGS,
                more_peers="silence_seconds = 0.8\n",
            )
            for n in range(2)
        ]
        for host in self.gateways:
            host.wait_ready()
        rules = folder / "rules.txt"
        lines = ["model brass memory=100 # limits"]
        for team in TEAMS:
            lines.append(
                f"team {team.name} rate={team.rate} burst={team.burst} # l"
            )
            lines.append(f"allow {team.name} brass # limits")
        rules.write_text("\n".join(lines) + "\n")
        completed = self.control.operate(
            "rules", "apply", str(rules), "--wait=10"
        )
        assert completed.returncode == 0, completed.stderr
        self.keys = {}
        for team in TEAMS:
            created = self.control.operate(
                "key", "create", f"--label={team.name}", f"--team={team.name}"
            )
            self.keys[team.name] = json.loads(created.stdout)["key"]
        self.engines = [
            processes.stand_in(
                "engine",
                folder=folder,
                name=f"engine{n}",
                arguments=[
                    *(f"--gateway={host.inner_url}" for host in self.gateways),
                    "--model=brass:100",
                    f"--slots={_SLOTS}",
                    f"--step-seconds={_STEP_S}",
                ],
            )
            for n in range(_ENGINES)
        ]
        processes.wait_for(
            lambda: (
                dict(self.control.view("models") or {}).get("brass") == _ENGINES
            ),
            "engines are live",
        )

    def close(self) -> None:
        """Kills all processes."""
        self.control.close()
        for process in (*self.gateways, *self.engines):
            process.kill()


async def run_phase(
    site: Site,
    teams: tuple[Team, ...],
    *,
    seconds: float,
    kill_every: float,
    seed: int,
) -> tuple[list[CallerResult], float]:
    """Runs the teams concurrently; returns all results and the duration."""
    rng = random.Random(seed)
    started = time.monotonic()
    tasks: list[asyncio.Task[CallerResult]] = []

    async def send_requests(team: Team, rng: random.Random) -> None:
        rate = team.rate * team.share / (team.tokens + _PROMPT_TOKENS)
        while time.monotonic() - started < seconds:
            await asyncio.sleep(rng.expovariate(rate))
            url = rng.choice(site.gateways).url
            key = site.keys[team.name]
            tasks.append(
                asyncio.create_task(send_request(url, key, team, started))
            )

    async def kill_leader_periodically() -> None:
        while kill_every and time.monotonic() - started < seconds - 5:
            await asyncio.sleep(kill_every)
            leader = await asyncio.to_thread(site.control.wait_leader)
            await asyncio.to_thread(site.control.hosts[leader].kill)
            host = await asyncio.to_thread(site.control.restart, leader)
            await asyncio.to_thread(host.wait_ready)

    callers = [
        send_requests(team, random.Random(rng.random())) for team in teams
    ]
    await asyncio.gather(*callers, kill_leader_periodically())
    results = list(await asyncio.gather(*tasks))
    return results, time.monotonic() - started


def team_rows(
    results: list[CallerResult], seconds: float
) -> list[dict[str, Any]]:
    """Returns a row of figures for each team that sent requests."""
    rows = []
    for team in TEAMS:
        team_results = [s for s in results if s.team == team.name]
        if not team_results:
            continue
        served = [s for s in team_results if s.complete]
        tokens_used = sum(
            s.tokens + _PROMPT_TOKENS for s in team_results if s.tokens
        )
        reasons = collections.Counter(
            s.reason for s in team_results if not s.complete
        )
        attained = sum(
            s.first_token <= _FIRST_TOKEN_S and s.slow_gaps <= 0.05 * s.tokens
            for s in served
        )
        delays = sorted(s.first_token for s in served) or [0.0]
        rows.append(
            {
                "team": team.name,
                "requests": len(team_results),
                "whole": len(served),
                "refused": dict(reasons),
                "of_bound": round(
                    tokens_used / (team.burst + team.rate * seconds), 3
                ),
                "attained": round(attained / len(team_results), 4),
                "first_p50_s": round(delays[len(delays) // 2], 3),
                "first_p95_s": round(delays[int(len(delays) * 0.95)], 3),
                "wrong_tokens": sum(s.tokens != team.tokens for s in served),
            }
        )
    return rows


async def _main(arguments: argparse.Namespace) -> int:
    with tempfile.TemporaryDirectory() as folder:
        site = Site(folder=pathlib.Path(folder))
        above_bound = False
        try:
            for name, teams, kill in (
                ("alone", TEAMS[:-1], 0.0),
                ("beside", TEAMS, 0.0),
                ("killed", TEAMS, arguments.kill_every),
            ):
                results, seconds = await run_phase(
                    site,
                    teams,
                    seconds=arguments.seconds,
                    kill_every=kill,
                    seed=arguments.seed,
                )
                for row in team_rows(results, seconds):
                    print(json.dumps({"phase": name, **row}), flush=True)
                    above_bound = above_bound or row["of_bound"] > 1.0
        finally:
            site.close()
    return int(above_bound)


def main() -> int:
    """Runs the three phases; returns 1 if a team exceeded its token bound."""
    parser = argparse.ArgumentParser(prog="limits")
    parser.add_argument("--seconds", type=float, default=40.0)
    parser.add_argument("--kill-every", type=float, default=10.0)
    parser.add_argument("--seed", type=int, default=1)
    return asyncio.run(_main(parser.parse_args()))


if __name__ == "__main__":
    sys.exit(main())
