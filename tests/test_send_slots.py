import unittest

from endivestream.request import send_slots
import hypothesis
from hypothesis import strategies as st


def take(slots, now, *, rate=1.5, hosts=8, patience=1.0, born=1):
    return slots.take("t1", born, rate, hosts=hosts, patience=patience, now=now)


def granted(slots, now, **fields):
    """Returns when a send may be made; None if it is denied."""
    match take(slots, now, **fields):
        case send_slots.Granted(wait=wait):
            return now + wait
    return None


def most_in_window(times, seconds=4.0):
    times = sorted(times)
    return max(
        (
            sum(start <= time < start + seconds for time in times)
            for start in times
        ),
        default=0,
    )


class SendSlotsTest(unittest.TestCase):
    def test_sends_are_granted_at_the_rate(self):
        slots = send_slots.SendSlots(now=0.0)
        times = [granted(slots, 10.0 + n / 50) for n in range(1000)]
        times = [time for time in times if time is not None]
        self.assertLessEqual(len(times), 1.5 * 21 + 2)
        self.assertGreaterEqual(len(times), 1.5 * 20)

    def test_a_denied_host_gets_a_send_at_its_retry_time(self):
        slots = send_slots.SendSlots(now=0.0)
        while granted(slots, 10.0) is not None:
            pass
        seconds = take(slots, 10.0).seconds
        self.assertIsNotNone(granted(slots, 10.0 + seconds))

    def test_hosts_denied_together_get_different_retry_times(self):
        """Guards against hundreds of hosts that request simultaneously."""
        slots = send_slots.SendSlots(now=0.0)
        retry_seconds = [
            denied.seconds
            for denied in (take(slots, 10.0, patience=0.1) for _ in range(8))
            if isinstance(denied, send_slots.Denied)
        ]
        self.assertEqual(len(retry_seconds), len(set(retry_seconds)))

    def test_a_new_leader_grants_no_send_that_the_previous_one_granted(self):
        """Guards against sends of two leaders in the same second."""
        slots = send_slots.SendSlots(now=10.0)
        self.assertIsNone(granted(slots, 10.1, patience=0.5))
        first = granted(slots, 10.5)
        self.assertGreaterEqual(first, 10.0 + send_slots.GRANT_AHEAD_SECONDS)

    def test_a_target_with_a_limit_of_zero_is_still_tried(self):
        """Guards against a limit of zero whose end no host notices."""
        slots = send_slots.SendSlots(now=0.0)
        times = [granted(slots, 10.0 + n / 10, rate=0.0) for n in range(600)]
        count = sum(time is not None for time in times)
        self.assertTrue(5 <= count <= 11, count)

    def test_a_raised_limit_is_used_within_its_first_second(self):
        slots = send_slots.SendSlots(now=0.0)
        for n in range(10):
            granted(slots, 10.0 + n / 10, rate=0.0)
        self.assertIsNotNone(granted(slots, 11.1, rate=50.0))

    def test_a_restarted_target_gets_a_new_schedule(self):
        slots = send_slots.SendSlots(now=0.0)
        while granted(slots, 10.0) is not None:
            pass
        self.assertIsNotNone(granted(slots, 10.0, born=2))

    def test_sends_without_a_grant_are_counted(self):
        """Guards against placement orders in excess of a target's limit."""
        slots = send_slots.SendSlots(now=0.0)
        for _ in range(8):
            slots.count_send("t1", 1, 1.5, 10.0)
        self.assertIsNone(granted(slots, 10.0))

    def test_a_large_limit_costs_no_messages(self):
        """Guards against a message to the leader for each request."""
        share = send_slots.HostShare()
        sent = sum(share.spend(1e6, 390, n / 100) for n in range(1000))
        self.assertEqual(sent, 1000)

    def test_a_host_without_the_number_of_hosts_has_no_share(self):
        """Guards against hosts that each use the limit as the only host."""
        self.assertFalse(send_slots.HostShare().spend(1e6, 0, 1.0))

    def test_the_limit_holds_when_hosts_and_leader_count_differently(self):
        """Guards against a leader that grants the hosts' own share again."""
        rate, seconds = 20.0, 4.0
        slots = send_slots.SendSlots(now=0.0)
        shares = [send_slots.HostShare() for _ in range(10)]
        sent = 0
        for step in range(int(seconds * 500)):
            now = 10.0 + step / 500
            sent += sum(share.spend(rate, 10, now) for share in shares)
            sent += granted(slots, now, rate=rate, hosts=13) is not None
        self.assertLessEqual(sent, 1.5 * rate * seconds + 5)

    def test_hosts_have_no_share_of_a_small_limit(self):
        """Guards against hundreds of first sends at the same time."""
        for rate, hosts in ((1.5, 2), (7.0, 4), (100.0, 390)):
            self.assertFalse(send_slots.HostShare().spend(rate, hosts, 1.0))

    # Guards against more sends in a window than the limit permits. Hosts
    # request sends at any time, leaders are replaced, and sends are late.
    @hypothesis.given(
        rate=st.sampled_from([0.0, 0.3, 1.5, 2.7, 12.0, 60.0, 400.0]),
        hosts=st.integers(1, 120),
        asks=st.lists(st.floats(0.0, 12.0), max_size=600),
        lost=st.lists(st.floats(1.0, 12.0), max_size=3),
        late=st.lists(st.floats(0.0, 0.45), min_size=1, max_size=7),
    )
    @hypothesis.settings(max_examples=150)
    def test_no_window_holds_more_than_promised(
        self, rate, hosts, asks, lost, late
    ):
        """Hosts ask at any time, leaders are lost, and sends are late."""
        shares = [send_slots.HostShare() for _ in range(hosts)]
        slots = send_slots.SendSlots(now=0.0)
        losses = sorted(lost)
        sent = []
        for number, now in enumerate(sorted(asks)):
            while losses and losses[0] <= now:
                slots = send_slots.SendSlots(now=losses.pop(0))
            delay = late[number % len(late)]
            if shares[number % hosts].spend(rate, hosts, now):
                sent.append(now + delay)
                continue
            when = granted(slots, now, rate=rate, hosts=hosts)
            if when is not None:
                sent.append(when + delay)
        self.assertLessEqual(most_in_window(sent), 1.5 * rate * 4 + 5)


if __name__ == "__main__":
    unittest.main()
