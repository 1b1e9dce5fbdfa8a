"""Tables of what was lost in a run of a whole site, from its hosts' logs.

    python -m daylog LOG [--report REPORT] [--seconds 2] [--csv FOLDER]

LOG contains the log lines of all hosts, each preceded by the time in seconds
and the host's name. REPORT is a JSON file with the results that callers
measured. The tables show the outcomes of requests by reason and arrival time,
and by kind, team and model; the latency of served requests by stage; changes
of the leader; and the duration of each model placement.
"""

from __future__ import annotations

import argparse
import csv
import json
import pathlib
import sys

from daylog import lines as lines_lib
from daylog import tables as tables_lib


def main() -> int:
    """Prints the tables of one run."""
    parser = argparse.ArgumentParser(description=__doc__.partition("\n")[0])
    parser.add_argument("log", type=pathlib.Path)
    parser.add_argument("--report", type=pathlib.Path)
    parser.add_argument(
        "--seconds", type=float, default=2.0, help="width of a row, in seconds"
    )
    parser.add_argument(
        "--csv", type=pathlib.Path, help="folder for the CSV files"
    )
    options = parser.parse_args()
    text = options.log.read_text(encoding="utf-8", errors="replace")
    lines = lines_lib.parse(text.splitlines())
    all_tables = tables_lib.from_lines(lines, width=options.seconds)
    if options.report is not None:
        report = json.loads(options.report.read_text(encoding="utf-8"))
        all_tables = [*tables_lib.from_report(report), *all_tables]
    for table in all_tables:
        print(table.render())
        print()
    if options.csv is not None:
        _write(options.csv, all_tables)
    return 0


def _write(folder: pathlib.Path, tables: list[tables_lib.Table]) -> None:
    folder.mkdir(parents=True, exist_ok=True)
    for table in tables:
        path = folder / f"{table.name}.csv"
        with path.open("w", encoding="utf-8", newline="") as file:
            writer = csv.writer(file)
            writer.writerow(table.columns)
            writer.writerows(table.rows)


if __name__ == "__main__":
    sys.exit(main())
