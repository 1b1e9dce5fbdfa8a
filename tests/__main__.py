"""Runs all tests: `python -m tests [PATTERN]`.

A test that fails for a known, listed fault (KNOWN-RED.txt) is printed and
passed over. A listed test that passes is a failure: its line must go.
"""

import logging
import pathlib
import sys
import unittest

import hypothesis
from loguru import logger

_ROOT = pathlib.Path(__file__).parent.parent
sys.path.insert(0, str(_ROOT / "benchmarks"))  # The stand-ins live there.
_MOST_KNOWN_RED = 3

# The same verdict on every run: no random seed, no database of examples, no
# time limit that a busy machine could break.
hypothesis.settings.register_profile(
    "ci",
    derandomize=True,
    database=None,
    deadline=None,
    print_blob=False,
    suppress_health_check=[hypothesis.HealthCheck.too_slow],
)
hypothesis.settings.load_profile("ci")


def _known_red() -> dict[str, str]:
    path = _ROOT / "KNOWN-RED.txt"
    if not path.exists():
        return {}
    lines = [line for line in path.read_text().splitlines() if line.strip()]
    if len(lines) > _MOST_KNOWN_RED:
        sys.exit(f"KNOWN-RED.txt: {len(lines)} lines, at most three")
    return {line.split(",", 1)[0].strip(): line for line in lines}


def _names(tests: unittest.TestSuite | unittest.TestCase) -> set[str]:
    """Returns the names of all tests of a suite."""
    if isinstance(tests, unittest.TestCase):
        return {tests.id()}
    return {name for each in tests for name in _names(each)}


def main() -> int:
    """Runs the tests and returns the exit status."""
    logger.remove()
    # Stand-ins that cut connections on purpose make their library complain.
    logging.disable(logging.ERROR)
    pattern = sys.argv[1] if len(sys.argv) > 1 else "test_*.py"
    suite = unittest.defaultTestLoader.discover(
        str(_ROOT / "tests"), pattern=pattern, top_level_dir=str(_ROOT)
    )
    names = _names(suite)
    result = unittest.TextTestRunner(verbosity=1).run(suite)
    known = _known_red()
    if len(sys.argv) > 1:
        # A run of some tests says nothing of the others.
        known = {name: line for name, line in known.items() if name in names}
    failed = {test.id() for test, _ in result.failures + result.errors}
    for name in sorted(failed & set(known)):
        print(f"known red: {known[name]}")
    healed = set(known) - failed
    for name in sorted(healed):
        print(f"listed in KNOWN-RED.txt but not failing: {name}")
    real = len(failed - set(known)) + len(healed)
    real += len(result.unexpectedSuccesses)
    print(f"{result.testsRun - len(failed)} passed, {real} failed")
    return 1 if real or not result.testsRun else 0


if __name__ == "__main__":
    sys.exit(main())
