"""The folder `platform/`: what is read there; nothing that comes breaks it."""

import json
import pathlib
import sys
import tomllib
import unittest

_FOLDER = pathlib.Path(__file__).parent.parent / "platform"
sys.path.insert(0, str(_FOLDER))

import documents  # noqa: E402
from endivestream import findings  # noqa: E402
from endivestream.connection import engines  # noqa: E402
from endivestream.version import document as document_lib  # noqa: E402
import hypothesis  # noqa: E402
from hypothesis import strategies as st  # noqa: E402
import settings  # noqa: E402
import targets  # noqa: E402

CONFIG = {
    "version": 7,
    "routes": [
        {
            "name": "r1",
            "host": "a.example",
            "pathPrefix": "/x/",
            "routeKind": "streaming",
            "timeoutMs": 20000,
            "objectiveMs": 4000,
            "priority": 1,
            "service": "llm",
            "maxAttempts": 2,
            "anonymous": False,
            "sticky": True,
            "resumable": True,
            "gapObjectiveMs": 300,
        },
        {
            "name": "r2",
            "host": "a.example",
            "pathPrefix": "/y/",
            "routeKind": "non_idempotent",
            "timeoutMs": 1500,
            "split": [
                {"service": "llm", "weight": 9},
                {"service": "desk", "weight": 1},
            ],
        },
    ],
    "services": [
        {
            "name": "llm",
            "healthPath": "/h",
            "maxConns": 360,
            "engine": {
                "slots": 64,
                "kvCapacity": 1000,
                "weightsMb": 230.0,
                "adapterSlots": 8,
                "loadsPerS": 2.6,
                "models": [
                    {
                        "name": "m",
                        "weightsMb": 65.1,
                        "loadS": 3.8,
                        "warmS": 0.6,
                        "diskS": 0.78,
                        "adapters": 3,
                        "adapterSizeMb": 12.0,
                    }
                ],
            },
        },
        {"name": "desk", "healthPath": "/h", "maxConns": 100},
    ],
    "limits": {"idleTimeoutMs": 15000},
    "tenants": [
        {
            "name": "Państwowy Zakład",
            "apiKeys": ["k1"],
            "priority": 1,
            "unit": "tokens",
            "plainTokens": 200,
            "ratePerS": 100,
            "burst": 150,
        }
    ],
    "somethingNew": {"a": 1},
}

BEAT = {
    "service": "llm",
    "address": "10.0.0.9:8080",
    "zone": "z",
    "version": "v1",
    "slots": 64,
    "state": "ready",
    "coldLeftMs": 0,
    "models": [{"name": "m", "version": 1, "adapters": ["a1"]}],
    "available": {"inMemory": ["m2"], "onDisk": ["m", "m3"]},
    "seq": 4,
    "born": 1770000000000,
}

SETTINGS = {
    "node": "core-1",
    "ip": "10.0.0.1",
    "zone": "z",
    "listen": {"control": "10.0.0.1:80"},
    "internalPorts": [7600, 7615],
    "seeds": ["10.0.0.1:80", "10.0.0.2:80", "10.0.0.3:80"],
    "bootstrap": True,
    "dataDir": "/data/x",
    "heartbeatMs": 1200,
    "faultTolerance": {"machines": 1},
    "bounds": {"revokeMs": 5000, "graceS": 8, "ttl_max_s": 5},
}

_JSON = st.recursive(
    st.none() | st.booleans() | st.integers(-5, 9) | st.text(max_size=4),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(st.text(max_size=4), inner, max_size=3)
    ),
    max_leaves=6,
)


def spoilt(given, data):
    """Returns a message with one of its values replaced, taken out or added."""
    copy = json.loads(json.dumps(given))
    at = copy
    while True:
        keys = list(at) if isinstance(at, dict) else list(range(len(at)))
        if not keys:
            return copy
        key = data.draw(st.sampled_from(keys))
        deeper = isinstance(at[key], dict | list) and data.draw(st.booleans())
        if deeper:
            at = at[key]
            continue
        if data.draw(st.booleans()):
            del at[key]
        else:
            at[key] = data.draw(_JSON)
        return copy


