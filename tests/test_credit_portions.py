"""Teams' credit given out in portions: the leader's bank, hosts' allowances."""

import unittest

from endivestream import site_messages
from endivestream.process import credit_allocator as credit_allocator_lib
from endivestream.request import allowance as allowance_lib
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
    """Entry hosts and leaders in virtual time, with messages that get lost."""

    def __init__(self, hosts):
        self.now = 100.0
        self.bank = credit_allocator_lib.CreditAllocator()
        self.bank.set_teams((team(),), self.now, full=True)
        self.hosts = {f"h{n}": allowance_lib.Allowance() for n in range(hosts)}
        self.cut = set()
        # Teams that each host named in its last report to the leader.
        self.named = {}
        self.spent = []
        self.refused = 0

    def lead_anew(self):
        self.bank = credit_allocator_lib.CreditAllocator()
        self.bank.set_teams((team(),), self.now, full=False)
        self.named = {}

    def renew(self, host, *, lost=False):
        allowance = self.hosts[host]
        needs = allowance.needs(self.now)
        if host in self.cut or self.bank is None:
            return
        named = {need.team for need in needs}
        self.bank.clear_teams(host, self.named.get(host, set()) - named)
        self.named[host] = named
        grants = [self.bank.report(host, need, self.now) for need in needs]
        if lost:
            return
        allowance.heard_leader(self.now)
        for grant in grants:
            allowance.take(grant, self.now)

    def request(self, host, cost=COST):
        allowance = self.hosts[host]
        allowance.ask("band", cost)
        if allowance.spend("band", cost, self.now):
            self.spent.append((self.now, cost))
            return
        if host not in self.cut and self.bank is not None:
            balance = allowance.balance("band")
            need = site_messages.Need("band", 0.0, balance, cost)
            allowance.take(self.bank.ask(host, need, self.now), self.now)
            if allowance.spend("band", cost, self.now):
                self.spent.append((self.now, cost))
                return
        self.refused += 1

    def most_in(self, window):
        """The most that any window of so many seconds was given."""
        most = 0.0
        for start, _ in self.spent:
            given = sum(c for t, c in self.spent if start <= t < start + window)
            most = max(most, given)
        return most


class IdleTeamTest(unittest.TestCase):
    """Teams without recent requests on a host."""

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

    def test_a_team_that_is_no_longer_asked_for_is_not_reported(self):
        """Guards against renewals that name every team of the site."""
        allowance = self.site.hosts["h0"]
        self.assertEqual(len(allowance.needs(self.site.now)), 1)
        self._renew(40)
        self.assertEqual(allowance.needs(self.site.now), ())

    def test_the_credit_of_an_idle_team_is_returned(self):
        """Guards against unused credit that stays on a host."""
        self._renew(40)
        self.assertEqual(self.site.hosts["h0"].balance("band"), 0.0)
        self.assertEqual(self.site.bank.levels["band"], BURST)

    def test_a_host_keeps_no_share_of_a_team_it_stopped_reporting(self):
        """Guards against a lost last report reducing other hosts' credit."""
        need = site_messages.Need("band", 0.0, 0.0, 2 * BURST)
        self.site.bank.report("h0", need, self.site.now)
        shared = self.site.bank.report("h1", need, self.site.now).most
        self.site.cut.add("h0")
        self._renew(40)
        self.site.cut.clear()
        self._renew(1)
        whole = self.site.bank.report("h1", need, self.site.now).most
        self.assertGreater(whole, 1.9 * shared)

    def test_a_late_grant_does_not_keep_an_idle_team_reported(self):
        """Guards against a grant that arrives after the team was dropped."""
        self._renew(40)
        allowance = self.site.hosts["h0"]
        grant = site_messages.Grant("band", 10.0, 0.0, 0.0)
        allowance.take(grant, self.site.now)
        self._renew(40)
        self.assertEqual(allowance.needs(self.site.now), ())


