"""A key that was taken away is accepted again, as is a request without a key.

Machines: control hosts a, b, c; one entry host; one server. The second
configuration takes away the only key.
"""

from __future__ import annotations

import os
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

from standins_2 import site

_HAS_TROUBLE = os.environ.get("TROUBLE") != "0"
_KEY = "i9n73hh2b9wu3fexd9dn"
_JUDGED_SECONDS = 10.0


def _document(version: int, tenants: list[dict]) -> dict:
    document = site.document(version)
    document["routes"][0]["anonymous"] = False
    document["tenants"] = tenants
    return document


def _case(
    folder: pathlib.Path, record: site.Record, machines: list[site.Machine]
) -> bool:
    ports = site.Ports()
    names = ("a", "b", "c", "edge", "server")
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
    tenant = {
        "name": "hule930",
        "apiKeys": [_KEY],
        "priority": 1,
        "unit": "tokens",
        "plainTokens": 200,
        "ratePerS": 48436,
        "burst": 48436,
    }
    if not operator.put(_document(1, [tenant]), seconds=25.0):
        raise site.CannotRunError("the first configuration has no confirmation")
    server = site.Server(
        name="i-1",
        service="desk",
        address=address["server"],
        port=ports.server,
        control_port=ports.control,
        controls=lambda: controls,
        record=record,
    )
    client = site.Client(
        address=address["edge"],
        port=ports.front,
        record=record,
        headers={"Authorization": f"Token {_KEY}", "Deadline-Ms": "1500"},
    )
    server.start()
    time.sleep(3.0)
    client.start()
    try:
        time.sleep(4.0)
        # The key is taken away with its tenant, or only the key.
        left = [] if _HAS_TROUBLE else [{**tenant, "apiKeys": []}]
        if not operator.put(_document(2, left), seconds=8.0):
            raise site.CannotRunError("version 2 has no confirmation")
        confirmed_at = time.monotonic()
        time.sleep(site.BOUNDS["revokeMs"] / 1000 + _JUDGED_SECONDS)
    finally:
        client.close()
        server.close()
    late = {
        attempt
        for at, _, attempt in client.details
        if at > confirmed_at + site.BOUNDS["revokeMs"] / 1000
    }
    ran = late.intersection(server.runs)
    record.write(
        f"sent later than revokeMs after the confirmation: {len(late)}, "
        f"of which the server ran {len(ran)}"
    )
    if not late or not any(
        at < confirmed_at and status == 200 for at, status, _ in client.details
    ):
        raise site.CannotRunError("no request ran before, or none came after")
    return bool(ran)


if __name__ == "__main__":
    sys.exit(site.run(_case))
