"""Lost answers of non-idempotent requests on a route marked `resumable`."""

from __future__ import annotations

import asyncio
import collections
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import harness

PATH = "/orders/"
# Share of the answers that the first of three servers loses, and for how long.
LOST_SHARE = 0.4
LOST_SECONDS = 4.0


async def case(site: harness.Site) -> bool:
    """Returns whether a non-idempotent request ran more than once."""
    servers = [
        await site.add_server(
            f"i-7a31c90{n}",
            "ledger",
            work_seconds=0.09,
        )
        for n in range(3)
    ]
    route = harness.route(
        "orders",
        PATH,
        "ledger",
        routeKind="non_idempotent",
        resumable=True,
        maxAttempts=2,
    )
    document = harness.configuration(1, [route])
    if await site.configure(document, seconds=30) is None:
        raise harness.NotRunError("the first configuration has no confirmation")
    await site.wait_ready()
    await asyncio.sleep(2 * harness.HEARTBEAT_SECONDS)

    async def make(index: int) -> harness.Tried:
        await asyncio.sleep(index / 20)
        return await site.request(
            PATH + "x", host=harness.HOST, method="POST", body=b"order"
        )

    async def lose_answers() -> None:
        await asyncio.sleep(3.0)
        servers[0].lost_share = LOST_SHARE if harness.has_trouble() else 0.0
        await asyncio.sleep(LOST_SECONDS)
        servers[0].lost_share = 0.0

    losing = asyncio.create_task(lose_answers())
    tried = await asyncio.gather(*map(make, range(200)))
    await losing
    runs = collections.Counter(
        run.attempt for server in servers for run in server.runs
    )
    twice = [attempt for attempt, count in runs.items() if count > 1]
    for attempt in twice:
        site.record.write(f"ran more than once: {attempt}")
    site.record.write(
        f"{len(tried)} requests, {sum(each.is_served for each in tried)} "
        f"served, {len(twice)} ran more than once"
    )
    return bool(twice)


harness.main(case, str(FOLDER), controls=3, edges=3)
