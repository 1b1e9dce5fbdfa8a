import unittest
import uuid

from endivestream.version import calls
import hypothesis
from hypothesis import strategies as st

DAY = calls.RECORD_LIFETIME_SECONDS
T0 = 1_790_000_000.0


def _hours(count):
    return count * 3600.0


def _begin(key, *, holder="h/1/a", fingerprint="f", at=T0):
    return calls.ClaimCall(
        team="t",
        service="s",
        key=key,
        fingerprint=fingerprint,
        holder=holder,
        at=at,
    )


def _end(key, outcome, *, holder="h/1/a", body=b""):
    return calls.CompleteCall(
        team="t",
        service="s",
        key=key,
        holder=holder,
        outcome=outcome,
        status=200,
        body=body,
    )


class CallsTest(unittest.TestCase):
    def setUp(self):
        self.calls = calls.Calls()

    def test_abandoned_call_is_unknown_until_its_response_arrives(self):
        """A late response of an abandoned call would be lost.

        The holder's host is considered failed and its calls are abandoned.
        It was only unreachable, and its response arrives later.
        """
        self.calls.apply(_begin("k"))
        self.calls.apply(calls.AbandonCalls(host="h", first_live_incarnation=2))
        repeated = self.calls.apply(_begin("k", holder="g/1/b"))
        self.assertEqual(repeated.record.state, "unknown")
        self.calls.apply(_end("k", "done", body=b"yes"))
        repeated = self.calls.apply(_begin("k", holder="g/1/b"))
        self.assertEqual(repeated.record.body, b"yes")

    def test_abandoned_call_is_not_released_by_not_run(self):
        """A `not_run` after `unknown` would let a retry run the call again.

        A holder that reconnects late may be certain that it sent nothing, but
        a retry has already received `unknown`; that result is final.
        """
        self.calls.apply(_begin("k"))
        self.calls.apply(calls.AbandonCalls(host="h", first_live_incarnation=2))
        self.calls.apply(_end("k", "not_run"))
        repeated = self.calls.apply(_begin("k", holder="g/1/b"))
        self.assertEqual(repeated.record.state, "unknown")

    def test_index_of_running_calls_matches_the_records(self):
        """Calls would not be abandoned, or would be listed as running for ever.

        The index of running calls must follow begin, restore, abandon and end.
        """
        for number, host in enumerate("ghg"):
            self.calls.apply(_begin(f"k{number}", holder=f"{host}/1/{number}"))
        self.assertEqual(
            set(self.calls.running_processes), {("g", 1), ("h", 1)}
        )
        other = calls.Calls()
        other.restore(self.calls.snapshot())
        other.apply(calls.AbandonCalls(host="g", first_live_incarnation=2))
        self.assertEqual(set(other.running_processes), {("h", 1)})
        other.apply(_end("k1", "done", holder="h/1/1"))
        self.assertEqual(list(other.running_processes), [])

    def test_key_time_parses_keys_that_carry_a_time(self):
        """A timed key would be treated as opaque, or an opaque one as timed."""
        self.assertEqual(calls.key_time("1790000000-abc"), T0)
        milliseconds = int(T0 * 1000)
        raw = (milliseconds << 80) | (7 << 76) | (2 << 62)
        self.assertEqual(calls.key_time(str(uuid.UUID(int=raw))), T0)
        self.assertIsNone(calls.key_time("order-17"))
        self.assertIsNone(calls.key_time(str(uuid.uuid4())))

    @hypothesis.given(
        made=st.integers(-48, 48).map(_hours),
        timed=st.booleans(),
        expiries=st.lists(st.integers(0, 96).map(_hours), max_size=4),
        resend=st.integers(0, 96).map(_hours),
    )
    @hypothesis.settings(max_examples=400)
    def test_no_key_runs_again_after_its_record_is_forgotten(
        self, made, timed, expiries, resend
    ):
        """A resend days later is refused, never run.

        Records are forgotten after a day. A key that carries its time is too
        old by then; one that carries none, or a time ahead of the clock, is
        remembered by its digest.
        """
        state = calls.Calls()
        key = f"{int(T0 + made)}-x" if timed else "opaque"
        first = state.apply(_begin(key))
        hypothesis.assume(isinstance(first, calls.CallStarted))
        state.apply(_end(key, "done"))
        for after in sorted(expiries):
            if after <= resend:
                state.apply(calls.ExpireCalls(now=T0 + after))
        again = state.apply(_begin(key, holder="g/1/b", at=T0 + resend))
        self.assertNotIsInstance(again, calls.CallStarted)

    def test_opaque_keys_above_the_limit_are_rejected(self):
        """The replicated state would grow without bound.

        Digests of opaque keys are never removed, so their number is limited.
        """
        self.calls.apply(_begin("seen"))
        self.calls.apply(_end("seen", "done"))
        self.calls.apply(calls.ExpireCalls(now=T0 + 2 * DAY))
        original, calls.MAX_OPAQUE_KEYS = calls.MAX_OPAQUE_KEYS, 1
        self.addCleanup(setattr, calls, "MAX_OPAQUE_KEYS", original)
        rejected = self.calls.apply(_begin("new", at=T0 + 2 * DAY))
        self.assertEqual(rejected.reason, "too_many_opaque_keys")