class LineTest(unittest.TestCase):
    def setUp(self):
        self.bank = credit_allocator_lib.CreditAllocator()
        self.bank.set_teams((team(),), 0.0, full=False)

    def ask(self, now, *, soon=0.2, patience=2.0, cost=COST, host="h0"):
        need = site_messages.Need("band", 0.0, 0.0, cost)
        return self.bank.ask(host, need, now, soon=soon, patience=patience)

    def report(self, demand, now=0.0):
        wanted = demand * allowance_lib.AHEAD_SECONDS
        need = site_messages.Need("band", 0.0, 0.0, wanted)
        self.bank.report("h1", need, now)

    def test_a_backlog_after_an_outage_is_served_in_its_turn(self):
        """Callers of three seconds come at once, to a leader without credit.

        The rate covers them within two seconds. Each is promised a moment of
        its own; without that all are told the same short time, come back
        together, and all but the first are refused for good.
        """
        self.report(RATE / 2)
        grants = [self.ask(0.0) for _ in range(15)]
        self.assertEqual([COST] * 15, [g.credit for g in grants])
        moments = [grant.after for grant in grants]
        self.assertEqual(sorted(set(moments)), moments)
        self.assertLessEqual(15 * COST / RATE, moments[-1])
        self.assertLessEqual(moments[-1], 2.0)
        # Whoever asks later waits behind them.
        self.assertGreater(0.5 + self.ask(0.5).after, moments[-1])

    def test_a_promise_is_never_given_twice(self):
        """Hosts that report meanwhile get nothing of what was promised."""
        self.report(RATE / 2)
        promised = [self.ask(0.0) for _ in range(5)]
        self.assertEqual(5, sum(g.after > 0 for g in promised))
        need = site_messages.Need("band", 0.0, 0.0, RATE)
        for now in (0.1, 0.3, 0.49):
            self.assertEqual(0.0, self.bank.report("h2", need, now).credit)
        self.assertGreater(self.bank.report("h2", need, 0.9).credit, 0.0)

    def test_a_surge_of_one_team_keeps_a_short_line(self):
        """A team asks for six times its rate; nobody waits until he is late.

        A line of two seconds would be full all the time, and every answer of
        the team late. It holds what can still be in time; the others are
        refused at once, each told a later time than the one before.
        """
        self.report(6 * RATE)
        grants = [self.ask(0.0) for _ in range(12)]
        given = [g for g in grants if g.credit]
        refused = [g for g in grants if not g.credit]
        self.assertTrue(given)
        self.assertLessEqual(len(given) * COST, 0.2 * RATE)
        self.assertLessEqual(max(g.after for g in given), 0.2)
        told = [g.told for g in refused]
        self.assertEqual(sorted(set(told)), told)
        self.assertTrue(all(g.short > 0 for g in refused))

    def test_small_requests_pass_while_large_ones_use_the_rate_up(self):
        """Orders of a team are taken while its prompts are over its rate.

        Prompts for six times the rate come first and keep the line full; an
        order costs a tenth of one. Together the orders are a twentieth of the
        rate, and each would be refused by what the prompts have left.
        """
        self.report(6 * RATE)
        orders = []
        for tick in range(100):
            now = 1.0 + tick * 0.01
            for _ in range(2):
                self.ask(now, soon=0.2)
            if tick % 20 == 0:
                orders.append(self.ask(now, soon=0.05, cost=COST / 10))
        self.assertEqual([COST / 10] * 5, [g.credit for g in orders])
        self.assertLess(max(g.after for g in orders), 0.01)

    def test_credit_for_small_requests_is_no_extra_credit(self):
        """What is saved up for them counts into rate and burst."""
        bank = credit_allocator_lib.CreditAllocator()
        bank.set_teams((team(),), 0.0, full=True)
        given = 0.0
        for tick in range(100):
            now = tick * 0.01
            for cost in (COST, COST / 10, COST / 10):
                need = site_messages.Need("band", 0.0, 0.0, cost)
                grant = bank.ask("h0", need, now)
                given += grant.credit
                done = need._replace(wanted=0.0)
                bank.report("h0", done, now)
        self.assertLessEqual(given, BURST + RATE * 1.0)

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
    def test_no_window_of_promises_is_above_rate_and_burst(self, asked):
        """Whatever is asked, what may be spent by then is backed by refill."""
        bank = credit_allocator_lib.CreditAllocator()
        bank.set_teams((team(),), 0.0, full=True)
        now, due = 0.0, []
        for pause, cost, patience in asked:
            now += pause
            need = site_messages.Need("band", 0.0, 0.0, cost)
            grant = bank.ask("h0", need, now, soon=0.0, patience=patience)
            due.append((now + grant.after, grant.credit))
            bank.report("h0", need._replace(wanted=0.0), now)
        due.sort()
        for start, _ in due:
            for end, _ in due:
                given = sum(c for at, c in due if start <= at <= end)
                most = RATE * max(0.0, end - start) + BURST + 1e-6
                self.assertLessEqual(given, most)


