import unittest

from endivestream.version import document as document_lib
import hypothesis
from hypothesis import strategies as st


def route(name="r", **fields):
    values = {
        "host": "a.example",
        "prefix": "/x/",
        "kind": document_lib.Kind.ONCE,
        "timeout": 1.0,
        "objective": 0.5,
        "priority": 1,
        "services": (document_lib.WeightedService("desk", 1),),
    }
    return document_lib.Route(name=name, **(values | fields))


def document(version=1, routes=None, services=("desk",), teams=()):
    return document_lib.Document(
        version=version,
        routes=(route(),) if routes is None else tuple(routes),
        services=tuple(
            document_lib.Service(name=s, health_path="/", connections=10)
            for s in services
        ),
        teams=tuple(teams),
        source=b"version %d" % version,
    )


class RouteTest(unittest.TestCase):
    def test_only_idempotent_requests_and_resumable_streams_repeat(self):
        """Guards against a flag for streams that repeats other requests."""
        kind = document_lib.Kind
        for case, repeats, resumes in (
            ((kind.IDEMPOTENT, False), True, False),
            ((kind.IDEMPOTENT, True), True, False),
            ((kind.ONCE, False), False, False),
            ((kind.ONCE, True), False, False),
            ((kind.STREAM, False), False, False),
            ((kind.STREAM, True), True, True),
        ):
            with self.subTest(case=case):
                made = route(kind=case[0], resumable=case[1])
                self.assertEqual(made.is_repeatable, repeats)
                self.assertEqual(made.has_resumable_streams, resumes)
                services = document(routes=[made]).resumable_services
                self.assertEqual(services, {"desk"} if resumes else set())


class CheckTest(unittest.TestCase):
    def _assert_finding(self, checked, expected):
        messages = [str(finding) for finding in document_lib.check(checked)]
        self.assertTrue(
            any(expected in message for message in messages), messages
        )

    def test_a_valid_document_has_no_findings(self):
        self.assertEqual(document_lib.check(document()), [])

    def test_unknown_service_names_the_valid_ones(self):
        services = (document_lib.WeightedService("dask", 1),)
        self._assert_finding(
            document(routes=[route(services=services)]), "'desk'"
        )

    def test_two_routes_with_equal_host_and_prefix(self):
        self._assert_finding(document(routes=[route("a"), route("b")]), "'a'")

    def test_duplicate_route(self):
        self._assert_finding(
            document(routes=[route(), route()]), "also the location of"
        )

    def test_weights_must_add_up_to_more_than_zero(self):
        services = (document_lib.WeightedService("desk", 0),)
        self._assert_finding(
            document(routes=[route(services=services)]),
            "must add up to more than 0",
        )

    def test_timeout_must_be_positive(self):
        self._assert_finding(document(routes=[route(timeout=0.0)]), "above 0")

    def test_hedging_limits_must_be_numbers_of_at_least_zero(self):
        """Guards against limits that bound nothing."""
        idempotent = {"kind": document_lib.Kind.IDEMPOTENT}
        for ratio in (-0.1, float("inf"), float("nan")):
            bad = route(hedge_ratio=ratio, **idempotent)
            self._assert_finding(document(routes=[bad]), "hedge_ratio")
        bad = route(hedge_concurrency=-1, **idempotent)
        self._assert_finding(document(routes=[bad]), "hedge_concurrency")

    def test_hedge_ratio_must_not_exceed_a_known_retry_ratio(self):
        """Guards against hedges that the retry budget would deny."""
        hedged = document(
            routes=[route(kind=document_lib.Kind.IDEMPOTENT, hedge_ratio=0.3)]
        )
        self.assertEqual(document_lib.check(hedged), [])
        [finding] = document_lib.check(hedged, max_hedge_ratio=0.2)
        self.assertIn("at most the retry ratio", str(finding))

    def test_only_idempotent_routes_are_hedged(self):
        """Guards against requests that run twice and may not."""
        for kind in (document_lib.Kind.ONCE, document_lib.Kind.STREAM):
            self._assert_finding(
                document(routes=[route(kind=kind, hedge_ratio=0.1)]),
                "only idempotent requests",
            )
        off = document(routes=[route(hedge_ratio=0.0, hedge_concurrency=0)])
        self.assertEqual(document_lib.check(off), [])

    def test_prefix_must_end_with_a_slash(self):
        self._assert_finding(document(routes=[route(prefix="/x")]), "slash")

    def test_shared_key_is_reported_without_the_key(self):
        teams = [
            document_lib.Team(name="band", keys=("secret-1",)),
            document_lib.Team(name="shop", keys=("secret-1",)),
        ]
        checked = document(teams=teams)
        self._assert_finding(checked, "shares a key with team 'band'")
        self.assertNotIn("secret-1", str(document_lib.check(checked)))

    def test_all_errors_are_reported_together(self):
        invalid = route(
            timeout=0.0, services=(document_lib.WeightedService("none", 0),)
        )
        self.assertEqual(len(document_lib.check(document(routes=[invalid]))), 3)


class HolderTest(unittest.TestCase):
    @hypothesis.given(
        st.lists(st.integers(1, 30), min_size=1, max_size=20),
    )
    def test_the_highest_version_is_in_force_in_any_order(self, versions):
        """Guards against an older document that replaces a newer one.

        Documents arrive late, repeatedly and out of order. In any order, the
        first document with the highest version is in force, and the version
        never decreases.
        """
        holder = document_lib.DocumentState()
        highest = 0
        for arrival, version in enumerate(versions):
            source = b"%d at %d" % (version, arrival)
            sent = document_lib.Document(version=version, source=source)
            before = holder.current
            answer = holder.apply(document_lib.ApplyDocument(document=sent))
            self.assertEqual(answer.changed, version > highest)
            highest = max(highest, version)
            self.assertEqual(answer.version, highest)
            if not answer.changed:
                self.assertIs(holder.current, before)
        self.assertEqual(holder.version, max(versions))
