import unittest

from endivestream.version import rules
import hypothesis
from hypothesis import strategies as st

VALID_RULES = """\
team workshops rate=2000 burst=4000   # Amina
model brass memory=400                # Amina
adapter horns model=brass memory=8    # Yusuf
service desk                          # ledger group
allow workshops brass horns desk      # Amina
"""


class ParseTest(unittest.TestCase):
    def test_reads_every_kind(self):
        parsed = rules.parse(VALID_RULES)
        self.assertIsInstance(parsed, rules.Rules)
        self.assertEqual(parsed.teams["workshops"].burst, 4000)
        self.assertEqual(parsed.base_model("horns"), "brass")
        self.assertFalse(parsed.services["desk"].idempotent)
        self.assertEqual(
            parsed.allowed["workshops"], {"brass", "horns", "desk"}
        )

    def test_reports_all_errors_with_position_and_suggestion(self):
        text = (
            "team a rate=1 burst=1 # x\n"
            "modle m memory=1 # x\n"
            "model m memry=1 # x\n"
            "model n memory=0 # x\n"
            "allow b m # x\n"
            "team c rate=1 burst=1\n"
        )
        messages = [str(finding) for finding in rules.parse(text, source="f")]
        self.assertEqual(len(messages), 6, messages)
        self.assertIn("f:2:1: unknown kind of rule 'modle'", messages[0])
        self.assertIn("did you mean 'model'?", messages[0])
        self.assertIn("f:3:9:", messages[1])
        self.assertIn("f:4:9: memory='0': expected a whole number", messages[2])
        self.assertIn("f:5:7: unknown team 'b'", messages[3])
        self.assertIn("unknown model, adapter or service 'm'", messages[4])
        self.assertIn(
            "a comment that names the requester is missing", messages[5]
        )

    def test_reports_a_duplicate_name(self):
        (finding,) = rules.parse(
            VALID_RULES + "adapter brass model=brass memory=1 # x"
        )
        self.assertIn("defined on line 2", finding.what)

    @hypothesis.given(st.text(max_size=200))
    def test_any_text_results_in_rules_or_findings(self, text):
        parsed = rules.parse(text)
        if not isinstance(parsed, rules.Rules):
            self.assertTrue(parsed)
            for finding in parsed:
                self.assertGreater(finding.place.line, 0)
