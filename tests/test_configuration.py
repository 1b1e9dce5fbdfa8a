import unittest

from endivestream.version import configuration
import hypothesis
from hypothesis import strategies as st

RULES_TEXT = "team a rate=1 burst=1 # x\nteam b rate=1 burst=1 # x\n"
DIGEST, OTHER_DIGEST = "1" * 64, "2" * 64


def _apply(text, expected_version, change_id="c1", author="amina"):
    return configuration.ApplyRules(
        text=text,
        expected_version=expected_version,
        change_id=change_id,
        author=author,
        comment="",
        at=0.0,
    )


def _create(label, digest, team="a", change_id=None):
    return configuration.CreateKey(
        label=label,
        team=team,
        digest=digest,
        change_id=change_id or f"create-{label}-{digest[:3]}",
        author="amina",
        at=0.0,
    )


def _revoke(label, change_id=None):
    return configuration.RevokeKey(
        label=label,
        change_id=change_id or f"revoke-{label}",
        author="x",
        at=0.0,
    )


class ConfigurationTest(unittest.TestCase):
    def setUp(self):
        self.state = configuration.Configuration()
        self.state.apply(_apply(RULES_TEXT, 0))

    def test_concurrent_changes_of_one_version_conflict(self):
        """Guards against an operator's change that overwrites another one.

        Both edit version 1 and send their text with that number. The second
        gets a conflict with the current version and the author of the first.
        """
        first = self.state.apply(_apply(RULES_TEXT + "\n", 1, "c2", "yusuf"))
        second = self.state.apply(_apply(RULES_TEXT + "\n\n", 1, "c3"))
        self.assertEqual(first, configuration.Applied(version=2))
        self.assertEqual(second.version, 2)
        self.assertEqual(second.author, "yusuf")
        self.assertEqual(second.change_id, "c2")

    def test_change_resent_after_a_lost_answer_gets_the_first_answer(self):
        repeated = self.state.apply(_apply(RULES_TEXT, 0))
        self.assertEqual(
            repeated, configuration.Applied(version=1, repeated=True)
        )
        self.assertEqual(self.state.version, 1)

    def test_change_id_with_other_content_is_rejected(self):
        answer = self.state.apply(_apply(RULES_TEXT + "\n", 1))
        self.assertIn("already used for another change", answer.findings[0])

    def test_revoked_key_cannot_be_restored(self):
        """Guards against an older text that restores a revoked key.

        The text contains the key's digest. The key is revoked by command, and
        the same text is applied again.
        """
        text = RULES_TEXT + f"key k team=a sha256={DIGEST} # x\n"
        self.state.apply(_apply(text, 1, "c2"))
        self.state.apply(_revoke("k"))
        answer = self.state.apply(_apply(text + "\n", 2, "c3"))
        self.assertIn("cannot be used again", answer.findings[0])
        answer = self.state.apply(_create("k2", DIGEST))
        self.assertIn("already registered", answer.findings[0])

    def test_key_is_revoked_with_its_team(self):
        self.state.apply(_create("k", DIGEST, team="b"))
        self.state.apply(_apply("team a rate=1 burst=1 # x\n", 1, "c2"))
        (key,) = self.state.keys
        self.assertTrue(key.revoked)

    def test_snapshot_restores_the_complete_state(self):
        self.state.apply(_create("k", DIGEST))
        other = configuration.Configuration()
        other.restore(self.state.snapshot())
        self.assertEqual(other.snapshot(), self.state.snapshot())
        repeated = other.apply(_apply(RULES_TEXT, 0))
        self.assertTrue(repeated.repeated)

    @hypothesis.given(
        st.lists(
            st.tuples(
                st.sampled_from(["rules", "create", "revoke"]),
                st.integers(0, 3),
            ),
            max_size=25,
        ),
        st.integers(0, 25),
        st.randoms(use_true_random=False),
    )
    def test_view_catches_up_from_any_version_and_never_reverts(
        self, steps, update_count, rng
    ):
        """Guards against a gateway that stays behind after missed changes.

        Updates are based on older versions, repeat changes and arrive out of
        order.
        """
        state = configuration.Configuration()
        view = configuration.ConfigurationView()
        updates = []
        for number, (kind, key_number) in enumerate(steps):
            match kind:
                case "rules":
                    text = RULES_TEXT + "\n" * number
                    command = _apply(text, state.rules_version, f"r{number}")
                case "create":
                    digest = f"{number:064x}"
                    command = _create(
                        f"k{key_number}", digest, change_id=f"k{number}"
                    )
                case _:
                    command = _revoke(f"k{key_number}", change_id=f"v{number}")
            state.apply(command)
            updates.append(state.update_since(rng.randint(0, state.version)))
        rng.shuffle(updates)
        last_version = 0
        for update in updates[:update_count]:
            view.update(update)
            self.assertGreaterEqual(view.version, last_version)
            last_version = view.version
        view.update(state.update_since(view.version))
        self.assertEqual(view.version, state.version)
        for key in state.keys:
            self.assertEqual(view.is_live(key.digest), not key.revoked)
        self.assertEqual(view.rules, state.rules)
