"""Tables of a run, from lines as hosts write them."""

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
        made = tables_lib.from_lines(self.lines, width=2.0)
        self.tables = {table.name: table for table in made}

    def test_lines_come_in_time_order_with_quotes_removed(self):
        self.assertEqual(
            ["request", "placed", "request"], [x.event for x in self.lines]
        )
        self.assertEqual("a b", self.lines[1].fields["why"])

    def test_a_request_counts_where_it_came_not_where_it_ended(self):
        rows = {row[0]: row[1:] for row in self.tables["ends-by-arrival"].rows}
        columns = self.tables["ends-by-arrival"].columns[1:]
        self.assertEqual({"0", "2"}, set(rows))
        self.assertEqual(1, rows["2"][columns.index("no_model")])

    def test_a_stream_with_a_long_pause_is_counted(self):
        stretches = self.tables["stretches-of-served"]
        first = dict(zip(stretches.columns, stretches.rows[0], strict=True))
        self.assertEqual(1, first["n"])
        self.assertEqual(1, first["gaps"])
        self.assertEqual(50.0, first["target_ms"])

    def test_what_was_lost_is_told_by_model(self):
        rows = self.tables["lost-by-model"].rows
        self.assertEqual([("m2", "no_model", 1)], list(rows))

    def test_a_table_renders_every_row(self):
        text = self.tables["placements"].render()
        self.assertIn("5.8", text)
        self.assertEqual(3, len(text.splitlines()))


if __name__ == "__main__":
    unittest.main()
