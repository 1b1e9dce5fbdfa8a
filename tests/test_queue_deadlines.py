"""Limits on queueing time, and the retry time of a refused caller."""

import math
import unittest

from endivestream.request import queue_deadlines
from endivestream.version import document as document_lib
import hypothesis
from hypothesis import strategies as st

from tests import test_document

CHAT = test_document.route(
    kind=document_lib.Kind.STREAM,
    timeout=12.0,
    objective=0.4,
    max_event_gap=0.3,
)
ORDER = test_document.route(timeout=0.6, objective=0.1)
TIMES = st.floats(0.0, 1e6)


class TurnTest(unittest.TestCase):
    @hypothesis.given(TIMES, TIMES, TIMES)
    def test_turn_wait_ends_by_the_deadline(self, came, elapsed, allowed):
        """Guards against sending a prompt after its request's deadline."""
        for route in (CHAT, ORDER):
            until = queue_deadlines.turn_wait_deadline(
                route=route,
                arrived_at=came,
                now=came + elapsed,
                deadline=came + allowed,
            )
            self.assertLessEqual(until, came + allowed)

    def test_turn_wait_ends_before_the_objective(self):
        until = queue_deadlines.turn_wait_deadline(
            route=CHAT, arrived_at=100.0, now=100.1, deadline=112.0
        )
        self.assertLess(until, 100.0 + CHAT.objective)


class PlaceTest(unittest.TestCase):
    def _until_place(self, route, deadline, heard=0.0, came=100.0):
        return queue_deadlines.target_wait_deadline(
            route=route,
            arrived_at=came,
            last_sent_at=heard,
            deadline=came + deadline,
        )

    def test_stream_is_refused_before_its_caller_disconnects(self):
        """Guards against callers that disconnect while their request waits.

        Demand shifts to a model that takes six seconds to load. The caller's
        deadline is after twelve seconds, but it disconnects from a silent
        stream after 2.4. If refused before that, the caller can retry.
        """
        self.assertAlmostEqual(102.04, self._until_place(CHAT, 12.0))

    def test_wait_of_a_started_stream_counts_from_its_last_event(self):
        """Guards against refusing an interrupted stream too early.

        Its target failed mid-stream and it waits for another one.
        """
        self.assertAlmostEqual(
            107.04, self._until_place(CHAT, 12.0, heard=105.0)
        )

    def test_other_requests_keep_time_for_the_answer(self):
        self.assertAlmostEqual(100.42, self._until_place(ORDER, 0.6))

    def test_request_past_its_deadline_does_not_wait(self):
        self.assertEqual(100.0, self._until_place(ORDER, -5.0))

    @hypothesis.given(TIMES, TIMES, TIMES)
    def test_wait_ends_by_the_deadline(self, came, heard, allowed):
        for route in (CHAT, ORDER):
            until = queue_deadlines.target_wait_deadline(
                route=route,
                arrived_at=came,
                last_sent_at=heard,
                deadline=came + allowed,
            )
            self.assertLessEqual(until, came + allowed + 1e-6)


class LeaseTest(unittest.TestCase):
    def test_started_host_queues_requests_until_the_election_ends(self):
        """Guards against refusing all callers after a power failure.

        All hosts lost power. A leader is elected 1.2 s after this host has
        started. Callers refused immediately would retry within the same
        second and give up.
        """
        until = queue_deadlines.lease_wait_deadline(
            arrived_at=100.0, deadline=112.0, fresh=True
        )
        self.assertGreater(until, 101.2)
        self.assertLess(until, 102.0)

    def test_host_with_expired_lease_refuses_soon(self):
        until = queue_deadlines.lease_wait_deadline(
            arrived_at=100.0, deadline=112.0, fresh=False
        )
        self.assertLessEqual(until, 100.25)

    def test_short_requests_keep_time_for_another_host(self):
        until = queue_deadlines.lease_wait_deadline(
            arrived_at=100.0, deadline=100.6, fresh=True
        )
        self.assertAlmostEqual(100.3, until)

    def test_infinite_deadline_does_not_wait_forever(self):
        until = queue_deadlines.lease_wait_deadline(
            arrived_at=0.0, deadline=math.inf, fresh=True
        )
        self.assertLess(until, 2.0)


class RetryAfterTest(unittest.TestCase):
    def test_retry_time_is_the_end_of_the_model_load(self):
        seconds = queue_deadlines.retry_after_seconds(
            expected=105.8, now=102.0, usual=0.5
        )
        self.assertAlmostEqual(3.8, seconds)

    def test_overdue_load_gives_a_positive_retry_time(self):
        seconds = queue_deadlines.retry_after_seconds(
            expected=102.0, now=102.0, usual=0.5
        )
        self.assertGreater(seconds, 0.0)

    def test_unknown_load_end_gives_the_usual_retry_time(self):
        for expected in (None, math.inf):
            seconds = queue_deadlines.retry_after_seconds(
                expected=expected, now=1.0, usual=0.5
            )
            self.assertEqual(0.5, seconds)


if __name__ == "__main__":
    unittest.main()
