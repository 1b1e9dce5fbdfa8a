"""Numbers of tokens in requests that are no such numbers."""

from endivestream.request import credit_shares as credit_shares_lib
from endivestream.version import document as document_lib
import hypothesis
from hypothesis import strategies as st

from tests import entry_site
from tests import standin
from tests import test_document
from tests import test_forward

_ODD_COUNTS = (
    "nan,1",
    "1,nan",
    "inf,1",
    "1e999,1",
    "1e308,1",
    "-100000,0",
    "100,-1",
    "9" * 5000,
    "9" * 19 + ",1",
    "1.5,1",
    "1_0,1",
    "1,1,1",
    "\u00b2,1",
    "many",
    ",",
    ",1",
    "",
)
_TEAM = document_lib.Team(
    name="band", keys=("k",), rate=1.0, burst=200.0, by_tokens=True
)
_KEY = {"Authorization": "Bearer k"}


class TokenCountTest(test_forward.ForwardTest):
    async def _ask(self, text):
        return await self.caller.ask(X_Tokens=text, **_KEY)

    async def _check_refused(self, text):
        reply = await self._ask(text)
        self.assertEqual(reply.status, 400, text[:40])

    async def asyncSetUp(self):
        await super().asyncSetUp()
        self._route(test_forward.ONCE, (_TEAM,))
        self.target = await self._start_target(
            standin.says(standin.answer(body=b"done"))
        )

    async def test_odd_counts_are_refused_and_not_charged(self):
        """Guards against credit that a caller adds, or takes for ever."""
        for text in _ODD_COUNTS:
            await self._check_refused(text)
        self.assertEqual((self.credit.taken, self.target.requests), ([], []))

    async def test_a_repeated_count_is_refused(self):
        """Guards against a target that reads another of two counts."""
        self.caller.writer.write(
            b"POST /x/ HTTP/1.1\r\nHost: a.example\r\n"
            b"Authorization: Bearer k\r\nContent-Length: 0\r\n"
            b"X-Tokens: 100\r\nX-Tokens: 10\r\n\r\n"
        )
        self.assertEqual((await self.caller.reply()).status, 400)
        self.assertEqual(self.target.requests, [])

    async def test_counts_are_charged(self):
        for text, cost in (
            ("1460,80", 1540.0),
            (" 1460 , 80 ", 1540.0),
            ("1460", 1460.0),
            ("1460,", 1460.0),
            ("0,0", 0.0),
            ("007,1", 8.0),
        ):
            self.assertEqual((await self._ask(text)).status, 200, text)
            self.assertEqual(self.credit.taken.pop(), cost, text)


class CountPropertyTest(test_forward.ForwardTest):
    """Guards against a count that ends the session with the leader."""

    async def test_counts_are_charged_as_reportable_credit_or_refused(self):
        self._route(test_forward.ONCE, (_TEAM,))
        await self._start_target(standin.says(standin.answer(body=b"done")))
        texts = st.one_of(
            st.text(st.characters(min_codepoint=32, max_codepoint=126)),
            st.tuples(st.integers(), st.integers()).map("{0[0]},{0[1]}".format),
            st.tuples(st.floats(), st.floats()).map("{0[0]},{0[1]}".format),
            st.sampled_from(_ODD_COUNTS),
        )
        found = []

        @hypothesis.given(texts)
        @hypothesis.settings(max_examples=300, database=None)
        def collect(text):
            found.append(text)

        collect()
        for text in found:
            reply = await self.caller.ask(X_Tokens=text, **_KEY)
            self.assertIn(reply.status, (200, 400), text[:40])
            shares = credit_shares_lib.CreditShares()
            for cost in self.credit.taken:
                self.assertGreaterEqual(cost, 0.0)
                shares.record_demand("band", cost)
                shares.spend("band", cost, 0.0)
            for need in shares.needs(1.0):
                self.assertLess(need.wanted, 2**63)
            self.credit.taken.clear()


class CountSiteTest(entry_site.EntrySite):
    async def test_odd_counts_disturb_nobody(self):
        """Guards against requests refused after another caller's count."""
        document = test_document.document(teams=[_TEAM])
        await self._apply(document)
        await self._register()
        await self._wait_in_force(1)
        entry = self.entries[0]
        fields = {"X_Deadline_Ms": 900, **_KEY}
        for text in _ODD_COUNTS:
            reply = await self._send_request(entry, X_Tokens=text, **fields)
            self.assertEqual(reply.status, 400, text[:40])
        await self._wait_until(lambda: entry.version == 1)
        reply = await self._send_request(entry, X_Tokens="100,10", **fields)
        self.assertEqual(reply.status, 200)
        reply = await self._send_request(entry, X_Tokens="150,0", **fields)
        self.assertEqual(reply.status, 429)
