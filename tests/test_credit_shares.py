"""Tests of team credit: the leader's allocator and the hosts' allowances."""

import unittest

from endivestream import limit_messages
from endivestream.process import credit_allocator as credit_allocator_lib
from endivestream.request import credit_shares as credit_shares_lib
from endivestream.request import repeats
from endivestream.version import document as document_lib
import hypothesis
from hypothesis import strategies as st

RATE = 1000.0
BURST = 1500.0
COST = 100.0
TICK = 0.1
RENEW_TICKS = 3


def team(rate=RATE, burst=BURST):
    return document_lib.Team(
        name="band", keys=("k",), rate=rate, burst=burst, by_tokens=True
    )


class Site:
    """Entry hosts and leaders in virtual time, with lost messages."""

    def __init__(self, hosts):
        self.now = 100.0
        self.allocator = credit_allocator_lib.CreditAllocator()
        self.allocator.set_teams((team(),), self.now, start_full=True)
        self.hosts = {
            f"h{n}": credit_shares_lib.CreditShares() for n in range(hosts)
        }
        self.cut_off_hosts = set()
        # Teams in the last report of each host to the leader.
        self.reported_teams = {}
        self.spending = []
        self.refused_requests = 0

    def replace_leader(self):
        self.allocator = credit_allocator_lib.CreditAllocator()
        self.allocator.set_teams((team(),), self.now, start_full=False)
        self.reported_teams = {}

    def renew(self, host, *, lost=False):
        credit_shares = self.hosts[host]
        needs = credit_shares.needs(self.now)
        if host in self.cut_off_hosts or self.allocator is None:
            return
        reported = {need.team for need in needs}
        self.allocator.clear_teams(
            host, self.reported_teams.get(host, set()) - reported
        )
        self.reported_teams[host] = reported
        grants = [
            self.allocator.handle_report(host, need, self.now) for need in needs
        ]
        if lost:
            return
        credit_shares.record_answer(self.now)
        for grant in grants:
            credit_shares.apply_grant(grant, self.now)

    def request(self, host, cost=COST):
        credit_shares = self.hosts[host]
        credit_shares.record_demand("band", cost)
        if credit_shares.spend("band", cost, self.now):
            self.spending.append((self.now, cost))
            return
        if host not in self.cut_off_hosts and self.allocator is not None:
            balance = credit_shares.balance("band")
            need = limit_messages.Need("band", 0.0, balance, cost)
            credit_shares.apply_grant(
                self.allocator.request_credit(host, need, self.now), self.now
            )
            if credit_shares.spend("band", cost, self.now):
                self.spending.append((self.now, cost))
                return
        self.refused_requests += 1

    def max_spent_in(self, window):
        """Returns the maximum credit spent in any window of this length."""
        max_credit = 0.0
        for start, _ in self.spending:
            credit = sum(
                c for t, c in self.spending if start <= t < start + window
            )
            max_credit = max(max_credit, credit)
        return max_credit


class IdleTeamTest(unittest.TestCase):
    """Tests of teams without recent requests on a host."""

    def setUp(self):
        self.site = Site(2)
        for _ in range(5):
            self._renew(1)
        self.site.request("h0")
        self._renew(1)

    def _renew(self, times):
        for _ in range(times):
            self.site.now += 0.3
            self.site.renew("h0")

    def test_a_team_without_recent_requests_is_not_reported(self):
        """Guards against renewals that contain every team of the site."""
        credit_shares = self.site.hosts["h0"]
        self.assertEqual(len(credit_shares.needs(self.site.now)), 1)
        self._renew(40)
        self.assertEqual(credit_shares.needs(self.site.now), ())

    def test_the_credit_of_an_idle_team_is_returned(self):
        """Guards against unused credit that stays on a host."""
        self._renew(40)
        self.assertEqual(self.site.hosts["h0"].balance("band"), 0.0)
        self.assertEqual(self.site.allocator.levels["band"], BURST)

    def test_a_host_keeps_no_share_of_a_team_it_stopped_reporting(self):
        """Guards against a lost last report reducing other hosts' credit."""
        need = limit_messages.Need("band", 0.0, 0.0, 2 * BURST)
        self.site.allocator.handle_report("h0", need, self.site.now)
        shared_max = self.site.allocator.handle_report(
            "h1", need, self.site.now
        ).max_balance
        self.site.cut_off_hosts.add("h0")
        self._renew(40)
        self.site.cut_off_hosts.clear()
        self._renew(1)
        full_max = self.site.allocator.handle_report(
            "h1", need, self.site.now
        ).max_balance
        self.assertGreater(full_max, 1.9 * shared_max)

    def test_a_late_grant_does_not_keep_an_idle_team_reported(self):
        """Guards against a grant that arrives after the team was dropped."""
        self._renew(40)
        credit_shares = self.site.hosts["h0"]
        grant = limit_messages.Grant("band", 10.0, 0.0, 0.0)
        credit_shares.apply_grant(grant, self.site.now)
        self._renew(40)
        self.assertEqual(credit_shares.needs(self.site.now), ())


