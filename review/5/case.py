"""A status report whose address has a port that does not exist."""

from __future__ import annotations

import asyncio
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import harness

TIMEOUT_SECONDS = 1.5
# How long after a route's time without an answer a request counts.
GRACE_SECONDS = 0.5
LEAST_UNANSWERED = 8
PATH = "/orders/"


async def report_from_another_writer(
    site: harness.Site, like: harness.Server
) -> None:
    """Sends one status report as a server does: to nodes until one takes it."""
    status = like.status() | {"address": f"{site.free_ip()}:84220"}
    for node in range(len(site.control_ips)):
        answer = await site.control_call(
            node, "PUT", "/instances/i-5f0c1a2e", status
        )
        if 200 <= answer.status < 300 or answer.status == 400:
            return


async def case(site: harness.Site) -> bool:
    """Returns whether requests have no answer after their route's time."""
    servers = [
        await site.add_server(f"i-7a31c90{n}", "ledger", work_seconds=0.3)
        for n in range(2)
    ]
    route = harness.route(
        "orders",
        PATH,
        "ledger",
        routeKind="non_idempotent",
        maxAttempts=1,
        timeoutMs=TIMEOUT_SECONDS * 1000,
    )
    document = harness.configuration(1, [route])
    if await site.configure(document, seconds=30) is None:
        raise harness.NotRunError("the first configuration has no confirmation")
    await site.wait_ready()
    await asyncio.sleep(2 * harness.HEARTBEAT_SECONDS)
    if harness.has_trouble():
        await report_from_another_writer(site, servers[0])

    async def make(index: int) -> harness.Tried:
        await asyncio.sleep(index / 80)
        return await site.request(
            PATH + "x", host=harness.HOST, method="POST", body=b"order"
        )

    tried = await asyncio.gather(*map(make, range(800)))
    # The client leaves at its own time budget, 3 s.
    open_at_timeout = [
        each
        for each in tried
        if each.answer.error == "no answer in time"
        or each.answer.seconds > TIMEOUT_SECONDS
    ]
    unanswered = [
        each
        for each in open_at_timeout
        if each.answer.error == "no answer in time"
        or each.answer.seconds > TIMEOUT_SECONDS + GRACE_SECONDS
    ]
    site.record.write(
        f"{len(tried)} requests, {sum(each.is_served for each in tried)} "
        f"served; open at the route's time: {len(open_at_timeout)}, half a "
        f"second later: {len(unanswered)}"
    )
    return (
        len(unanswered) >= LEAST_UNANSWERED
        and len(unanswered) > len(open_at_timeout) / 2
    )


harness.main(case, str(FOLDER), controls=3, edges=3)
