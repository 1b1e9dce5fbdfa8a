import datetime
import io
import types
import unittest

from endivestream import logs


class Line(str):
    """Text with a record, as loguru passes it to a sink."""

    def __new__(cls, text, level_number=20):
        line = super().__new__(cls, text)
        line.record = {
            "level": types.SimpleNamespace(no=level_number),
            "time": datetime.datetime(2026, 1, 1),
        }
        return line


class RateLimitedWriterTest(unittest.TestCase):
    def setUp(self):
        self.now = 0.0
        self.stream = io.StringIO()
        self.sink = logs.RateLimitedWriter(
            self.stream, host="e1", now=lambda: self.now
        )

    def _lines(self):
        return self.stream.getvalue().splitlines()

    def test_burst_of_lines_is_limited_and_counted(self):
        """Logging must not take the processor time of requests.

        Ten thousand lines are logged together; some are dropped, and the next
        line after a pause contains their count.
        """
        for _ in range(10_000):
            self.sink.write(Line("event=request\n"))
        written = len(self._lines())
        self.assertLess(written, 2_000)
        self.now = 1.0
        self.sink.write(Line("event=request\n"))
        self.assertIn(f"count={10_000 - written}", self._lines()[-2])
        self.assertEqual(len(self._lines()), written + 2)

    def test_warnings_are_written_during_a_burst_of_requests(self):
        for _ in range(10_000):
            self.sink.write(Line("event=request\n"))
        self.sink.write(Line("event=leader_lost\n", level_number=30))
        self.assertIn("event=leader_lost", self._lines()[-1])

    def test_usual_rate_is_written_completely(self):
        for second in range(60):
            self.now = float(second)
            for _ in range(200):
                self.sink.write(Line("event=request\n"))
        self.assertEqual(len(self._lines()), 60 * 200)
