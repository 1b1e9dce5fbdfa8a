"""Tests of the ends of events in streams cut at any byte."""

import re
import unittest

from endivestream.connection import sse
import hypothesis
from hypothesis import strategies as st

_PARTS = (b"data: x", b"id: 7", b": note", b"\r", b"\n", b"\r\n")
_MARK = b"\xef\xbb\xbf"


def _is_inside_event(raw):
    """Returns whether a stream ends inside an event; reads it as a whole."""
    text = raw.removeprefix(_MARK).replace(b"\r\n", b"\n").replace(b"\r", b"\n")
    *lines, last = text.split(b"\n")
    has_fields = False
    for line in lines:
        has_fields = bool(line) and (has_fields or not line.startswith(b":"))
    *earlier, _ = re.findall(b"\r\n|\r|\n", raw) or [b""]
    lacks_line_feed = (
        raw.endswith(b"\r") and b"\r\n" in earlier and b"\r" not in earlier
    )
    return has_fields or bool(last) or lacks_line_feed


def _feed(splitter, raw, cuts):
    events, turn = [], 0
    while raw:
        size = cuts[turn % len(cuts)]
        events += splitter.feed(raw[:size])
        raw, turn = raw[size:], turn + 1
    return events


class BoundariesTest(unittest.TestCase):
    @hypothesis.given(
        st.booleans(),
        st.lists(st.sampled_from(_PARTS)),
        st.lists(st.integers(1, 5), min_size=1),
    )
    def test_the_end_of_an_event_does_not_depend_on_chunks(
        self, has_mark, parts, cuts
    ):
        """Guards against broken streams that look whole, and the reverse."""
        raw = (_MARK if has_mark else b"") + b"".join(parts)
        boundaries = sse.EventBoundaries()
        _feed(boundaries, raw, cuts)
        self.assertEqual(boundaries.is_inside_event, _is_inside_event(raw))

    def test_each_line_ending_ends_an_event(self):
        """Guards against streams that are held back until their end."""
        for line_end in (b"\n", b"\r", b"\r\n"):
            for size in (1, 2, 3, 100):
                with self.subTest(line_end=line_end, size=size):
                    event = b"id: 7" + line_end + b"data: x" + line_end * 2
                    splitter = sse.EventSplitter()
                    events = _feed(splitter, event * 3, (size,))
                    relayed = b"".join(each.raw for each in events)
                    self.assertEqual(relayed + splitter.rest, event * 3)
                    ids = [each.id for each in events if each.id]
                    self.assertEqual(ids, [b"7"] * 3)

    @hypothesis.given(
        st.lists(st.sampled_from(_PARTS)),
        st.lists(st.integers(1, 5), min_size=1),
    )
    def test_no_byte_is_changed(self, parts, cuts):
        """Guards against bytes lost or repeated between events."""
        raw = b"".join(parts)
        splitter = sse.EventSplitter()
        events = _feed(splitter, raw, cuts)
        relayed = b"".join(event.raw for event in events)
        self.assertEqual(relayed + splitter.rest, raw)
        for event in events:
            text = event.raw.replace(b"\r\n", b"\n").replace(b"\r", b"\n")
            self.assertTrue(text == b"\n" or text.endswith(b"\n\n"))

    def test_only_event_streams_consist_of_events(self):
        """Guards against other answers that are read as events."""
        self.assertTrue(sse.is_event_stream("Text/Event-Stream;charset=utf-8"))
        self.assertFalse(sse.is_event_stream("application/json"))
        self.assertFalse(sse.is_event_stream(""))


if __name__ == "__main__":
    unittest.main()
