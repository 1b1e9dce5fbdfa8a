"""Runs seeded scenarios: `python -m soak [FIRST] [COUNT]`.

Prints for each seed the answers by status and the requests that reached a
target against its Retry-After or after its drain; exits with 1 if there were
any.
"""

from __future__ import annotations

import argparse
import collections
import sys

from loguru import logger

from soak import simulated_site


def main() -> int:
    """Runs the seeds and returns the exit status."""
    parser = argparse.ArgumentParser(description=__doc__.partition("\n")[0])
    parser.add_argument("first", type=int, nargs="?", default=0)
    parser.add_argument("count", type=int, nargs="?", default=50)
    options = parser.parse_args()
    logger.remove()
    violation_count = 0
    for seed in range(options.first, options.first + options.count):
        result = simulated_site.run(simulated_site.draw_scenario(seed))
        statuses = collections.Counter(call.status for call in result.calls)
        print(
            f"seed={seed} calls={len(result.calls)}",
            *(f"{status}:{statuses[status]}" for status in sorted(statuses)),
            f"violations={len(result.violations)}",
            *result.violations[:3],
            flush=True,
        )
        violation_count += len(result.violations)
    print(f"{options.count} seeds, {violation_count} violations")
    return 1 if violation_count else 0


if __name__ == "__main__":
    sys.exit(main())