class ReservationQueueTest(unittest.TestCase):
    def setUp(self):
        self.allocator = credit_allocator_lib.CreditAllocator()
        self.allocator.set_teams((team(),), 0.0, start_full=False)

    def request_credit(
        self,
        now,
        *,
        timely_within=0.2,
        max_wait_seconds=2.0,
        cost=COST,
        host="h0",
    ):
        need = limit_messages.Need("band", 0.0, 0.0, cost)
        return self.allocator.request_credit(
            host,
            need,
            now,
            timely_within=timely_within,
            max_wait_seconds=max_wait_seconds,
        )

    def report(self, demand, now=0.0):
        wanted = demand * credit_shares_lib.CREDIT_AHEAD_SECONDS
        need = limit_messages.Need("band", 0.0, 0.0, wanted)
        self.allocator.handle_report("h1", need, now)

    def test_a_backlog_after_an_outage_is_served_in_order(self):
        """Guards against refusals of a backlog that the rate covers.

        The requests of three seconds arrive in a burst at a leader without
        credit; the rate covers them within two seconds. Each is reserved a
        moment of its own. Otherwise all would receive the same short retry
        time, retry together, and all but the first would be refused finally.
        """
        self.report(RATE / 2)
        grants = [self.request_credit(0.0) for _ in range(15)]
        self.assertEqual([COST] * 15, [g.credit for g in grants])
        delays = [grant.usable_in for grant in grants]
        self.assertEqual(sorted(set(delays)), delays)
        self.assertLessEqual(15 * COST / RATE, delays[-1])
        self.assertLessEqual(delays[-1], 2.0)
        # A later request waits behind them.
        self.assertGreater(0.5 + self.request_credit(0.5).usable_in, delays[-1])

    def test_reserved_credit_is_granted_only_once(self):
        """Guards against granting reserved credit to hosts that report."""
        self.report(RATE / 2)
        reserved = [self.request_credit(0.0) for _ in range(5)]
        self.assertEqual(5, sum(g.usable_in > 0 for g in reserved))
        need = limit_messages.Need("band", 0.0, 0.0, RATE)
        for now in (0.1, 0.3, 0.49):
            self.assertEqual(
                0.0, self.allocator.handle_report("h2", need, now).credit
            )
        self.assertGreater(
            self.allocator.handle_report("h2", need, 0.9).credit, 0.0
        )

    def test_a_team_over_its_rate_has_a_short_reservation_queue(self):
        """Guards against late answers when a team exceeds its rate.

        The team requests six times its rate. A reservation queue of two seconds
        would always be full, and every answer of the team late. The queue holds
        only requests that can be answered in time. The others are refused
        immediately, each with a later retry time than the one before.
        """
        self.report(6 * RATE)
        grants = [self.request_credit(0.0) for _ in range(12)]
        reserved = [g for g in grants if g.credit]
        refused = [g for g in grants if not g.credit]
        self.assertTrue(reserved)
        self.assertLessEqual(len(reserved) * COST, 0.2 * RATE)
        self.assertLessEqual(max(g.usable_in for g in reserved), 0.2)
        retry_after = [g.retry_after for g in refused]
        self.assertEqual(sorted(set(retry_after)), retry_after)
        self.assertTrue(all(g.available_in > 0 for g in refused))

    def test_small_requests_are_served_while_large_ones_use_up_the_rate(self):
        """Guards against refusing small requests behind large ones.

        Large requests for six times the rate arrive first and keep the
        reservation queue full; a small request costs a tenth of one. Together
        the small requests are a twentieth of the rate, but the large ones leave
        too little credit for any of them.
        """
        self.report(6 * RATE)
        small_grants = []
        for tick in range(100):
            now = 1.0 + tick * 0.01
            for _ in range(2):
                self.request_credit(now, timely_within=0.2)
            if tick % 20 == 0:
                small_grants.append(
                    self.request_credit(now, timely_within=0.05, cost=COST / 10)
                )
        self.assertEqual([COST / 10] * 5, [g.credit for g in small_grants])
        self.assertLess(max(g.usable_in for g in small_grants), 0.01)

    def test_credit_for_small_requests_is_no_extra_credit(self):
        """Guards against granting the reserved credit on top of the burst."""
        allocator = credit_allocator_lib.CreditAllocator()
        allocator.set_teams((team(),), 0.0, start_full=True)
        granted = 0.0
        for tick in range(100):
            now = tick * 0.01
            for cost in (COST, COST / 10, COST / 10):
                need = limit_messages.Need("band", 0.0, 0.0, cost)
                grant = allocator.request_credit("h0", need, now)
                granted += grant.credit
                completed = need._replace(wanted=0.0)
                allocator.handle_report("h0", completed, now)
        self.assertLessEqual(granted, BURST + RATE * 1.0)

    @hypothesis.given(
        st.lists(
            st.tuples(
                st.floats(0.0, 0.5),
                st.floats(1.0, 3 * COST),
                st.floats(0.0, 3.0),
            ),
            max_size=60,
        )
    )
    def test_no_window_of_reservations_exceeds_rate_and_burst(self, requests):
        """Guards against reservations that the refill does not cover."""
        allocator = credit_allocator_lib.CreditAllocator()
        allocator.set_teams((team(),), 0.0, start_full=True)
        now, grants = 0.0, []
        for pause, cost, patience in requests:
            now += pause
            need = limit_messages.Need("band", 0.0, 0.0, cost)
            grant = allocator.request_credit(
                "h0", need, now, timely_within=0.0, max_wait_seconds=patience
            )
            grants.append((now + grant.usable_in, grant.credit))
            allocator.handle_report("h0", need._replace(wanted=0.0), now)
        grants.sort()
        for start, _ in grants:
            for end, _ in grants:
                granted = sum(c for at, c in grants if start <= at <= end)
                allowed = RATE * max(0.0, end - start) + BURST + 1e-6
                self.assertLessEqual(granted, allowed)


