"""Capacity benchmarks (`make bench`): prints all results and writes JSON.

A slope is the cost per message, token, line or record. Uses loopback only; the
number of runs is bounded, and all take about six minutes.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import pathlib
import sys
import tempfile
import time
from typing import Any

from loguru import logger
import processes

from capacity import agreement
from capacity import control
from capacity import fit
from capacity import gateway
from capacity import pure


def _to_json_data(value: Any) -> Any:
    """Converts results to data that JSON can represent."""
    if isinstance(value, fit.Line):
        return {**value._asdict(), "kind": "line"}
    if isinstance(value, dict):
        return {name: _to_json_data(item) for name, item in value.items()}
    if isinstance(value, list | tuple):
        return [_to_json_data(item) for item in value]
    return value


async def _control(folder: pathlib.Path) -> dict[str, Any]:
    host = processes.Host(folder=folder, name="control-only")
    host.wait_ready()
    rules = folder / "control-rules.txt"
    rules.write_text(pure.rules_text(380))
    processes.operate("rules", "apply", str(rules), address=host.address)
    driver = control.Driver(host=host)
    driver.open_links(8)
    results: dict[str, Any] = {"idle_memory_mib": host.memory_mib()}
    try:
        results["charging"] = await control.charging(driver)
        results["ticketing_16"] = await control.ticketing(driver, 16)
        results["reporting"] = await control.reporting(driver)
        results["committing"] = await control.committing(driver)
        results["watching"] = await control.renewing_leases(driver)
        results["changing"] = await control.changing(driver)
        results["end_memory_mib"] = host.memory_mib()
    finally:
        await driver.close()
        host.kill()
    return results


async def _gateway(folder: pathlib.Path) -> dict[str, Any]:
    site = gateway.Site(folder=folder)
    try:
        cpu_before = site.gateway.cpu_seconds()
        await asyncio.sleep(4.0)
        idle = (site.gateway.cpu_seconds() - cpu_before) / 4.0
        return {
            "idle_cpu_with_4_targets": idle,
            "idle_memory_mib": site.gateway.memory_mib(),
            "overhead": await gateway.overhead(site),
            "relaying": await gateway.relaying(site),
            "requesting": await gateway.requesting(site),
            "homing": await gateway.receiving_reports(site),
        }
    finally:
        site.close()


def _pure() -> dict[str, Any]:
    return {
        "parsing_s_a_line": pure.parsing(),
        "scheduling_s_a_target": pure.scheduling(),
        "bucket_bytes_a_charge": pure.bucket_memory(),
        "call_bytes_a_record": pure.call_memory(),
        "view_bytes_a_model": pure.view_memory(),
        "planning": pure.planning(),
    }


async def _agreement(folder: pathlib.Path) -> dict[str, Any]:
    return {
        "committing": await agreement.committing(folder),
        "electing": await agreement.electing(folder),
        "revoking": await asyncio.to_thread(agreement.revoking, folder),
        "applying": await asyncio.to_thread(agreement.applying, folder),
    }


_SECTIONS = ("sizes", "pure", "control", "restarting", "gateway", "agreement")


async def _measure(folder: pathlib.Path, only: list[str]) -> dict[str, Any]:
    results: dict[str, Any] = {}
    for section in only or _SECTIONS:
        match section:
            case "sizes":
                results[section] = control.sizes()
            case "pure":
                results[section] = _pure()
            case "control":
                results[section] = await _control(folder)
            case "restarting":
                results[section] = await control.restarting(folder)
            case "gateway":
                results[section] = await _gateway(folder)
            case "agreement":
                results[section] = await _agreement(folder)
    return results


def _print_results(value: Any, name: str, earlier: Any) -> None:
    """Prints one line per result, with the value of an earlier run."""
    earlier_items = earlier if isinstance(earlier, dict) else {}
    if isinstance(value, dict) and value.get("kind") == "line":
        text = f"{value['slope']:.3g} +- {value['error']:.1g} per unit, "
        text += f"{value['intercept']:.3g} at zero"
        if "slope" in earlier_items:
            text += f" (earlier {earlier_items['slope']:.3g})"
        print(f"{name}: {text}")
    elif isinstance(value, dict):
        for key, item in value.items():
            _print_results(
                item, f"{name}.{key}" if name else key, earlier_items.get(key)
            )
    elif isinstance(value, list):
        for item in value:
            pairs = (f"{k}={_format_value(v)}" for k, v in item.items())
            print(f"{name}: {' '.join(pairs)}")
    else:
        comparison = f" (earlier {earlier:.4g})" if earlier is not None else ""
        print(f"{name}: {_format_value(value)}{comparison}")


def _format_value(value: Any) -> str:
    return value if isinstance(value, str) else f"{value:.4g}"


def main() -> int:
    """Runs all measurements."""
    parser = argparse.ArgumentParser(prog="capacity")
    parser.add_argument("--output", type=pathlib.Path, required=True)
    parser.add_argument("--compare", type=pathlib.Path)
    parser.add_argument(
        "--only",
        action="append",
        choices=_SECTIONS,
        help="section to measure; may be repeated",
    )
    arguments = parser.parse_args()
    logger.remove()  # The benchmark's own links log when they change peers.
    started_at = time.monotonic()
    with tempfile.TemporaryDirectory() as folder:
        results = _to_json_data(
            asyncio.run(_measure(pathlib.Path(folder), arguments.only))
        )
    # Written before printing, so that an error in the printing code does not
    # lose the results.
    arguments.output.parent.mkdir(parents=True, exist_ok=True)
    arguments.output.write_text(json.dumps(results, indent=1) + "\n")
    earlier = {}
    if arguments.compare:
        earlier = json.loads(arguments.compare.read_text())
    _print_results(results, "", earlier)
    print(f"measured in {time.monotonic() - started_at:.0f} s")
    return 0


if __name__ == "__main__":
    sys.exit(main())
