import unittest

from endivestream import logs
from endivestream.process import settings


class SettingsTest(unittest.TestCase):
    def _findings(self, text):
        found = settings.parse(text, source="s.toml")
        self.assertIsInstance(found, list, found)
        return [str(finding) for finding in found]

    def test_shown_settings_can_be_parsed(self):
        """Guards against `--show-settings` printing an invalid file."""
        text = settings.show().replace('data_folder = ""', 'data_folder = "d"')
        parsed = settings.parse(text, source="shown")
        self.assertIsInstance(parsed, settings.Settings, parsed)

    def test_all_errors_are_reported_with_line_and_suggestion(self):
        """Guards against errors that are found only one by one, or unclear."""
        found = self._findings(
            "[host]\n"
            'nmae = "a"\n'
            'data_folder = "d"\n'
            "[http]\n"
            'address = "localhost:80"\n'
            "max_body_bytes = -1\n"
            "[timming]\n"
            "[timing]\n"
            "lease_seconds = 1\n"
        )
        text = "\n".join(found)
        self.assertIn("s.toml:2: unknown setting in [host] 'nmae', did", text)
        self.assertIn("s.toml:5: http.address = 'localhost:80'", text)
        self.assertIn("s.toml:6: http.max_body_bytes = -1", text)
        self.assertIn("s.toml:7: unknown section 'timming', did you", text)
        self.assertIn("s.toml:9: timing.lease_seconds = 1.0 must be", text)

    def test_open_inner_address_requires_tokens(self):
        """Guards against operators' routes open to the network."""
        found = self._findings(
            '[host]\ndata_folder = "d"\n'
            '[http]\ninner_address = "10.0.0.1:8081"\n'
        )
        self.assertEqual(len(found), 2)
        self.assertIn("tokens.operator is required", found[0])

    def test_syntax_error_is_reported_with_line_and_column(self):
        """Guards against syntax errors that are reported without a place."""
        (found,) = self._findings("[host\n")
        self.assertTrue(found.startswith("s.toml:1:6: invalid TOML"), found)


class LogsTest(unittest.TestCase):
    def test_values_cannot_break_lines_or_forge_pairs(self):
        """Guards against log lines forged through values from callers."""
        line = logs.line("x", {"a": "b c=d\nevent=y", "n": 0.123456})
        self.assertEqual(line, 'event=x a="b c=d\\nevent=y" n=0.1235')
