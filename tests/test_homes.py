"""Tests of home regions of routes and teams."""

import unittest

from endivestream import site_messages
from endivestream.request import homes
from endivestream.version import document as document_lib
import msgspec

from tests import test_document

REGIONS = {"a": "north", "b": "north", "c": "south", "d": "east"}


def route(*regions):
    return msgspec.structs.replace(
        test_document.route("r"), home_regions=regions
    )


def team(*regions):
    return document_lib.Team(name="t", keys=(), home_regions=regions)


def host(name, domain):
    return site_messages.EntryHost(name, 1, domain, name, False)


class AllowedRegionsTest(unittest.TestCase):
    def test_homes_of_route_and_team_both_apply(self):
        """Guards against requests that leave the homes of one of the two."""
        north_south = route("north", "south")
        for homed_route, homed_team, expected in (
            (route(), None, None),
            (route(), team(), None),
            (north_south, None, {"north", "south"}),
            (north_south, team(), {"north", "south"}),
            (route(), team("east"), {"east"}),
            (north_south, team("south", "east"), {"south"}),
            (north_south, team("east"), set()),
        ):
            self.assertEqual(
                expected, homes.allowed_regions(homed_route, homed_team)
            )


class AddressesTest(unittest.TestCase):
    def setUp(self):
        self.hosts = [host(f"{d}{n}", d) for d in "abcd" for n in range(2)]

    def _select(self, domain, routes, hosts=None):
        return homes.select_addresses(
            hosts or self.hosts,
            domain=domain,
            regions=homes.caller_regions(routes, REGIONS[domain]),
            region_by_domain=REGIONS,
        )

    def test_callers_get_hosts_of_their_own_domain(self):
        self.assertEqual(["a0", "a1"], self._select("a", []))
        self.assertEqual(["a0", "a1"], self._select("a", [route("south")]))

    def test_other_hosts_are_in_a_home_or_the_region_of_the_caller(self):
        """Guards against bodies sent to regions that a route excludes."""
        hosts = [h for h in self.hosts if h.name != "a0"]
        self.assertEqual(
            ["a1", "b0", "b1", "c0", "c1"],
            self._select("a", [route("south")], hosts),
        )
        self.assertEqual(
            ["a1", "b0", "b1", "c0", "c1"],
            self._select("a", [route("south", "east"), route("south")], hosts),
        )
        self.assertEqual(7, len(self._select("a", [route()], hosts)))


if __name__ == "__main__":
    unittest.main()
