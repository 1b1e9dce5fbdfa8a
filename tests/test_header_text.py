"""Names with any characters in headers, paths and relayed requests."""

import asyncio
import pathlib
import sys
import unittest

_FOLDER = pathlib.Path(__file__).parent.parent / "platform"
sys.path.insert(0, str(_FOLDER))

from endivestream.connection import engines  # noqa: E402
from endivestream.connection import header_text  # noqa: E402
from endivestream.connection import registry as registry_lib  # noqa: E402
from endivestream.request import relay_hosts  # noqa: E402
from endivestream.request import stream_origins  # noqa: E402
from endivestream.version import document as document_lib  # noqa: E402
import hypothesis  # noqa: E402
from hypothesis import strategies as st  # noqa: E402
import msgspec  # noqa: E402
import targets  # noqa: E402

from tests import entry_site  # noqa: E402
from tests import standin  # noqa: E402
from tests import test_document  # noqa: E402
from tests import test_forward  # noqa: E402
from tests import test_plan  # noqa: E402

_NAMES = ("Łódź Foil Press", "caf\u00e9", "\u65e5\u672c", "a\U0001f600")
_TEXTS = st.text(st.characters(exclude_categories=["Cs"]))
_TIMEOUT_SECONDS = 2.0


def _sent(value):
    """Returns the text in a header value that a stand-in has received."""
    return value.encode("latin-1").decode()


class HeaderTextTest(unittest.TestCase):
    @hypothesis.given(_TEXTS)
    def test_texts_pass_unchanged(self, text):
        value = header_text.encode(text)
        value.encode("latin-1")
        self.assertEqual(header_text.decode(value), text)

    @hypothesis.given(st.binary())
    def test_received_values_never_raise(self, value):
        text = value.decode("latin-1")
        header_text.decode(text)
        if header_text.is_request_target(text):
            # As the HTTP library writes it.
            self.assertEqual(header_text.decode(text).encode(), value)

    @hypothesis.given(_TEXTS, st.binary())
    def test_relayed_requests_carry_names_of_any_characters(self, name, event):
        """Guards against requests that cannot be relayed for a name."""
        origin = stream_origins.StreamOrigin(
            service=name, software=name, target=name
        )
        relayed = relay_hosts.RelayedRequest(
            host=name,
            version=1,
            tried=(name,),
            last_event=event.decode("latin-1"),
            origin=origin,
        )
        headers = {relay_hosts.REQUEST_HEADER: relayed.encode()}
        headers[relay_hosts.REQUEST_HEADER].encode("latin-1")
        self.assertEqual(relay_hosts.take_relayed_request(headers), relayed)
        text = relay_hosts.encode_origin(origin)
        text.encode("latin-1")
        self.assertEqual(relay_hosts.decode_origin(text), origin)

    def test_orders_to_targets_of_any_name_can_be_sent(self):
        """Guards against an error that ends the orders to an engine."""
        order = engines.Order(True, "m", "", 0, "h", 1)
        for name in _NAMES:
            fields = targets.Codec().order(order, name).headers
            self.assertEqual(_sent(fields["Expect-Instance"]), name)

    def test_a_team_s_name_without_a_header_value_is_invalid(self):
        """Guards against a team none of whose requests can be sent."""
        for name in ("a\r\nX-Key: b", "a\x00", "\x7f"):
            team = document_lib.Team(name=name, keys=("k",))
            found = document_lib.check(test_document.document(teams=[team]))
            self.assertIn("control characters", str(found[0]))
        for name in _NAMES:
            team = document_lib.Team(name=name, keys=("k",))
            document = test_document.document(teams=[team])
            self.assertEqual(document_lib.check(document), [])


class HeaderTextRequestTest(test_forward.ForwardTest):
    """Guards against requests without an answer for want of Latin-1."""

    async def _ask(self, **fields):
        async with asyncio.timeout(_TIMEOUT_SECONDS):
            return await self.caller.ask(**fields)

    async def test_teams_targets_and_keys_may_have_any_name(self):
        for name in _NAMES:
            with self.subTest(name=name):
                team = document_lib.Team(name=name, keys=(f"k{name}",))
                self._route(test_forward.ONCE, (team,))
                target = await self._start_target(
                    standin.says(standin.answer(body=b"done")), name=name
                )
                reply = await self._ask(Authorization=f"Bearer k{name}")
                self.assertEqual((reply.status, reply.body), (200, b"done"))
                headers = target.requests[0].headers
                self.assertEqual(_sent(headers["X-Team"]), name)
                self.assertEqual(_sent(headers["X-Expect-Target"]), name)
                self.view.set_targets([], [name])

    async def test_a_model_may_have_any_name(self):
        engine = test_plan.engine("ab")
        for name in _NAMES:
            model = msgspec.structs.replace(engine.models[0], name=name)
            self._route(
                test_forward.ONCE,
                engine=msgspec.structs.replace(engine, models=(model,)),
            )
            loaded = (registry_lib.Loaded(name),)
            target = await self._start_target(
                standin.says(standin.answer(body=b"done")), loaded=loaded
            )
            with self.subTest(name=name):
                reply = await self._ask(X_Model=name)
                self.assertEqual((reply.status, reply.body), (200, b"done"))
                sent = target.requests[0].headers["X-Model"]
                self.assertEqual(_sent(sent), name)
            self.view.set_targets([], list(self.view.targets))

    async def test_a_path_keeps_its_bytes_or_is_refused(self):
        """Guards against a target that gets another path."""
        self._route(test_forward.ONCE)
        target = await self._start_target(
            standin.says(standin.answer(body=b"done"))
        )
        reply = await self._ask(path="/x/Łódź?q=caf\u00e9")
        self.assertEqual((reply.status, reply.body), (200, b"done"))
        self.assertEqual(_sent(target.requests[0].path), "/x/Łódź?q=caf\u00e9")
        self.caller.writer.write(
            b"GET /x/caf\xe9 HTTP/1.1\r\nHost: a.example\r\n\r\n"
        )
        async with asyncio.timeout(_TIMEOUT_SECONDS):
            reply = await self.caller.reply()
        self.assertEqual(reply.status, 400)
        self.assertEqual(len(target.requests), 1)


class HeaderTextSiteTest(entry_site.EntrySite):
    async def test_requests_of_a_team_of_any_name_are_served(self):
        """Guards against a team whose requests are never answered."""
        teams = [
            document_lib.Team(name=name, keys=(f"k{number}",), rate=9, burst=9)
            for number, name in enumerate(_NAMES)
        ]
        await self._apply(test_document.document(1, teams=teams))
        await self._register()
        await self._wait_in_force(1)
        entry = self.entries[0]
        await self._wait_until(lambda: "t1" in entry._view.targets)
        for number, name in enumerate(_NAMES):
            reply = await self._send_request(
                entry, Authorization=f"Bearer k{number}"
            )
            self.assertEqual((reply.status, reply.body), (200, b"done"))
            sent = self.target.requests[-1].headers["X-Team"]
            self.assertEqual(_sent(sent), name)
