"""Test of real processes under faults in overlapping series."""

import argparse
import asyncio
import unittest

from soak import crashes
from soak import cuts
from soak import departures
from soak import one_request
from soak import processes
from soak import versions


class ProcessSoakTest(unittest.TestCase):
    def test_faults_in_series_break_no_promise(self):
        """Guards against lost answers, double runs and declined requests."""
        report = asyncio.run(
            processes.run(seed=3, seconds=12.0, controls=3, entries=3)
        )
        self.assertEqual([], report["violations"])

    def test_streams_keep_the_version_that_began_them(self):
        """Guards against streams with events of two software versions."""
        report = asyncio.run(
            processes.run(
                seed=1,
                seconds=12.0,
                controls=3,
                entries=3,
                soak_class=versions.VersionSoak,
            )
        )
        self.assertEqual([], report["violations"])
        self.assertGreater(report["versions"]["named goes on"], 0)

    def test_departures_are_acknowledged_beside_late_reports(self):
        """Guards against departures that late reports delay or shorten."""
        report = asyncio.run(
            processes.run(
                seed=1,
                seconds=10.0,
                controls=3,
                entries=3,
                soak_class=departures.DepartureSoak,
            )
        )
        self.assertEqual([], report["violations"])
        self.assertGreater(len(report["acknowledged"]), 0)

    def test_requests_that_end_targets_are_quarantined(self):
        """Guards against requests that end one target after the other."""
        report = asyncio.run(
            processes.run(
                seed=1,
                seconds=14.0,
                controls=3,
                entries=3,
                soak_class=crashes.CrashSoak,
            )
        )
        self.assertEqual([], report["violations"])
        self.assertGreaterEqual(report["ends"]["part"], 3)

    def test_one_request_ends_no_fourth_target(self):
        """Guards against a request that is sent on beside equal sound ones."""
        options = argparse.Namespace(
            way="two at once, equal content", faults=False
        )
        report = asyncio.run(
            processes.run(
                seed=1,
                seconds=9.0,
                controls=3,
                entries=3,
                soak_class=one_request.OneRequestSoak.variant(options, 1),
            )
        )
        self.assertEqual([], report["violations"])
        self.assertGreaterEqual(max(report["ends"]), 2)

    def test_cut_hosts_serve_as_the_others(self):
        """Guards against hosts that serve nothing while they are cut off."""
        report = asyncio.run(
            processes.run(
                seed=1,
                seconds=12.0,
                controls=3,
                entries=3,
                soak_class=cuts.CutSoak,
            )
        )
        self.assertEqual([], report["violations"])
        self.assertNotIn(" of 0", report["cut"])