class CreditShareTest(unittest.TestCase):
    @hypothesis.given(st.data())
    @hypothesis.settings(max_examples=60)
    def test_no_window_grants_more_than_rate_and_burst(self, data):
        """Guards against granting more than rate and burst in a window.

        Hosts and leaders are replaced, and answers are lost, while a team
        requests far more than its rate. Only after the loss of a leader may
        hosts spend more: their share of the rate for a bounded time.
        """
        site = Site(hosts=4)
        leader_changes = 0
        for tick in range(data.draw(st.integers(20, 120))):
            site.now += TICK
            event = data.draw(
                st.sampled_from(["none"] * 12 + ["lead", "host", "lost"])
            )
            if event == "lead":
                site.replace_leader()
                leader_changes += 1
            if event == "host":
                name = data.draw(st.sampled_from(sorted(site.hosts)))
                site.hosts[name] = credit_shares_lib.CreditShares()
                site.allocator.remove_host(name)
            for position, name in enumerate(sorted(site.hosts)):
                if (tick + position) % RENEW_TICKS == 0:
                    lost = event == "lost" and position == 0
                    site.renew(name, lost=lost)
                for _ in range(data.draw(st.integers(0, 3))):
                    site.request(name)
        for window in (1.0, 4.0, 8.0):
            self.assertLessEqual(
                site.max_spent_in(window), RATE * window + BURST + COST
            )

    def test_a_team_inside_its_rate_is_not_refused(self):
        """Guards against refusals caused by the division of a rate among hosts.

        Requests arrive at hosts unevenly, at four fifths of the rate. A host
        without credit requests some from the leader.
        """
        site = Site(hosts=8)
        for tick in range(600):
            site.now += TICK
            for position, name in enumerate(sorted(site.hosts)):
                if (tick + position) % RENEW_TICKS == 0:
                    site.renew(name)
            if tick % 10 < 8:
                site.request(f"h{tick * tick % 8}")
        self.assertEqual(site.refused_requests, 0)

    def test_a_burst_of_a_few_requests_is_not_held_by_idle_hosts(self):
        """Guards against refusals because idle hosts hold the credit.

        The burst covers seven requests, fewer than there are hosts; one request
        in eight is three times as large. At three fifths of the rate each host
        wants credit for the largest request, which in total exceeds the burst.
        """
        site = Site(hosts=8)
        site.allocator.set_teams(
            (team(RATE, 7 * COST),), site.now, start_full=True
        )
        for tick in range(600):
            site.now += TICK
            for position, name in enumerate(sorted(site.hosts)):
                if (tick + position) % RENEW_TICKS == 0:
                    site.renew(name)
            cost = 3 * COST if tick % 8 == 3 else COST
            if tick % 2:
                site.request(f"h{tick * tick % 7}", cost)
        self.assertEqual(site.refused_requests, 0)

    def test_hosts_continue_without_a_leader(self):
        """Guards against refusals of teams within their rate after a failure.

        No leader answers for two seconds; each host spends its share of the
        rate.
        """
        site = Site(hosts=4)
        for tick in range(150):
            site.now += TICK
            if tick == 100:
                site.allocator = None
            if tick == 120:
                site.replace_leader()
            for position, name in enumerate(sorted(site.hosts)):
                if (tick + position) % RENEW_TICKS == 0:
                    site.renew(name)
            if tick % 2:
                site.request(f"h{tick // 2 % 4}")
        self.assertEqual(site.refused_requests, 0)

    def test_a_host_without_a_leader_stops_spending(self):
        """Guards against granting a team's rate twice when a host is cut off.

        The host reaches no leader for a long time and stops spending its share
        of the rate.
        """
        site = Site(hosts=2)
        for _ in range(60):
            site.now += TICK
            for name in site.hosts:
                site.renew(name)
                site.request(name)
        site.cut_off_hosts.add("h0")
        site.spending = []
        for _ in range(200):
            site.now += TICK
            site.request("h0")
        self.assertLessEqual(sum(c for _, c in site.spending), BURST + 4 * RATE)
        self.assertGreater(site.now - site.spending[-1][0], 10.0)

    def test_a_lowered_rate_is_enforced(self):
        """Guards against a lower limit that hosts exceed with older credit."""
        site = Site(hosts=2)
        for _ in range(60):
            site.now += TICK
            for name in site.hosts:
                site.renew(name)
                for _ in range(3):
                    site.request(name)
        site.allocator.set_teams(
            (team(100.0, 100.0),), site.now, start_full=True
        )
        held = sum(a.balance("band") for a in site.hosts.values())
        site.spending = []
        for _ in range(80):
            site.now += TICK
            for name in site.hosts:
                site.renew(name)
                for _ in range(3):
                    site.request(name)
        self.assertLessEqual(
            site.max_spent_in(8.0), held + 100.0 * 8 + 100.0 + COST
        )

    def test_a_new_leader_grants_no_burst(self):
        """Guards against granting credit twice across an election.

        Credit that the previous leader granted may still be spent.
        """
        allocator = credit_allocator_lib.CreditAllocator()
        allocator.set_teams((team(),), 0.0, start_full=False)
        need = limit_messages.Need("band", 0.0, 0.0, COST)
        grant = allocator.request_credit("h0", need, 0.0)
        self.assertEqual(grant.credit, 0.0)
        self.assertAlmostEqual(grant.available_in, COST / RATE)

    def test_credit_held_by_hosts_counts_as_part_of_the_bucket(self):
        """Guards against granting an idle team its burst and credit shares.

        A host takes a credit share; the bucket is not filled up beyond the rest
        of the burst.
        """
        allocator = credit_allocator_lib.CreditAllocator()
        allocator.set_teams((team(),), 0.0, start_full=True)
        allocator.handle_report(
            "h0", limit_messages.Need("band", 0, 0, 700.0), 0.0
        )
        allocator.handle_report(
            "h0", limit_messages.Need("band", 0, 700.0, 700.0), 60.0
        )
        self.assertLessEqual(allocator.levels["band"], BURST - 700.0)


