"""Tables of a run, computed from log lines in the hosts' format."""

import unittest

from daylog import lines as lines_lib
from daylog import tables as tables_lib

LINES = """built in 7 s
  1.5000 e1 time=x level=INFO host=e1 event=request request=r1 route=chat \
team=t1 model=m1 status=200 reason=served waited_ms=40 first_ms=90 gap_ms=400 \
turn_ms=0 total_ms=700
  3.2000 e2 time=x level=INFO host=e2 event=request request=r2 route=chat \
team=t1 model=m2 status=503 reason=no_model waited_ms=1001 first_ms=1001 \
gap_ms=0 turn_ms=0 total_ms=1001
  2.0000 c1 time=x level=INFO host=c1 event=placed model=m2 target=e \
seconds=5.8 why="a b"
""".replace("\\\n", "").splitlines()


class DaylogTest(unittest.TestCase):
    def setUp(self):
        self.lines = lines_lib.parse(LINES)
        from_logs = tables_lib.from_lines(self.lines, width=2.0)
        self.tables = {table.name: table for table in from_logs}

    def test_lines_are_sorted_by_time_and_unquoted(self):
        self.assertEqual(
            ["request", "placed", "request"], [x.event for x in self.lines]
        )
        self.assertEqual("a b", self.lines[1].fields["why"])

    def test_request_is_counted_at_its_arrival_not_at_its_end(self):
        rows = {row[0]: row[1:] for row in self.tables["ends-by-arrival"].rows}
        columns = self.tables["ends-by-arrival"].columns[1:]
        self.assertEqual({"0", "2"}, set(rows))
        self.assertEqual(1, rows["2"][columns.index("no_model")])

    def test_stream_with_a_gap_above_300_ms_is_counted(self):
        stages = self.tables["stretches-of-served"]
        first_row = dict(zip(stages.columns, stages.rows[0], strict=True))
        self.assertEqual(1, first_row["n"])
        self.assertEqual(1, first_row["gaps"])
        self.assertEqual(50.0, first_row["target_ms"])

    def test_unserved_requests_are_counted_by_model_and_reason(self):
        rows = self.tables["lost-by-model"].rows
        self.assertEqual([("m2", "no_model", 1)], list(rows))

    def test_render_prints_every_row(self):
        text = self.tables["placements"].render()
        self.assertIn("5.8", text)
        self.assertEqual(3, len(text.splitlines()))


if __name__ == "__main__":
    unittest.main()
