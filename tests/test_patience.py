"""How long a request waits, and what a refused caller is told."""

import math
import unittest

from endivestream.request import patience
from endivestream.version import document as document_lib
import hypothesis
from hypothesis import strategies as st

from tests import test_document

CHAT = test_document.route(
    kind=document_lib.Kind.STREAM, timeout=12.0, objective=0.4, gap=0.3
)
ORDER = test_document.route(timeout=0.6, objective=0.1)
TIMES = st.floats(0.0, 1e6)


class TurnTest(unittest.TestCase):
    @hypothesis.given(TIMES, TIMES, TIMES)
    def test_turn_wait_ends_by_the_deadline(self, came, elapsed, given):
        """Guards against sending a prompt after its request's deadline."""
        for route in (CHAT, ORDER):
            until = patience.until_turn(
                route=route,
                came=came,
                now=came + elapsed,
                deadline=came + given,
            )
            self.assertLessEqual(until, came + given)

    def test_turn_wait_ends_before_the_objective(self):
        until = patience.until_turn(
            route=CHAT, came=100.0, now=100.1, deadline=112.0
        )
        self.assertLess(until, 100.0 + CHAT.objective)


class PlaceTest(unittest.TestCase):
    def until(self, route, deadline, heard=0.0, came=100.0):
        return patience.until_place(
            route=route, came=came, heard=heard, deadline=came + deadline
        )

    def test_a_stream_is_refused_before_its_caller_leaves(self):
        """Demand moves to a model that takes six seconds to load.

        The caller gives twelve, but leaves a silent stream after 2.4. Held
        longer it would be lost without a word; refused before, it comes back.
        """
        self.assertAlmostEqual(102.04, self.until(CHAT, 12.0))

    def test_a_stream_that_has_begun_counts_from_its_last_event(self):
        """It was cut in mid-way and waits for a place to go on."""
        self.assertAlmostEqual(107.04, self.until(CHAT, 12.0, heard=105.0))

    def test_other_requests_leave_a_part_of_their_time(self):
        self.assertAlmostEqual(100.42, self.until(ORDER, 0.6))

    def test_a_deadline_that_has_passed_waits_for_nothing(self):
        self.assertEqual(100.0, self.until(ORDER, -5.0))

    @hypothesis.given(TIMES, TIMES, TIMES)
    def test_nobody_waits_beyond_his_deadline(self, came, heard, given):
        for route in (CHAT, ORDER):
            until = patience.until_place(
                route=route, came=came, heard=heard, deadline=came + given
            )
            self.assertLessEqual(until, came + given + 1e-6)


class LeaseTest(unittest.TestCase):
    def test_a_host_that_has_just_started_holds_its_callers(self):
        """All hosts lost power; a leader is there 1.2 s after this one.

        Refused at once, callers come back into the same second and give up.
        """
        until = patience.until_lease(came=100.0, deadline=112.0, fresh=True)
        self.assertGreater(until, 101.2)
        self.assertLess(until, 102.0)

    def test_a_host_that_lost_its_lease_lets_them_go_elsewhere(self):
        until = patience.until_lease(came=100.0, deadline=112.0, fresh=False)
        self.assertLessEqual(until, 100.25)

    def test_short_requests_keep_time_for_another_host(self):
        until = patience.until_lease(came=100.0, deadline=100.6, fresh=True)
        self.assertAlmostEqual(100.3, until)

    def test_an_endless_deadline_does_not_wait_for_ever(self):
        until = patience.until_lease(came=0.0, deadline=math.inf, fresh=True)
        self.assertLess(until, 2.0)


class ComeBackTest(unittest.TestCase):
    def test_the_caller_is_told_when_the_model_is_there(self):
        told = patience.come_back(expected=105.8, now=102.0, usual=0.5)
        self.assertAlmostEqual(3.8, told)

    def test_what_may_come_at_any_moment_is_not_told_as_now(self):
        told = patience.come_back(expected=102.0, now=102.0, usual=0.5)
        self.assertGreater(told, 0.0)

    def test_what_nobody_knows_is_the_usual_time(self):
        for expected in (None, math.inf):
            told = patience.come_back(expected=expected, now=1.0, usual=0.5)
            self.assertEqual(0.5, told)


if __name__ == "__main__":
    unittest.main()