class RetryBudgetTest(unittest.TestCase):
    def test_a_new_process_has_no_fixed_allowance(self):
        """Guards against exceeding the allowed retries by restarts."""
        budget = repeats.RepeatBudget(
            ratio=0.2, window=10.0, slack=100.0, now=0.0
        )
        self.assertFalse(budget.spend(1.0))
        for _ in range(20):
            budget.record_arrival(1.0)
        self.assertTrue(budget.spend(1.0))

    def test_one_of_many_hosts_may_exceed_its_equal_share(self):
        """Guards against refusing retries while other hosts have some left."""
        budget = repeats.RepeatBudget(
            ratio=0.2, window=10.0, slack=422.0, now=0.0
        )
        budget.set_hosts(191)
        shared = repeats.SharedRepeatBudget(window=10.0, slack=422.0, now=0.0)
        granted = sum(
            budget.spend(20.0) or shared.spend(20.0, hosts=191)
            for _ in range(100)
        )
        self.assertEqual(granted, 100)

    def test_a_new_leader_grants_no_retries_for_a_full_window(self):
        """Guards against granting the allowance of one window twice."""
        shared = repeats.SharedRepeatBudget(window=10.0, slack=422.0, now=0.0)
        self.assertFalse(shared.spend(9.9, hosts=191))
        self.assertTrue(shared.spend(10.1, hosts=191))

    @hypothesis.given(
        st.integers(1, 400),
        st.floats(0.0, 1000.0),
        st.lists(
            st.tuples(st.floats(0.0, 4.0), st.integers(1, 60), st.booleans()),
            max_size=30,
        ),
    )
    def test_hosts_and_successive_leaders_stay_within_slack(
        self, hosts, slack, steps
    ):
        """Guards against exceeding the fixed number of retries.

        Each host spends its own share, and successive leaders grant the rest.
        """
        now, spent = 0.0, []
        budgets = [
            repeats.RepeatBudget(ratio=0.0, window=10.0, slack=slack, now=now)
            for _ in range(hosts)
        ]
        for budget in budgets:
            budget.set_hosts(hosts)
        shared = repeats.SharedRepeatBudget(window=10.0, slack=slack, now=now)
        now = 11.0
        for pause, retries, new_leader in steps:
            now += pause
            if new_leader:
                shared = repeats.SharedRepeatBudget(
                    window=10.0, slack=slack, now=now
                )
            for number in range(retries):
                budget = budgets[number % hosts]
                if budget.spend(now) or shared.spend(now, hosts=hosts):
                    spent.append(now)
        for start in spent:
            within = sum(start <= at <= start + 10.0 for at in spent)
            self.assertLessEqual(within, slack)

    def test_all_hosts_together_stay_within_the_budget(self):
        """Guards against a budget that grows with the number of hosts."""
        granted = 0
        for _ in range(5):
            budget = repeats.RepeatBudget(
                ratio=0.2, window=10.0, slack=50.0, now=0.0
            )
            budget.set_hosts(5)
            for tick in range(200):
                budget.record_arrival(10 + tick * 0.05)
                granted += budget.spend(10 + tick * 0.05)
                granted += budget.spend(10 + tick * 0.05)
        self.assertLessEqual(granted, 0.2 * 1000 + 50)