class ConfigurationTest(unittest.TestCase):
    def test_what_is_read(self):
        body = json.dumps(CONFIG).encode()
        read = documents.read(body)
        stream, once = read.routes
        self.assertEqual(stream.kind, document_lib.Kind.STREAM)
        self.assertEqual(stream.timeout, 20.0)
        self.assertEqual(stream.gap, 0.3)
        self.assertTrue(stream.repeatable)
        self.assertFalse(once.repeatable)
        self.assertEqual(once.objective, 1.5)
        self.assertEqual([c.weight for c in once.choices], [9, 1])
        self.assertEqual(read.services[0].engine.models[0].disk_seconds, 0.78)
        self.assertTrue(read.teams[0].by_tokens)
        self.assertEqual(read.source, body)

    def test_invalid_ones_are_refused_with_a_reason(self):
        for spoil, word in (
            (lambda c: c["routes"][0].update(service="none"), "service"),
            (lambda c: c["routes"][1].update(pathPrefix="/x/"), "also that of"),
            (lambda c: c["routes"][0].update(timeoutMs=0), "timeout"),
            (lambda c: c["routes"][1]["split"].clear(), "service"),
            (
                lambda c: c["tenants"].append({"name": "x", "apiKeys": ["k1"]}),
                "shares a key",
            ),
            (lambda c: c["routes"][0].update(routeKind="odd"), "routeKind"),
            (lambda c: c.pop("version"), "version"),
        ):
            config = json.loads(json.dumps(CONFIG))
            spoil(config)
            found = documents.read(json.dumps(config).encode())
            self.assertIsInstance(found, list, word)
            self.assertIn(word, " ".join(map(str, found)))

    @hypothesis.given(st.integers(0, len(json.dumps(CONFIG)) - 1))
    def test_one_that_is_cut_short_is_refused(self, length):
        found = documents.read(json.dumps(CONFIG).encode()[:length])
        self.assertIsInstance(found, list)

    @hypothesis.given(st.data())
    def test_no_document_raises(self, data):
        body = json.dumps(spoilt(CONFIG, data)).encode()
        read = documents.read(body)
        self.assertIsInstance(read, list | document_lib.Document)

    @hypothesis.given(st.binary(max_size=40))
    def test_no_bytes_raise(self, body):
        self.assertIsInstance(documents.read(body), list)


class TargetsTest(unittest.TestCase):
    def test_what_a_report_says(self):
        said = targets.read_beat("i-1", json.dumps(BEAT).encode())
        self.assertEqual(said.name, "i-1")
        self.assertEqual(said.number, 4)
        self.assertEqual(said.loaded[0].adapters, ("a1",))
        self.assertEqual(said.on_disk, ("m", "m3"))
        self.assertFalse(said.draining)

    def test_notice_of_the_end(self):
        beat = BEAT | {"state": "draining", "remainingMs": 2500}
        said = targets.read_beat("i-1", json.dumps(beat).encode())
        self.assertTrue(said.draining)
        self.assertEqual(said.leaves_in, 2.5)

    def test_an_unknown_state_names_the_valid_ones(self):
        beat = json.dumps(BEAT | {"state": "odd"}).encode()
        self.assertIn("ready, draining", targets.read_beat("i-1", beat))

    @hypothesis.given(st.data())
    def test_no_report_raises(self, data):
        body = json.dumps(spoilt(BEAT, data)).encode()
        targets.read_beat("i-1", body)

    @hypothesis.given(st.binary(max_size=40))
    def test_no_bytes_raise(self, body):
        self.assertIsInstance(targets.read_beat("i-1", body), str)
        self.assertIsNone(targets.Codec().report(body))

    def test_an_order_as_it_is_written(self):
        order = engines.Order(
            load=True, model="m", adapter="", expected=0, holder="h", fence=3
        )
        request = targets.Codec().order(order, "i-1")
        self.assertEqual(request.headers["Expect-Instance"], "i-1")
        body = json.loads(request.body)
        self.assertEqual(
            body,
            {
                "operation": "load",
                "model": "m",
                "precondition": 0,
                "holder": "h",
                "fencingToken": 3,
            },
        )


class SettingsTest(unittest.TestCase):
    _PLACE = findings.Place("settings")

    def _read(self, **changes):
        raw = json.dumps(SETTINGS | changes).encode()
        return settings.decode(raw, self._PLACE)

    def test_what_is_read(self):
        site = self._read().site
        self.assertEqual(site.peers, "tcp://10.0.0.1:7600")
        self.assertEqual(site.controls[2], "tcp://10.0.0.3:7600")
        self.assertEqual(site.voters, 3)
        self.assertLess(site.lease_seconds, 5.0)

    def test_bounds_that_leave_no_time_are_refused(self):
        found = self._read(bounds={"revokeMs": 900})
        self.assertIsInstance(found, list)
        self.assertIn("must be at least", str(found[0]))

    def test_a_missing_field_is_named(self):
        raw = json.dumps({k: v for k, v in SETTINGS.items() if k != "ip"})
        found = settings.decode(raw.encode(), self._PLACE)
        self.assertIn("ip", str(found[0]))


class DeployTest(unittest.TestCase):
    def test_metrics_are_shown_where_the_deploy_file_says(self):
        """An incident is examined by metrics; a wrong port shows none."""
        file = _FOLDER.parent / "deploy" / "system.toml"
        roles = tomllib.loads(file.read_text())["roles"]
        for role in roles.values():
            expected = f"{settings.METRICS_PORT}/metrics"
            self.assertEqual(role["metrics"], expected)
