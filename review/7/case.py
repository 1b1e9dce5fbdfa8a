"""After a configuration without one model, no model is loaded any more.

Machines: control hosts a, b, c; one entry host; model servers i-1 and i-2 with
room for three models. The second configuration no longer lists a model that
only i-1 holds.
"""

from __future__ import annotations

import os
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

from standins_2 import engine
from standins_2 import site

_HAS_TROUBLE = os.environ.get("TROUBLE") != "0"
# As on the sheet of pzzt-lodz: 65.1 to 72.7 GB, 0.78 to 0.84 s from the disk,
# 230 GB and 8 places for adapters of a server.
_MODELS = tuple(engine.Model(f"m{n}", 72700.0, 0.84) for n in range(6))
_WEIGHTS_MB = 230000.0
_HELD = {"i-1": ("m0", "m1", "m2"), "i-2": ("m0", "m1")}
_RUN_SECONDS = 1.0
_ASKED_SECONDS = 45.0


def _case(
    folder: pathlib.Path, record: site.Record, machines: list[site.Machine]
) -> bool:
    ports = site.Ports()
    names = ("a", "b", "c", "edge", "i-1", "i-2")
    address = {
        name: f"{ports.prefix}.{number}"
        for number, name in enumerate(names, 11)
    }
    ports.check(list(address.values()))
    for name in names[:4]:
        machines.append(
            site.Machine(
                name=name,
                role="edge" if name == "edge" else "control",
                address=address[name],
                zone="lodz-a" if name == "edge" else f"lodz-{name}",
                ports=ports,
                folder=folder,
                record=record,
            )
        )
    controls = [address[name] for name in "abc"]
    for machine in machines:
        machine.start(seeds=controls, bootstrap=True)
    operator = site.Operator(
        port=ports.control, controls=lambda: controls, record=record
    )
    engines = [
        engine.Engine(
            name=name,
            service="llm",
            address=address[name],
            port=ports.server,
            control_port=ports.control,
            controls=lambda: controls,
            record=record,
            zone=zone,
            models=_MODELS,
            held=_HELD[name],
            weights_mb=_WEIGHTS_MB,
            run_seconds=_RUN_SECONDS,
        )
        for name, zone in (("i-1", "lodz-a"), ("i-2", "lodz-b"))
    ]
    if not operator.put(engine.document(1, _MODELS, _WEIGHTS_MB), seconds=25.0):
        raise site.CannotRunError("the first configuration has no confirmation")
    for each in engines:
        each.start()

    clients = {
        model: engine.client(address["edge"], ports.front, record, model)
        for model in ("m0", "m1", "m3", "m4", "m5")
    }
    try:
        time.sleep(4.0)
        for model in ("m0", "m1"):
            clients[model].start()
        time.sleep(6.0)
        # The retired model has had no requests.
        listed = [
            model
            for model in _MODELS
            if not (_HAS_TROUBLE and model.name == "m2")
        ]
        second = engine.document(2, listed, _WEIGHTS_MB)
        if not operator.put(second, seconds=8.0):
            raise site.CannotRunError("version 2 has no confirmation")
        time.sleep(4.0)
        for model in ("m3", "m4", "m5"):
            clients[model].start()
        time.sleep(_ASKED_SECONDS)
    finally:
        for each in clients.values():
            each.close()
        for each in engines:
            each.close()
    end_at = time.monotonic()
    asked, starved = 0, []
    results = [each.served(0.0, end_at) for each in clients.values()]
    unserved = 1 - sum(r[0] for r in results) / sum(r[1] for r in results)
    # How many would never be served if all shared the failures.
    by_chance = 0.0
    for model, each in clients.items():
        served, sent = each.served(0.0, end_at)
        record.write(f"{model}: {served} of {sent} served")
        first_at, last_at = each.details[0][0], each.details[-1][0]
        if sent >= 4 and last_at - first_at > 8.0:
            asked += 1
            by_chance += unserved**sent
            if not served:
                starved.append(model)
    record.write(f"never served: {starved} of {asked} models asked for")
    record.write(f"expected by chance: {by_chance:.6f}")
    return len(starved) > 1 + 0.1 * asked + 3 * by_chance


if __name__ == "__main__":
    sys.exit(site.run(_case))
