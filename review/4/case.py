"""A configuration without a model that a server still holds."""

from __future__ import annotations

import asyncio
import collections
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import harness

MODELS = [f"model-{n:02}" for n in range(12)]
PLACES = 3
ENGINES = 3
LOAD_SECONDS = 3.8
PATH = "/chat/"
# A model counts if it is asked for this often, over this long.
LEAST_REQUESTS, LEAST_SECONDS = 4, 8.0
# Models that may be left unserved: a number, and a share of those that count.
SPARED, SPARED_SHARE = 1, 0.1


def configuration(version: int, models: list[str]) -> dict:
    """Returns a configuration with these models."""
    route = harness.route(
        "chat",
        PATH,
        "engines",
        routeKind="streaming",
        timeoutMs=15000,
        objectiveMs=800,
        maxAttempts=1,
        sticky=True,
        resumable=False,
        gapObjectiveMs=300,
    )
    document = harness.configuration(version, [route])
    engine = {
        "slots": 64,
        "kvCapacity": 141234,
        "models": [
            {
                "name": name,
                "weightsMb": 72700.0,
                "loadS": LOAD_SECONDS,
                "adapters": 0,
                "adapterSizeMb": 66.0,
                "warmS": 0.63,
                "diskS": 0.84,
            }
            for name in models
        ],
        "weightsMb": 230000.0,
        "adapterSlots": 8,
        "loadsPerS": 2.8,
    }
    document["services"] = [
        {
            "name": "engines",
            "healthPath": "/healthz",
            "maxConns": 370,
            "protocol": "h1",
            "tls": False,
            "engine": engine,
        }
    ]
    return document


async def case(site: harness.Site) -> bool:
    """Returns whether too many models are never served."""
    for n in range(ENGINES):
        await site.add_engine(
            f"i-7a31c90{n}",
            "engines",
            models=MODELS[n * PLACES : (n + 1) * PLACES],
            load_seconds=LOAD_SECONDS,
            place_count=PLACES,
        )
    if await site.configure(configuration(1, MODELS), seconds=30) is None:
        raise harness.NotRunError("the first configuration has no confirmation")
    await site.wait_ready()
    await asyncio.sleep(2 * harness.HEARTBEAT_SECONDS)

    async def ask(model: str, count: int, gap: float) -> list[harness.Tried]:
        async def make(index: int) -> harness.Tried:
            await asyncio.sleep(index * gap)
            return await site.request(
                PATH + model,
                host=harness.HOST,
                method="POST",
                body=b"prompt",
                deadline_ms=15000,
                headers={
                    "Model": model,
                    "Token-Count": "400,40",
                    "Prefix-Hash": f"5c1e07a2:200,{index:08x}:200",
                },
            )

        return list(await asyncio.gather(*map(make, range(count))))

    held, others = MODELS[: ENGINES * PLACES], MODELS[ENGINES * PLACES :]
    tried = [await asyncio.gather(*(ask(model, 10, 0.9) for model in held))]
    retired = held[4]
    kept = [m for m in MODELS if m != retired or not harness.has_trouble()]
    if await site.configure(configuration(2, kept), seconds=10) is None:
        site.record.write("the second configuration has no confirmation")
    await asyncio.sleep(harness.BOUNDS["configMs"] / 1000)
    # Demand moves on: what nobody held is asked for, part of the rest no more.
    now_asked = [*others, *held[:2], *held[6:8]]
    tried.append(
        await asyncio.gather(*(ask(model, 45, 0.9) for model in now_asked))
    )

    by_model = collections.defaultdict(list)
    for part in tried:
        for each in (one for answers in part for one in answers):
            by_model[each.path.removeprefix(PATH)].append(each)
    counted = {
        model: answers
        for model, answers in by_model.items()
        if len(answers) >= LEAST_REQUESTS
        and answers[-1].sent_at - answers[0].sent_at >= LEAST_SECONDS
    }
    starved = []
    for model, answers in sorted(counted.items()):
        served = sum(each.is_served for each in answers)
        site.record.write(f"{model}: {served} of {len(answers)} served")
        if not served:
            starved.append(model)
    site.record.write(f"never served: {len(starved)} of {len(counted)}")
    return len(starved) > SPARED + SPARED_SHARE * len(counted)


harness.main(case, str(FOLDER), controls=3, edges=3)
