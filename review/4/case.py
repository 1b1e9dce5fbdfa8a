"""A tenant whose name has letters beyond Latin-1."""

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
NAME, PLAIN_NAME = "Łódź Foil Press", "Lodz Foil Press"


def configuration(version: int, *more: dict) -> dict:
    """Returns a configuration with one tenant and some more."""
    route = harness.route(
        "orders",
        PATH,
        "ledger",
        routeKind="non_idempotent",
        maxAttempts=1,
        timeoutMs=TIMEOUT_SECONDS * 1000,
        anonymous=False,
    )
    document = harness.configuration(version, [route])
    document["tenants"] = [tenant("hule930", "i9n73hh2b9wu3fexd9dn"), *more]
    return document


def tenant(name: str, key: str) -> dict:
    """Returns a tenant with one key and no limit that matters."""
    return {
        "name": name,
        "apiKeys": [key],
        "priority": 1,
        "unit": "tokens",
        "plainTokens": 200,
        "ratePerS": 62060,
        "burst": 62060,
    }


async def case(site: harness.Site) -> bool:
    """Returns whether requests have no answer after their route's time."""
    for n in range(3):
        await site.add_server(f"i-7a31c90{n}", "ledger", work_seconds=0.09)
    if await site.configure(configuration(1), seconds=30) is None:
        raise harness.NotRunError("the first configuration has no confirmation")
    await site.wait_ready()
    await asyncio.sleep(2 * harness.HEARTBEAT_SECONDS)
    name = NAME if harness.has_trouble() else PLAIN_NAME
    added = tenant(name, "n2ctnfzs989anu6wsjnb")
    if await site.configure(configuration(2, added), seconds=10) is None:
        site.record.write("the second configuration has no confirmation")
        return False
    await asyncio.sleep(harness.BOUNDS["configMs"] / 1000)

    async def make(index: int, key: str) -> harness.Tried:
        await asyncio.sleep(index / 10)
        return await site.request(
            PATH + "x",
            host=harness.HOST,
            method="POST",
            body=b"order",
            headers={"Authorization": f"Token {key}"},
        )

    by_key = {}
    for key in ("i9n73hh2b9wu3fexd9dn", "n2ctnfzs989anu6wsjnb"):
        by_key[key] = [make(index, key) for index in range(40)]
    tried = await asyncio.gather(*(r for rs in by_key.values() for r in rs))
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