class PortionsTest(unittest.TestCase):
    @hypothesis.given(st.data())
    @hypothesis.settings(max_examples=60)
    def test_no_window_gives_more_than_rate_and_burst(self, data):
        """Hosts and leaders come and go, and answers are lost.

        A team that asks for far more than its rate never gets more than rate
        and burst in any window, but for what hosts may count on alone after
        each loss of a leader: their share of the rate for a bounded time.
        """
        site = Site(hosts=4)
        deaths = 0
        for tick in range(data.draw(st.integers(20, 120))):
            site.now += TICK
            event = data.draw(
                st.sampled_from(["none"] * 12 + ["lead", "host", "lost"])
            )
            if event == "lead":
                site.lead_anew()
                deaths += 1
            if event == "host":
                name = data.draw(st.sampled_from(sorted(site.hosts)))
                site.hosts[name] = allowance_lib.Allowance()
                site.bank.forget(name)
            for position, name in enumerate(sorted(site.hosts)):
                if (tick + position) % RENEW_TICKS == 0:
                    lost = event == "lost" and position == 0
                    site.renew(name, lost=lost)
                for _ in range(data.draw(st.integers(0, 3))):
                    site.request(name)
        for window in (1.0, 4.0, 8.0):
            self.assertLessEqual(
                site.most_in(window), RATE * window + BURST + COST
            )

    def test_a_team_inside_its_rate_is_not_refused(self):
        """Nobody pays for the division of a rate among hosts.

        Requests come to hosts in turn and unevenly, at four fifths of the
        rate; whoever lacks credit asks the leader.
        """
        site = Site(hosts=8)
        for tick in range(600):
            site.now += TICK
            for position, name in enumerate(sorted(site.hosts)):
                if (tick + position) % RENEW_TICKS == 0:
                    site.renew(name)
            if tick % 10 < 8:
                site.request(f"h{tick * tick % 8}")
        self.assertEqual(site.refused, 0)

    def test_a_burst_of_a_few_requests_is_not_kept_by_hosts(self):
        """A team inside its rate is not refused for what idle hosts hold.

        Its burst is worth seven requests, fewer than there are hosts; one in
        eight is three times as large. At three fifths of the rate each host
        would like credit for the largest, which is more than the burst.
        """
        site = Site(hosts=8)
        site.bank.set_teams((team(RATE, 7 * COST),), site.now, full=True)
        for tick in range(600):
            site.now += TICK
            for position, name in enumerate(sorted(site.hosts)):
                if (tick + position) % RENEW_TICKS == 0:
                    site.renew(name)
            cost = 3 * COST if tick % 8 == 3 else COST
            if tick % 2:
                site.request(f"h{tick * tick % 7}", cost)
        self.assertEqual(site.refused, 0)

    def test_hosts_go_on_while_there_is_no_leader(self):
        """The death of a leader refuses nobody who is inside its rate.

        For two seconds no leader answers; each host counts on its part.
        """
        site = Site(hosts=4)
        for tick in range(150):
            site.now += TICK
            if tick == 100:
                site.bank = None
            if tick == 120:
                site.lead_anew()
            for position, name in enumerate(sorted(site.hosts)):
                if (tick + position) % RENEW_TICKS == 0:
                    site.renew(name)
            if tick % 2:
                site.request(f"h{tick // 2 % 4}")
        self.assertEqual(site.refused, 0)

    def test_a_host_that_is_cut_off_stops(self):
        """A team does not get its rate twice when a host is cut off.

        The host hears no leader for long; it stops counting on its part.
        """
        site = Site(hosts=2)
        for _ in range(60):
            site.now += TICK
            for name in site.hosts:
                site.renew(name)
                site.request(name)
        site.cut.add("h0")
        site.spent = []
        for _ in range(200):
            site.now += TICK
            site.request("h0")
        self.assertLessEqual(sum(c for _, c in site.spent), BURST + 4 * RATE)
        self.assertGreater(site.now - site.spent[-1][0], 10.0)

    def test_a_lowered_rate_takes_hold(self):
        """A lower limit binds although hosts hold credit from before."""
        site = Site(hosts=2)
        for _ in range(60):
            site.now += TICK
            for name in site.hosts:
                site.renew(name)
                for _ in range(3):
                    site.request(name)
        site.bank.set_teams((team(100.0, 100.0),), site.now, full=True)
        held = sum(a.balance("band") for a in site.hosts.values())
        site.spent = []
        for _ in range(80):
            site.now += TICK
            for name in site.hosts:
                site.renew(name)
                for _ in range(3):
                    site.request(name)
        self.assertLessEqual(site.most_in(8.0), held + 100.0 * 8 + 100.0 + COST)

    def test_a_new_leader_gives_out_no_burst(self):
        """What the old leader gave out may still be spent."""
        bank = credit_allocator_lib.CreditAllocator()
        bank.set_teams((team(),), 0.0, full=False)
        need = site_messages.Need("band", 0.0, 0.0, COST)
        grant = bank.ask("h0", need, 0.0)
        self.assertEqual(grant.credit, 0.0)
        self.assertAlmostEqual(grant.short, COST / RATE)

    def test_what_hosts_hold_counts_as_part_of_the_bucket(self):
        """A team that was quiet does not get burst and portions on top.

        A host takes a portion; the bucket does not fill up beside it.
        """
        bank = credit_allocator_lib.CreditAllocator()
        bank.set_teams((team(),), 0.0, full=True)
        bank.report("h0", site_messages.Need("band", 0, 0, 700.0), 0.0)
        bank.report("h0", site_messages.Need("band", 0, 700.0, 700.0), 60.0)
        self.assertLessEqual(bank.levels["band"], BURST - 700.0)


