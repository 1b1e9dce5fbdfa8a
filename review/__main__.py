"""Runs cases: `python -m review [NUMBER ...]`, all without numbers.

Prints the exit status of each: 1 if the rule was broken, 0 if it held, 2 if the
case could not run.
"""

from __future__ import annotations

import pathlib
import subprocess
import sys

_FOLDER = pathlib.Path(__file__).resolve().parent


def main() -> int:
    """Runs the cases and returns 1 if a rule was broken, else 0."""
    numbers = sys.argv[1:] or sorted(
        path.parent.name for path in _FOLDER.glob("*/run.sh")
    )
    statuses = []
    for number in numbers:
        script = _FOLDER / number / "run.sh"
        statuses.append(subprocess.run(["sh", str(script)], check=False))
        print(f"case {number}: {statuses[-1].returncode}", flush=True)
    return int(any(each.returncode == 1 for each in statuses))


if __name__ == "__main__":
    sys.exit(main())
