import unittest

from endivestream import site_messages
from endivestream.connection import registry as registry_lib
from endivestream.request import choice as choice_lib

from tests import test_registry


def target(name, *, models=(), domain="a", number=1, **fields):
    loaded = tuple(registry_lib.Loaded(model) for model in models)
    said = test_registry.said(
        name,
        number=number,
        domain=domain,
        address=f"10.0.0.1:{hash(name) % 1000}",
        loaded=loaded,
        slots=fields.pop("slots", 64),
        draining=fields.pop("draining", False),
    )
    return site_messages.Target(said=said, **fields)


class ViewTest(unittest.TestCase):
    def setUp(self):
        self.view = choice_lib.View(domain="a")

    def _pick(self, now=0.0, limit=100, **ask):
        found = self.view.pick(
            choice_lib.Ask(service="s", **ask), now, limit=limit
        )
        match found:
            case choice_lib.Picked(target=picked):
                return picked.said.name
            case choice_lib.NotThere(reason=reason):
                return reason

    def _send(self, name, now=0.0, **ask):
        asked = choice_lib.Ask(service="s", **ask)
        self.view.sent(name, asked, now)
        self.view.started(name, asked)

    def _end(self, name, now, *, failed=False, **ask):
        asked = choice_lib.Ask(service="s", **ask)
        return self.view.ended(name, asked, now, failed=failed)

    def test_only_where_the_model_is(self):
        self.view.set_targets([target("t1", models=["m"]), target("t2")], [])
        self.assertEqual(self._pick(model="m"), "t1")
        self.assertEqual(self._pick(model="other"), "no_model")
        self.assertEqual(self._pick(model="m", adapter="x"), "no_adapter")

    def test_a_model_about_to_go_gets_nothing_new(self):
        closing = target("t1", models=["m"], closing=("m",))
        self.view.set_targets([closing], [])
        self.assertEqual(self._pick(model="m"), "no_model")

    def test_no_engine_takes_what_it_cannot_answer_in_time(self):
        """Requests that a full engine would keep are there for its next copy.

        A model is asked for 200 times at once and stands on one engine; an
        engine of 64 slots answers no more a second with 200 than with 48.
        What waits goes to a second copy at once when that is loaded.
        """
        self.view.set_targets([target("t1", models=["m"])], [])
        sent = {"t1": 0, "t2": 0}
        for _ in range(200):
            found = self._pick(model="m", waits=True, limit=400)
            if found in sent:
                sent[found] += 1
                self._send(found, model="m")
        self.assertEqual(sent, {"t1": 48, "t2": 0})
        self.view.set_targets([target("t2", models=["m"])], [])
        self.assertEqual(self._pick(model="m", waits=True, limit=400), "t2")

    def test_a_full_engine_has_places_for_the_urgent_only(self):
        """A less urgent request waits; a more urgent one is sent."""
        self.view.set_targets([target("t1", models=["m"])], [])
        for _ in range(40):
            self._send("t1", model="m")
        self.assertEqual(self._pick(model="m", waits=True, rank=2), "full")
        self.assertEqual(self._pick(model="m", waits=True, rank=0), "t1")

    def test_who_cannot_wait_any_longer_gets_an_engine_s_own_queue(self):
        """A late answer is worth more than none: slots are the last bound."""
        self.view.set_targets([target("t1", models=["m"])], [])
        for _ in range(60):
            self._send("t1", model="m")
        self.assertEqual(self._pick(model="m", waits=True), "full")
        self.assertEqual(self._pick(model="m"), "t1")
        for _ in range(4):
            self._send("t1", model="m")
        self.assertEqual(self._pick(model="m"), "full")

    def test_what_other_hosts_run_counts(self):
        self.view.set_targets([target("t1", models=["m"])], [])
        self.view.set_loads({"t1": 64}, 0.0)
        self.assertEqual(self._pick(model="m"), "full")

    def test_without_a_leader_each_host_takes_its_part_of_an_engine(self):
        """An engine is not filled by every host while there is no leader.

        What others run there was last heard of long ago; four hosts send to
        it, and each keeps to a quarter of its slots.
        """
        self.view.set_targets([target("t1", models=["m"])], [])
        self.view.set_loads({}, 0.0)
        self.view.set_hosts(4)
        for _ in range(16):
            self._send("t1", model="m")
        self.assertEqual(self._pick(now=0.5, model="m"), "t1")
        self.view.heard("t1", 5.0)
        self.assertEqual(self._pick(now=5.0, model="m"), "full")

    def test_draining_targets_get_nothing_new(self):
        self.view.set_targets([target("t1", draining=True)], [])
        self.assertEqual(self._pick(), "no_target")

    def test_an_older_word_of_the_leader_changes_nothing(self):
        """A leaving target gets no new request.

        A new leader tells of it from an older report than the one we know.
        """
        self.view.set_targets([target("t1", number=5, draining=True)], [])
        self.view.set_targets([target("t1", number=4)], [])
        self.assertEqual(self._pick(), "no_target")

    def test_what_a_target_denies_to_hold_is_not_sent_again(self):
        """A request is not refused by the same target over and over.

        The leader's table still names a model that has just gone; the next
        word of the leader counts again.
        """
        self.view.set_targets([target("t1", models=["m"])], [])
        self.view.denied("t1", "m")
        self.assertEqual(self._pick(model="m"), "no_model")
        self.view.set_targets([target("t1", models=["m"], number=2)], [])
        self.assertEqual(self._pick(model="m"), "t1")

    def test_near_until_it_is_much_fuller(self):
        self.view.set_targets([target("near"), target("far", domain="b")], [])
        for _ in range(3):
            self.assertEqual(self._pick(), "near")
            self._send("near")
        self.view.set_loads({"near": 9}, 0.0)
        self.assertEqual(self._pick(), "far")

    def test_prompts_still_to_be_read_weigh_twice(self):
        self.view.set_targets([target("near"), target("far", domain="b")], [])
        asked = choice_lib.Ask(service="s")
        self.view.sent("near", asked, 0.0)
        self.assertEqual(self._pick(), "near")
        self.view.sent("near", asked, 0.0)
        self.view.sent("near", asked, 0.0)
        self.assertEqual(self._pick(), "far")
        for _ in range(3):
            self.view.started("near", asked)
        self.assertEqual(self._pick(), "near")

    def test_a_session_returns_to_where_its_prompt_was_read(self):
        self.view.set_targets([target("t1"), target("t2")], [])
        first = self._pick(session="s1")
        self._send(first, session="s1")
        self.assertEqual(self._pick(session="s1"), first)

    def test_failing_targets_are_left_alone_and_tried_again(self):
        """Callers stop paying for a target that breaks what it is given.

        Two failures in a row; then one trial request at a time, later and
        later; one success makes it whole again.
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

    def test_a_mute_target_gets_no_more(self):
        """Few requests hang with a target that has been cut off.

        It runs one of ours and not a byte has come for long; when one comes,
        it gets requests again.
        """
        self.view.set_targets([target("t1")], [])
        self._send("t1", now=1.0)
        self.assertEqual(self._pick(now=2.0), "t1")
        self.assertEqual(self._pick(now=2.5), "all_failing")
        self.view.heard("t1", 2.6)
        self.assertEqual(self._pick(now=2.7), "t1")

    def test_targets_that_fail_are_reported(self):
        """The planner counts them as lost before their reports are missed.

        One breaks what it is given, one is mute; the third is at work and
        has said something just now.
        """
        names = ("broken", "mute", "sound")
        self.view.set_targets([target(name) for name in names], [])
        for _ in range(2):
            self._send("broken")
            self._end("broken", 1.0, failed=True)
        self._send("mute", now=1.0)
        self._send("sound", now=1.0)
        self.view.heard("sound", 2.5)
        self.assertEqual(("broken", "mute"), self.view.failing(2.6))

    def test_a_full_target_is_passed_over(self):
        self.view.set_targets([target("t1")], [])
        self._send("t1")
        self.assertEqual(self._pick(limit=1), "full")

    def test_the_last_run_of_a_model_that_goes_is_told(self):
        self.view.set_targets([target("t1", models=["m"])], [])
        self._send("t1", model="m")
        self._send("t1", model="m", adapter="x")
        closing = target("t1", models=["m"], closing=("m",), number=2)
        self.view.set_targets([closing], [])
        self.assertFalse(self._end("t1", 1.0, model="m"))
        self.assertTrue(self._end("t1", 1.0, model="m", adapter="x"))

    def test_running_requests_survive_the_loss_of_their_target(self):
        self.view.set_targets([target("t1")], [])
        self._send("t1")
        self.view.set_targets([], ["t1"])
        self.assertEqual(self._pick(), "no_target")
        self.assertFalse(self._end("t1", 1.0))
        self.assertEqual(self.view.running("t1"), 0)