class RepeatBudgetTest(unittest.TestCase):
    def test_a_new_process_has_no_fixed_part(self):
        """Restarts do not add up to more repeats than are allowed."""
        budget = repeats.RepeatBudget(
            ratio=0.2, window=10.0, slack=100.0, now=0.0
        )
        self.assertFalse(budget.spend(1.0))
        for _ in range(20):
            budget.came(1.0)
        self.assertTrue(budget.spend(1.0))

    def test_one_of_many_hosts_may_exceed_its_equal_part(self):
        """Guards against failing while repeats of other hosts are unused."""
        budget = repeats.RepeatBudget(
            ratio=0.2, window=10.0, slack=422.0, now=0.0
        )
        budget.set_hosts(191)
        shared = repeats.SharedRepeatBudget(window=10.0, slack=422.0, now=0.0)
        repeated = sum(
            budget.spend(20.0) or shared.spend(20.0, hosts=191)
            for _ in range(100)
        )
        self.assertEqual(repeated, 100)

    def test_a_new_leader_grants_no_repeats_for_a_whole_window(self):
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
        """Repeats never exceed the fixed number, even across leader changes."""
        now, spent = 0.0, []
        budgets = [
            repeats.RepeatBudget(ratio=0.0, window=10.0, slack=slack, now=now)
            for _ in range(hosts)
        ]
        for budget in budgets:
            budget.set_hosts(hosts)
        shared = repeats.SharedRepeatBudget(window=10.0, slack=slack, now=now)
        now = 11.0
        for pause, wanted, new_leader in steps:
            now += pause
            if new_leader:
                shared = repeats.SharedRepeatBudget(
                    window=10.0, slack=slack, now=now
                )
            for number in range(wanted):
                budget = budgets[number % hosts]
                if budget.spend(now) or shared.spend(now, hosts=hosts):
                    spent.append(now)
        for start in spent:
            within = sum(start <= at <= start + 10.0 for at in spent)
            self.assertLessEqual(within, slack)

    def test_all_hosts_together_stay_inside(self):
        given = 0
        for _ in range(5):
            budget = repeats.RepeatBudget(
                ratio=0.2, window=10.0, slack=50.0, now=0.0
            )
            budget.set_hosts(5)
            for tick in range(200):
                budget.came(10 + tick * 0.05)
                given += budget.spend(10 + tick * 0.05)
                given += budget.spend(10 + tick * 0.05)
        self.assertLessEqual(given, 0.2 * 1000 + 50)
