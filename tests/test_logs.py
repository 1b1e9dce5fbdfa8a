import datetime
import io
import types
import unittest

from endivestream import logs


class Line(str):
    """Text with a record, as the library hands it to a sink."""

    def __new__(cls, text, number=20):
        made = super().__new__(cls, text)
        made.record = {
            "level": types.SimpleNamespace(no=number),
            "time": datetime.datetime(2026, 1, 1),
        }
        return made


class BoundedTest(unittest.TestCase):
    def setUp(self):
        self.now = 0.0
        self.stream = io.StringIO()
        self.sink = logs.Bounded(self.stream, host="e1", now=lambda: self.now)

    def _lines(self):
        return self.stream.getvalue().splitlines()

    def test_a_flood_is_cut_and_counted(self):
        """Requests keep their processor time while all of them are refused.

        Ten thousand lines come at once; some stay out, and the next line
        after a pause says how many.
        """
        for _ in range(10_000):
            self.sink.write(Line("event=request\n"))
        written = len(self._lines())
        self.assertLess(written, 2_000)
        self.now = 1.0
        self.sink.write(Line("event=request\n"))
        self.assertIn(f"count={10_000 - written}", self._lines()[-2])
        self.assertEqual(len(self._lines()), written + 2)

    def test_warnings_come_through_a_flood_of_requests(self):
        for _ in range(10_000):
            self.sink.write(Line("event=request\n"))
        self.sink.write(Line("event=leader_lost\n", number=30))
        self.assertIn("event=leader_lost", self._lines()[-1])

    def test_the_usual_volume_is_written_whole(self):
        for second in range(60):
            self.now = float(second)
            for _ in range(200):
                self.sink.write(Line("event=request\n"))
        self.assertEqual(len(self._lines()), 60 * 200)
