"""A status report with a number that is no 64-bit integer."""

from __future__ import annotations

import asyncio
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import harness

# A route added later is served less than this share as often as the first.
LEAST_SHARE = 0.25
LEAST_REQUESTS = 20
FIRST, LATER = "/first/", "/later/"


async def requests(
    site: harness.Site, path: str, count: int
) -> list[harness.Tried]:
    """Makes requests, twenty a second."""

    async def make(index: int) -> harness.Tried:
        await asyncio.sleep(index / 20)
        return await site.request(path + "x", host=harness.HOST)

    return list(await asyncio.gather(*map(make, range(count))))


async def report_from_another_writer(
    site: harness.Site, like: harness.Server
) -> None:
    """Sends one status report as a server does: to nodes until one takes it.

    It is one of a server of the service but for `seq`, a 128-bit identifier in
    place of a count.
    """
    status = like.status() | {
        "address": f"{site.free_ip()}:{harness.SERVER_PORT}",
        "seq": 0x5F0C1A2E9B7D4C3388E1D2A4F6B80917,
    }
    for node in range(len(site.control_ips)):
        answer = await site.control_call(
            node, "PUT", "/instances/i-5f0c1a2e", status
        )
        if 200 <= answer.status < 300 or answer.status == 400:
            return


async def case(site: harness.Site) -> bool:
    """Returns whether a route that was added later is not served."""
    servers = [
        await site.add_server(f"i-7a31c90{n}", "ledger") for n in range(2)
    ]
    first_route = harness.route("first", FIRST, "ledger")
    document = harness.configuration(1, [first_route])
    if await site.configure(document, seconds=30) is None:
        raise harness.NotRunError("the first configuration has no confirmation")
    await site.wait_ready()
    await asyncio.sleep(2 * harness.HEARTBEAT_SECONDS)

    first = await requests(site, FIRST, 100)
    if harness.has_trouble():
        await report_from_another_writer(site, servers[0])
    first += await requests(site, FIRST, 80)
    document = harness.configuration(
        2, [first_route, harness.route("later", LATER, "ledger")]
    )
    confirmed_at = await site.configure(document, seconds=8)
    if confirmed_at is None:
        site.record.write("the second configuration has no confirmation")
    await asyncio.sleep(harness.BOUNDS["configMs"] / 1000)
    later, more = await asyncio.gather(
        requests(site, LATER, 60), requests(site, FIRST, 60)
    )
    first += more
    for index in range(len(site.edge_ips)):
        is_ready = await site.is_ready(index)
        site.record.write(f"edge-{index + 1} is ready: {is_ready}")

    first_share = sum(each.is_served for each in first) / len(first)
    later_share = sum(each.is_served for each in later) / len(later)
    site.record.write(
        f"first route: {first_share:.3f} of {len(first)} served; "
        f"later route: {later_share:.3f} of {len(later)}"
    )
    return (
        len(later) >= LEAST_REQUESTS
        and later_share < LEAST_SHARE * first_share
    )


harness.main(case, str(FOLDER), controls=3, edges=3)
