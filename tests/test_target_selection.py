import unittest

from endivestream import site_messages
from endivestream.connection import registry as registry_lib
from endivestream.request import target_selection

from tests import test_registry


def target(name, *, models=(), domain="a", number=1, **fields):
    loaded = tuple(registry_lib.Loaded(model) for model in models)
    registration = test_registry.make_registration(
        name,
        report_number=number,
        domain=domain,
        address=f"10.0.0.1:{hash(name) % 1000}",
        loaded=loaded,
        slots=fields.pop("slots", 64),
        draining=fields.pop("draining", False),
    )
    return site_messages.Target(registration=registration, **fields)


class TargetViewTest(unittest.TestCase):
    def setUp(self):
        self.view = target_selection.TargetView(domain="a")

    def _pick(self, now=0.0, limit=100, **fields):
        result = self.view.pick(
            target_selection.TargetRequirements(service="s", **fields),
            now,
            limit=limit,
        )
        match result:
            case target_selection.Selected(target=picked):
                return picked.registration.name
            case target_selection.Unavailable(reason=reason):
                return reason

    def _send(self, name, now=0.0, **fields):
        requirements = target_selection.TargetRequirements(
            service="s", **fields
        )
        self.view.record_sent(name, requirements, now)
        self.view.record_started(name, requirements)

    def _end(self, name, now, *, failed=False, **fields):
        requirements = target_selection.TargetRequirements(
            service="s", **fields
        )
        return self.view.record_result(name, requirements, now, failed=failed)

    def test_pick_requires_model_and_adapter(self):
        self.view.set_targets([target("t1", models=["m"]), target("t2")], [])
        self.assertEqual(self._pick(model="m"), "t1")
        self.assertEqual(self._pick(model="other"), "no_model")
        self.assertEqual(self._pick(model="m", adapter="x"), "no_adapter")

    def test_model_about_to_unload_gets_no_requests(self):
        closing = target("t1", models=["m"], unloading=("m",))
        self.view.set_targets([closing], [])
        self.assertEqual(self._pick(model="m"), "no_model")

    def test_waiting_requests_do_not_fill_all_slots_of_an_engine(self):
        """Guards against requests that wait in a full engine.

        A model that one engine has loaded gets 200 simultaneous requests. An
        engine of 64 slots completes no more requests per second with 200 than
        with 48. The others must be free to go to a second copy of the model
        as soon as it is loaded.
        """
        self.view.set_targets([target("t1", models=["m"])], [])
        sent = {"t1": 0, "t2": 0}
        for _ in range(200):
            result = self._pick(model="m", can_wait=True, limit=400)
            if result in sent:
                sent[result] += 1
                self._send(result, model="m")
        self.assertEqual(sent, {"t1": 48, "t2": 0})
        self.view.set_targets([target("t2", models=["m"])], [])
        self.assertEqual(self._pick(model="m", can_wait=True, limit=400), "t2")

    def test_last_slots_are_kept_for_urgent_requests(self):
        """Guards against less urgent requests that take the last slots.

        With 40 running requests, one of rank 2 waits and one of rank 0 is
        sent.
        """
        self.view.set_targets([target("t1", models=["m"])], [])
        for _ in range(40):
            self._send("t1", model="m")
        self.assertEqual(self._pick(model="m", can_wait=True, rank=2), "full")
        self.assertEqual(self._pick(model="m", can_wait=True, rank=0), "t1")

    def test_request_that_cannot_wait_may_use_all_slots(self):
        """Guards against refusing a request that could be answered late.

        A request that can no longer wait for a slot is limited only by the
        number of slots.
        """
        self.view.set_targets([target("t1", models=["m"])], [])
        for _ in range(60):
            self._send("t1", model="m")
        self.assertEqual(self._pick(model="m", can_wait=True), "full")
        self.assertEqual(self._pick(model="m"), "t1")
        for _ in range(4):
            self._send("t1", model="m")
        self.assertEqual(self._pick(model="m"), "full")

    def test_load_of_other_hosts_counts(self):
        self.view.set_targets([target("t1", models=["m"])], [])
        self.view.set_loads({"t1": 64}, 0.0)
        self.assertEqual(self._pick(model="m"), "full")

    def test_hosts_share_slots_when_loads_are_stale(self):
        """Guards against every host filling the same engine without a leader.

        The loads of other hosts were last received too long ago. Four hosts
        send to the engine, so each uses at most a quarter of its slots.
        """
        self.view.set_targets([target("t1", models=["m"])], [])
        self.view.set_loads({}, 0.0)
        self.view.set_hosts(4)
        for _ in range(16):
            self._send("t1", model="m")
        self.assertEqual(self._pick(now=0.5, model="m"), "t1")
        self.view.record_bytes("t1", 5.0)
        self.assertEqual(self._pick(now=5.0, model="m"), "full")

    def test_draining_targets_get_no_requests(self):
        self.view.set_targets([target("t1", draining=True)], [])
        self.assertEqual(self._pick(), "no_target")

    def test_targets_of_an_evacuated_domain_get_no_requests(self):
        """Guards against sends to a domain that operators will turn off."""
        near, far = target("t1", domain="a"), target("t2", domain="b")
        self.view.set_targets([near, far], [])
        self.view.set_evacuated_domains(["a"])
        self.assertEqual(self._pick(), "t2")
        requirements = target_selection.TargetRequirements(service="s")
        self.assertFalse(
            self.view.is_usable(near.registration, requirements, 0.0)
        )
        self.assertTrue(
            self.view.is_usable(far.registration, requirements, 0.0)
        )
        self.view.set_evacuated_domains(["a", "b"])
        self.assertEqual(self._pick(), "evacuated")
        self.view.set_evacuated_domains([])
        self.assertEqual(self._pick(), "t1")

    def test_targets_outside_the_home_regions_get_no_requests(self):
        """Guards against requests that leave the regions set for them."""
        self.view = target_selection.TargetView(
            domain="a", regions={"a": "north", "b": "south"}
        )
        near, far = target("t1", domain="a"), target("t2", domain="b")
        self.view.set_targets([near, far], [])
        south = frozenset({"south"})
        self.assertEqual(self._pick(), "t1")
        self.assertEqual(self._pick(regions=south), "t2")
        self.assertEqual(self._pick(regions=south, tried=("t2",)), "no_target")
        for unknown in (frozenset(), frozenset({"east"})):
            self.assertEqual(self._pick(regions=unknown), "no_home")

    def test_requests_do_not_wait_for_the_end_of_an_evacuation(self):
        """Guards against holding requests that no target can take."""
        self.assertTrue(
            target_selection.Unavailable(reason="evacuated").is_lasting
        )
        self.assertFalse(target_selection.Unavailable(reason="full").is_lasting)

    def test_older_table_update_is_ignored(self):
        """Guards against sending requests to a departing target.

        A new leader sends an entry from an older report of the target than
        the one that is already known.
        """
        self.view.set_targets([target("t1", number=5, draining=True)], [])
        self.view.set_targets([target("t1", number=4)], [])
        self.assertEqual(self._pick(), "no_target")

    def test_denied_model_is_avoided_until_the_next_table_update(self):
        """Guards against repeated refusals by the same target.

        The leader's table still lists a model that was just unloaded. The
        denial applies until the leader sends a changed entry.
        """
        self.view.set_targets([target("t1", models=["m"])], [])
        self.view.record_denied("t1", "m")
        self.assertEqual(self._pick(model="m"), "no_model")
        self.view.set_targets([target("t1", models=["m"], number=2)], [])
        self.assertEqual(self._pick(model="m"), "t1")

    def test_own_domain_is_preferred_until_much_more_loaded(self):
        self.view.set_targets([target("near"), target("far", domain="b")], [])
        for _ in range(3):
            self.assertEqual(self._pick(), "near")
            self._send("near")
        self.view.set_loads({"near": 9}, 0.0)
        self.assertEqual(self._pick(), "far")

    def test_unprocessed_prompts_count_twice(self):
        self.view.set_targets([target("near"), target("far", domain="b")], [])
        requirements = target_selection.TargetRequirements(service="s")
        self.view.record_sent("near", requirements, 0.0)
        self.assertEqual(self._pick(), "near")
        self.view.record_sent("near", requirements, 0.0)
        self.view.record_sent("near", requirements, 0.0)
        self.assertEqual(self._pick(), "far")
        for _ in range(3):
            self.view.record_started("near", requirements)
        self.assertEqual(self._pick(), "near")

    def test_session_returns_to_the_same_target(self):
        self.view.set_targets([target("t1"), target("t2")], [])
        first = self._pick(session="s1")
        self._send(first, session="s1")
        self.assertEqual(self._pick(session="s1"), first)

    def test_refusing_target_is_selected_last(self):
        """Guards against preferring a target that refuses all requests.

        The time doubles with each further refusal, to a maximum; refusals of
        requests that were sent before do not count.
        """
        self.view.set_targets([target("t1"), target("t2", domain="b")], [])
        for now, seconds in (
            (1.0, 0.05),
            (2.0, 0.1),
            (3.0, 0.2),
            (4.0, 0.4),
            (5.0, 0.8),
            (6.0, 1.6),
            (8.0, 1.6),
        ):
            self.assertEqual(self._pick(now=now), "t1")
            for _ in range(3):
                self.view.record_refusal("t1", now)
            self.assertEqual(self._pick(now=now + seconds - 0.01), "t2")
            self.assertEqual(self._pick(now=now + seconds), "t1")
        self.view.record_accepted("t1")
        self.view.record_refusal("t1", 10.0)
        self.assertEqual(self._pick(now=10.05), "t1")

    def test_refusing_target_is_selected_without_alternative(self):
        """Guards against refusals to callers while a target may have a slot."""
        self.view.set_targets([target("t1")], [])
        self.view.record_refusal("t1", 1.0)
        self.assertEqual(self._pick(now=1.0), "t1")

    def test_failing_target_is_ejected_and_retried(self):
        """Guards against sending all requests to a target that fails them.

        After two consecutive failures the target gets one trial request at a
        time, at growing intervals. One success ends the ejection.
        """
        self.view.set_targets([target("t1")], [])
        for _ in range(2):
            self._send("t1")
            self._end("t1", 1.0, failed=True)
        self.assertEqual(self._pick(now=1.1), "all_failing")
        self.assertEqual(self._pick(now=2.0), "t1")
        self._send("t1", now=2.0)
        self.assertEqual(self._pick(now=2.0), "all_failing")
        self._end("t1", 2.1)
        self.assertEqual(self._pick(now=2.1), "t1")

    def test_silent_target_gets_no_requests(self):
        """Guards against further requests that hang on an unreachable target.

        The target runs a request of this host and has sent no bytes for too
        long. It gets requests again once a byte arrives.
        """
        self.view.set_targets([target("t1")], [])
        self._send("t1", now=1.0)
        self.assertEqual(self._pick(now=2.0), "t1")
        self.assertEqual(self._pick(now=2.5), "all_failing")
        self.view.record_bytes("t1", 2.6)
        self.assertEqual(self._pick(now=2.7), "t1")

    def test_silence_outlasts_the_requests_that_found_it(self):
        """Guards against a silent target that is sound once callers leave."""
        self.view.set_targets([target("t1")], [])
        self._send("t1", 0.0)
        self._end("t1", 2.0, failed=None)
        self.assertEqual(self._pick(2.1), "all_failing")
        self.assertEqual(self._pick(2.6), "t1")

    def test_a_caller_that_leaves_proves_nothing(self):
        """Guards against a failing target that is sound once a caller left."""
        self.view.set_targets([target("t1")], [])
        for _ in range(2):
            self._send("t1", 0.0)
            self._end("t1", 0.1, failed=True)
        self._send("t1", 0.7)
        self._end("t1", 0.8, failed=None)
        self._send("t1", 0.9)
        self._end("t1", 1.0, failed=True)
        self.assertEqual(self._pick(1.1), "all_failing")

    def test_failing_and_silent_targets_are_reported(self):
        """Guards against a planner that detects failed targets too late.

        It must treat them as failed before their reports are missed. One
        target fails its requests, one has sent no bytes for too long, and the
        third has just sent bytes.
        """
        names = ("broken", "mute", "sound")
        self.view.set_targets([target(name) for name in names], [])
        for _ in range(2):
            self._send("broken")
            self._end("broken", 1.0, failed=True)
        self._send("mute", now=1.0)
        self._send("sound", now=1.0)
        self.view.record_bytes("sound", 2.5)
        self.assertEqual(("broken", "mute"), self.view.failing(2.6))

    def test_target_at_the_limit_is_skipped(self):
        self.view.set_targets([target("t1")], [])
        self._send("t1")
        self.assertEqual(self._pick(limit=1), "full")

    def test_last_use_of_an_unloading_model_is_reported(self):
        self.view.set_targets([target("t1", models=["m"])], [])
        self._send("t1", model="m")
        self._send("t1", model="m", adapter="x")
        closing = target("t1", models=["m"], unloading=("m",), number=2)
        self.view.set_targets([closing], [])
        self.assertFalse(self._end("t1", 1.0, model="m"))
        self.assertTrue(self._end("t1", 1.0, model="m", adapter="x"))

    def test_request_may_end_after_its_target_was_removed(self):
        self.view.set_targets([target("t1")], [])
        self._send("t1")
        self.view.set_targets([], ["t1"])
        self.assertEqual(self._pick(), "no_target")
        self.assertFalse(self._end("t1", 1.0))
        self.assertEqual(self.view.running("t1"), 0)
