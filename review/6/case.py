"""A voter that was down for some seconds never serves again.

Machines: control hosts a, b, c; d replaces c; one entry host, one server.
"""

from __future__ import annotations

import os
import pathlib
import signal
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

from standins_2 import site

_HAS_TROUBLE = os.environ.get("TROUBLE") != "0"
# pzzt-lodz names up to 3.7 s for killed control hosts.
_KILLED_SECONDS = 3.0
# Between two losses: catchUpS, and a margin for the start of a process.
_PAUSE_SECONDS = site.CATCH_UP_SECONDS + 2.0
_DOWN_SECONDS = 1.2
_READ_SECONDS = 9.0


def _case(
    folder: pathlib.Path, record: site.Record, machines: list[site.Machine]
) -> bool:
    ports = site.Ports()
    address = {
        name: f"{ports.prefix}.{number}"
        for number, name in enumerate(
            ("a", "b", "c", "d", "edge", "server"), 11
        )
    }
    ports.check(list(address.values()))

    def create(name: str, role: str, zone: str) -> site.Machine:
        machine = site.Machine(
            name=name,
            role=role,
            address=address[name],
            zone=zone,
            ports=ports,
            folder=folder,
            record=record,
        )
        machines.append(machine)
        return machine

    a, b, c, d = (
        create(name, "control", zone)
        for name, zone in (
            ("a", "lodz-a"),
            ("b", "lodz-b"),
            ("c", "lodz-c"),
            ("d", "lodz-c"),
        )
    )
    edge = create("edge", "edge", "lodz-a")
    listed = [a, b, c]

    def controls() -> list[str]:
        return [machine.address for machine in listed]

    seeds = controls()
    for machine in (a, b, c):
        machine.start(seeds=seeds, bootstrap=True)
    edge.start(seeds=seeds, bootstrap=True)
    operator = site.Operator(
        port=ports.control, controls=controls, record=record
    )
    if not operator.put(site.document(1), seconds=25.0):
        raise site.CannotRunError("the first configuration has no confirmation")
    server = site.Server(
        name="i-1",
        service="desk",
        address=address["server"],
        port=ports.server,
        control_port=ports.control,
        controls=controls,
        record=record,
    )
    client = site.Client(
        address=address["edge"], port=ports.front, record=record
    )
    server.start()
    client.start()
    try:
        time.sleep(3.0)
        # Planned work: d is the successor of c; the new one first.
        d.start(seeds=seeds)
        listed.append(d)
        time.sleep(_PAUSE_SECONDS)
        if _HAS_TROUBLE:
            b.signal(signal.SIGKILL)
            b.wait(2.0)
            time.sleep(_KILLED_SECONDS)
            b.start(seeds=seeds)
        time.sleep(_PAUSE_SECONDS)
        c.signal(signal.SIGTERM)
        if not c.wait(site.BOUNDS["graceS"]):
            c.signal(signal.SIGKILL)
            c.wait(2.0)
        listed.remove(c)
        time.sleep(_PAUSE_SECONDS)
        before_at = time.monotonic() - _PAUSE_SECONDS
        if not operator.put(site.document(2), seconds=8.0):
            raise site.CannotRunError("version 2 has no confirmation")
        # Final fault: as many machines as `faultTolerance` allows lose their
        # disks right after a confirmation.
        fault_at = time.monotonic()
        a.signal(signal.SIGKILL)
        a.wait(2.0)
        a.lose_disk()
        time.sleep(_DOWN_SECONDS)
        a.start(seeds=controls())
        back_at = time.monotonic()
        time.sleep(site.RECOVERY_SECONDS)
        judged_at = time.monotonic()
        versions = []
        while time.monotonic() < judged_at + _READ_SECONDS:
            versions += [operator.read(each) for each in controls()]
            time.sleep(0.5)
        end_at = time.monotonic()
    finally:
        client.close()
        server.close()
    served_before = client.served(before_at, fault_at)
    served_after = client.served(back_at + site.RECOVERY_SECONDS, end_at)
    read_back = [version for version in versions if version is not None]
    record.write(
        f"served of sent: before the final fault {served_before}, "
        f"from recoveryS after it {served_after}"
    )
    record.write(f"read back: {read_back} in {len(versions)} calls")
    is_config_broken = not read_back or max(read_back) < 2
    is_recover_broken = (
        4 * served_before[0] >= served_before[1] > 0
        and 4 * served_after[0] < served_after[1]
    )
    record.write(f"CONFIG broken: {is_config_broken}")
    record.write(f"RECOVER broken: {is_recover_broken}")
    return is_config_broken or is_recover_broken


if __name__ == "__main__":
    sys.exit(site.run(_case))
