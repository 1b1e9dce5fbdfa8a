"""Tests of entry hosts before targets that refuse, drain and restart."""

import dataclasses
import itertools
import unittest

from soak import simulated_site as site_lib
from soak import simulated_target as target_lib


class SoakTest(unittest.TestCase):
    def test_targets_get_no_requests_that_they_declined(self):
        """Guards against requests during backoffs and after drains."""
        for seed in range(18):
            self._check(site_lib.draw_scenario(seed))

    def test_refusals_without_retry_after_hide_no_others(self):
        """Guards against requests during backoffs beside such refusals."""
        for seed in range(6):
            scenario = site_lib.draw_scenario(seed)
            self._check(
                dataclasses.replace(
                    scenario,
                    drawn_refusal_seconds=(
                        None,
                        *scenario.drawn_refusal_seconds,
                    ),
                )
            )

    def _check(self, scenario):
        site = site_lib.run(scenario)
        self.assertEqual([], site.violations, scenario)
        statuses = {call.status for call in site.calls}
        self.assertIn(200, statuses, scenario)

    def test_a_target_is_not_flooded_after_its_backoff(self):
        """Guards against all waiting requests at the end of a backoff."""
        scenario = site_lib.Scenario(
            seed=1,
            hosts=8,
            targets=1,
            request_rate=20.0,
            seconds=8.0,
            refused_seconds=1.0,
        )
        [target] = site_lib.run(scenario).targets
        self.assertEqual(scenario.hosts, len(target.backoffs))
        for host, backoffs in target.backoffs.items():
            end = max(backoff.end for backoff in backoffs)
            later = (
                arrival.at
                for arrival in target.arrivals
                if arrival.host == host and arrival.at >= end
            )
            first, second = itertools.islice(later, 2)
            self.assertGreater(second - first, target_lib.MIN_RUN_SECONDS)

    def test_a_refusing_target_attracts_no_requests(self):
        """Guards against requests to the one target that refuses them all.

        Nothing runs there, so it has the lowest load of all.
        """
        scenario = site_lib.Scenario(
            seed=2,
            hosts=4,
            targets=3,
            request_rate=20.0,
            seconds=10.0,
            refused_seconds=10.0,
            refusing_targets=1,
            refusal_seconds=None,
        )
        site = site_lib.run(scenario)
        arrivals = len(site.targets[0].arrivals)
        self.assertLess(arrivals, len(site.calls) / 10)
        served = sum(call.status == 200 for call in site.calls)
        self.assertGreater(served, 0.9 * len(site.calls))

    def test_brittle_targets_survive_overload(self):
        """Guards against refusals that make targets without room fail."""
        for hosts, limit, room in ((8, 10, 8), (8, 40, 16), (3, 20, 8)):
            scenario = site_lib.Scenario(
                seed=hosts + limit,
                hosts=hosts,
                targets=2,
                request_rate=120.0 / hosts,
                seconds=10.0,
                refused_seconds=0.0,
                room=room,
                brittle_limit=limit,
            )
            with self.subTest(hosts=hosts, limit=limit):
                site = site_lib.run(scenario)
                start = min(site.targets[0].arrivals).at
                late = [v for v in site.violations if v.at > start + 3.0]
                self.assertEqual([], late)
                served = sum(call.status == 200 for call in site.calls)
                self.assertGreater(served, len(site.calls) / 4)
