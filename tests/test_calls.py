import unittest
import uuid

from endivestream.version import calls
import hypothesis
from hypothesis import strategies as st

DAY = calls.LIFETIME_SECONDS
T0 = 1_790_000_000.0


def _hours(count):
    return count * 3600.0


def _begin(key, *, holder="h/1/a", fingerprint="f", at=T0):
    return calls.BeginCall(
        team="t",
        service="s",
        key=key,
        fingerprint=fingerprint,
        holder=holder,
        at=at,
    )


def _end(key, outcome, *, holder="h/1/a", body=b""):
    return calls.EndCall(
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

    def test_abandoned_call_is_unknown_until_its_answer_comes(self):
        """A resend is told "unknown", and later gets the answer.

        The holder's host is thought dead and its calls are abandoned; it was
        only cut off, and its answer arrives after all.
        """
        self.calls.apply(_begin("k"))
        self.calls.apply(calls.AbandonCalls(host="h", before=2))
        known = self.calls.apply(_begin("k", holder="g/1/b"))
        self.assertEqual(known.record.state, "unknown")
        self.calls.apply(_end("k", "done", body=b"yes"))
        known = self.calls.apply(_begin("k", holder="g/1/b"))
        self.assertEqual(known.record.body, b"yes")

    def test_abandoned_call_cannot_be_freed(self):
        """A "not run" after "unknown" would let a resend run it again.

        A holder that comes back late may prove that it sent nothing, but the
        resend was told "unknown" meanwhile; that answer stays.
        """
        self.calls.apply(_begin("k"))
        self.calls.apply(calls.AbandonCalls(host="h", before=2))
        self.calls.apply(_end("k", "not_run"))
        known = self.calls.apply(_begin("k", holder="g/1/b"))
        self.assertEqual(known.record.state, "unknown")

    def test_index_of_running_calls_follows_the_records(self):
        for number, host in enumerate("ghg"):
            self.calls.apply(_begin(f"k{number}", holder=f"{host}/1/{number}"))
        self.assertEqual(set(self.calls.running_hosts), {("g", 1), ("h", 1)})
        other = calls.Calls()
        other.restore(self.calls.snapshot())
        other.apply(calls.AbandonCalls(host="g", before=2))
        self.assertEqual(set(other.running_hosts), {("h", 1)})
        other.apply(_end("k1", "done", holder="h/1/1"))
        self.assertEqual(list(other.running_hosts), [])

    def test_time_of_reads_the_keys_that_carry_one(self):
        self.assertEqual(calls.time_of("1790000000-abc"), T0)
        milliseconds = int(T0 * 1000)
        raw = (milliseconds << 80) | (7 << 76) | (2 << 62)
        self.assertEqual(calls.time_of(str(uuid.UUID(int=raw))), T0)
        self.assertIsNone(calls.time_of("order-17"))
        self.assertIsNone(calls.time_of(str(uuid.uuid4())))

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
        hypothesis.assume(isinstance(first, calls.Begun))
        state.apply(_end(key, "done"))
        for after in sorted(expiries):
            if after <= resend:
                state.apply(calls.ExpireCalls(now=T0 + after))
        again = state.apply(_begin(key, holder="g/1/b", at=T0 + resend))
        self.assertNotIsInstance(again, calls.Begun)

    def test_too_many_opaque_keys_are_refused_as_not_run(self):
        self.calls.apply(_begin("seen"))
        self.calls.apply(_end("seen", "done"))
        self.calls.apply(calls.ExpireCalls(now=T0 + 2 * DAY))
        most, calls.OPAQUE_KEYS_KEPT = calls.OPAQUE_KEYS_KEPT, 1
        self.addCleanup(setattr, calls, "OPAQUE_KEYS_KEPT", most)
        answer = self.calls.apply(_begin("new", at=T0 + 2 * DAY))
        self.assertEqual(answer.reason, "too_many_opaque_keys")
