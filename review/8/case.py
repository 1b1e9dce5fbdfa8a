"""A status report that names no server to use takes a sound one away.

Machines: control hosts a, b, c; one entry host; a server of each of two
services. The route of the second service is added by the second configuration.
"""

from __future__ import annotations

import json
import os
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

from standins_2 import site

_HAS_TROUBLE = os.environ.get("TROUBLE") != "0"
_BEFORE_SECONDS = 8.0
# From the report until requests are judged, and for how long they are.
_SETTLE_SECONDS = 2.0
_JUDGED_SECONDS = 20.0


def _documents() -> tuple[dict, dict]:
    first = site.document(1)
    second = site.document(2)
    second["services"].append({**second["services"][0], "name": "shop"})
    second["routes"].append(
        {
            **second["routes"][0],
            "name": "r-shop",
            "pathPrefix": "/shop/",
            "service": "shop",
        }
    )
    return first, second


def _case(
    folder: pathlib.Path, record: site.Record, machines: list[site.Machine]
) -> bool:
    ports = site.Ports()
    names = ("a", "b", "c", "edge", "desk", "shop")
    address = {
        name: f"{ports.prefix}.{number}"
        for number, name in enumerate(names, 11)
    }
    ports.check(list(address.values()))
    for name in ("a", "b", "c", "edge"):
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
    controls = [address[name] for name in ("a", "b", "c")]
    for machine in machines:
        machine.start(seeds=controls, bootstrap=True)
    operator = site.Operator(
        port=ports.control, controls=lambda: controls, record=record
    )
    first, second = _documents()
    if not operator.put(first, seconds=25.0):
        raise site.CannotRunError("the first configuration has no confirmation")
    servers = [
        site.Server(
            name=f"i-{service}",
            service=service,
            address=address[service],
            port=ports.server,
            control_port=ports.control,
            controls=lambda: controls,
            record=record,
        )
        for service in ("desk", "shop")
    ]
    clients = [
        site.Client(
            address=address["edge"],
            port=ports.front,
            record=record,
            path=path,
        )
        for path in ("/look/x", "/shop/x")
    ]
    for server in servers:
        server.start()
    try:
        if not operator.put(second, seconds=8.0):
            raise site.CannotRunError("version 2 has no confirmation")
        time.sleep(site.BOUNDS["configMs"] / 1000 + 2.0)
        for client in clients:
            client.start()
        start_at = time.monotonic()
        time.sleep(_BEFORE_SECONDS)
        report_at = time.monotonic()
        if _HAS_TROUBLE:
            # Another writer; its service is in no configuration.
            body = json.dumps(
                {
                    "service": "sidecar",
                    "address": f"{address['shop']}:{ports.server}",
                    "zone": "lodz-b",
                    "version": "v1",
                    "slots": 16,
                    "state": "ready",
                    "coldLeftMs": 0,
                    "seq": 1,
                    "born": int(time.time() * 1000),
                }
            ).encode()
            answer = site.call(
                controls[0],
                ports.control,
                "PUT",
                "/instances/side-1",
                body=body,
                headers={"Content-Type": "application/json"},
            )
            record.write(f"PUT /instances/side-1: {answer.status}")
        time.sleep(_SETTLE_SECONDS + _JUDGED_SECONDS)
        end_at = time.monotonic()
    finally:
        for client in clients:
            client.close()
        for server in servers:
            server.close()
    before = [client.served(start_at, report_at) for client in clients]
    after = [
        client.served(report_at + _SETTLE_SECONDS, end_at) for client in clients
    ]
    record.write(f"served of sent, first and later route: before {before}")
    record.write(f"served of sent, first and later route: after {after}")
    if any(4 * served < 3 * sent for served, sent in before):
        raise site.CannotRunError("a route was not served before the report")
    (first_served, first_sent), (later_served, later_sent) = after
    return (
        later_sent >= 20
        and 4 * later_served * first_sent < first_served * later_sent
    )


if __name__ == "__main__":
    sys.exit(site.run(_case))
