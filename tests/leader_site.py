"""A leader with a whole site before it, in virtual time, for tests of its load.

The leader is the real one behind a real server of links; frames cost it time
of its event loop as on a control host with a third of a core. Entry hosts and
targets are tasks that cost nothing.
"""

import asyncio
import collections
import socket
import types
from unittest import mock

from endivestream import clock
from endivestream import messages
from endivestream import site_messages
from endivestream.connection import links
from endivestream.connection import registry as registry_lib
from endivestream.connection import relays as relays_lib
from endivestream.process import control as control_lib
from endivestream.process import entry_credit
from endivestream.process import site_leading
from endivestream.process import site_settings
from endivestream.request import allowance as allowance_lib
from endivestream.version import document as document_lib
from endivestream.version import members as members_lib
from endivestream.version import state as state_lib
import zmq

from tests import test_document

# Seconds of the leader's loop, with what goes on around a frame.
READ_SECONDS = 0.0006
ENCODE_SECONDS = 0.00005
ENCODE_SECONDS_PER_BYTE = 0.15e-6
SEND_SECONDS = 0.0003
_LOOK_SECONDS = 0.01
_ENCODE = messages.encode

SETTINGS = site_settings.SiteSettings(
    name="c0",
    domain="a",
    domains={"a": ""},
    region="",
    callers="",
    peers="tcp://c0",
    controls=("tcp://c0",),
    data_folder="",
    first_start=True,
    losses=1,
    report=1.2,
    bounds=site_settings.Bounds(config=2.5),
)


# A follower's request interval plus its answer timeout.
RELAY_LOSS_SECONDS = 0.6 + 0.25


class Log:
    """A replicated log of one."""

    leads = True
    term = 1
    identity = "c0"

    def __init__(self):
        self.state = state_lib.State()
        member = members_lib.Member("c0", "c0", "tcp://c0")
        self.replica = types.SimpleNamespace(
            members=members_lib.Members(voters=(member,)),
            first_own=1,
            commit=1,
            silent_for=lambda identity: 0.0,
            matched=lambda identity: 1,
        )
        self.on_applied = lambda command, result: None

    async def propose(self, command):
        result = self.state.apply(1, command)
        self.on_applied(command, result)
        return result


def _decode_id(frame):
    return messages.decode(frame).id


def encode(envelope, site):
    """Encodes a frame on the leader's time."""
    frame = _ENCODE(envelope)
    site.charge(ENCODE_SECONDS + len(frame) * ENCODE_SECONDS_PER_BYTE)
    return frame


class Wire:
    """The server's socket: what it reads and sends costs it time."""

    def __init__(self, site):
        self._site = site
        self._arrived = collections.deque()
        # Readable while frames wait.
        self._read_end, self._write_end = socket.socketpair()
        self.FD = self._read_end.fileno()

    def setsockopt(self, *_):
        pass

    def bind(self, *_):
        pass

    def close(self):
        self._read_end.close()
        self._write_end.close()

    def getsockopt_string(self, _):
        return "tcp://c0"

    def deliver(self, peer, message, number):
        envelope = messages.Envelope(number, message)
        self._arrived.append((peer, envelope))
        if len(self._arrived) == 1:
            self._write_end.send(b"1")

    def recv_multipart(self, flags):
        assert flags == zmq.NOBLOCK
        if not self._arrived:
            raise zmq.Again
        peer, envelope = self._arrived.popleft()
        if not self._arrived:
            self._read_end.recv(1)
        self._site.charge(READ_SECONDS)
        return [peer, _ENCODE(envelope)]

    def send_multipart(self, frames, flags):
        assert flags == zmq.NOBLOCK
        peer, frame = frames
        self._site.charge(SEND_SECONDS)
        self._site.sent(peer, frame)


class Host:
    """An entry host: renews, and keeps what it is told."""

    def __init__(self, site, number, domain):
        self.name = f"e{number}"
        self.domain = domain
        # The name of the relay that this host follows.
        self.relay = ""
        self.followers = []
        self.is_frozen = False
        self.loads = []
        self.incarnation = 1
        self.peer = self.name.encode()
        self.targets = {}
        self.version = 0
        self.version_at = {}
        self.documents = 0
        self.position = site_messages.Position()
        self.frames = 0
        self.size = 0
        self.lease_until = 0.0
        self.is_cut_off = False
        self.credit = entry_credit.EntryCredit(
            allowance=allowance_lib.Allowance(), watch=self, host=self.name
        )
        self._site = site
        self._answers = {}
        self._number = 0

    @property
    def entry(self):
        """The entry that the host sends with its renewals."""
        return site_messages.EntryHost(
            self.name,
            self.incarnation,
            self.domain,
            f"{self.name}:1",
            False,
            f"tcp://{self.name}",
        )

    def heard(self, frame, *, from_relay=False):
        if self.is_cut_off or self.is_frozen:
            return
        self.frames += 1
        self.size += len(frame)
        envelope = messages.decode(frame)
        if envelope.id:
            answer = self._answers.pop(envelope.id, None)
            if answer is not None and not answer.done():
                answer.set_result(envelope.body)
            return
        if not from_relay:
            for follower in self.followers:
                if follower.relay == self.name:
                    follower.heard(frame, from_relay=True)
        match envelope.body:
            case site_messages.News():
                self._take(envelope.body)
            case site_messages.Loads(loads=loads):
                self.loads.append((clock.now(), loads))

    def _take(self, news):
        self.documents += news.document is not None
        if news.document is not None and news.document.version > self.version:
            self.version = news.document.version
            self.version_at[self.version] = clock.now()
        self._take_table(news)
        leaving = news.gone or any(t.said.draining for t in news.targets)
        if news.document is None and not leaving:
            return
        self._site.wire.deliver(
            self.peer,
            site_messages.Confirm(
                host=self.name, version=self.version, position=self.position
            ),
            0,
        )

    def _take_table(self, news):
        if news.position <= self.position:
            return
        after = news.after
        if after is None:
            self.targets = {}
        elif (
            after.term != self.position.term
            or after.number > self.position.number
        ):
            return
        for target in news.targets:
            self.targets[target.said.name] = target
        for name in news.gone:
            self.targets.pop(name, None)
        self.position = news.position

    async def ask(self, message, *, seconds=0.4):
        """Returns the leader's answer; None if it does not come in time."""
        self._site.questions += 1
        self._number += 1
        answer = asyncio.get_running_loop().create_future()
        self._answers[self._number] = answer
        self._site.wire.deliver(self.peer, message, self._number)
        try:
            async with asyncio.timeout(seconds):
                return await answer
        except TimeoutError:
            self._site.unanswered += 1
            return None

    async def renew(self):
        if self.is_frozen:
            return None
        sent = clock.now()
        answer = await self.ask(
            site_messages.Renew(
                host=self.entry,
                version=self.version,
                position=self.position,
                relay=self.relay,
            )
        )
        if isinstance(answer, site_messages.Renewed):
            self.lease_until = sent + answer.seconds
            if answer.news:
                self._take(answer.news)
        return answer


class Site:
    """A leader, its entry hosts and its targets."""

    def __init__(self, *, hosts, targets, domains=1):
        self.loop = asyncio.get_running_loop()
        self.wire = Wire(self)
        self.hosts = [Host(self, n, f"d{n % domains}") for n in range(hosts)]
        self.pushed_bytes = 0
        self.pushed_frames = 0
        self.targets = [f"t{n}" for n in range(targets)]
        self.unanswered = 0
        self.granted = 0
        self.questions = 0
        self.latest = 0.0
        self.log = Log()
        self._by_peer = {host.peer: host for host in self.hosts}
        self._reports = 0
        self._leaving = set()
        self._tasks = []
        self._server = links.Server(
            address="tcp://c0",
            handle=self._handle,
            context=types.SimpleNamespace(
                socket=lambda kind, socket_class: self.wire
            ),
        )

    async def start(self):
        self._encoding = mock.patch.object(
            messages, "encode", lambda envelope: encode(envelope, self)
        )
        self._encoding.start()
        self._server.start()
        self.leading = site_leading.SiteLeading(
            settings=SETTINGS,
            lead=control_lib.Lead(self.log, self._server.push),
        )
        self.log.on_applied = self.leading.applied
        self.leading.start()
        self.repeat(_LOOK_SECONDS, self._look)
        return self

    async def close(self):
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self.leading.close()
        await self._server.close()
        self._encoding.stop()

    def charge(self, seconds):
        self.loop.charge(seconds)

    def sent(self, peer, frame):
        host = self._by_peer.get(peer)
        if _decode_id(frame) == 0:
            self.pushed_bytes += len(frame)
            self.pushed_frames += 1
        if host is not None:
            host.heard(frame)

    async def _handle(self, peer, message):
        return await self.leading.handle(peer, message)

    def repeat(self, seconds, work, *, first=0.0):
        """Does something again and again for as long as the site runs."""

        async def run():
            await asyncio.sleep(first)
            while True:
                due = clock.now() + (await work() or seconds)
                await asyncio.sleep(max(0.0, due - clock.now()))

        self._tasks.append(asyncio.create_task(run()))

    async def _look(self):
        due = clock.now() + _LOOK_SECONDS
        await asyncio.sleep(_LOOK_SECONDS)
        self.latest = max(self.latest, clock.now() - due)

    # What the site does.

    async def renew(self, host):
        """Renews; returns the seconds until the next renewal, if given."""
        answer = await host.renew()
        return getattr(answer, "every", None)

    def follow_relays(self):
        """Makes hosts follow the relays of their domains."""
        entries = [host.entry for host in self.hosts]
        by_name = {host.name: host for host in self.hosts}
        for host in self.hosts:
            domain_relays = relays_lib.select_relays(entries, host.domain)
            relay = relays_lib.choose_relay(domain_relays, host=host.name)
            if relay is not None:
                host.relay = relay.name
                by_name[relay.name].followers.append(host)

    async def freeze(self, host):
        """Stops a host; its followers leave it once they detect the loss."""
        host.is_frozen = True
        await asyncio.sleep(RELAY_LOSS_SECONDS)
        for follower in host.followers:
            follower.relay = ""

    async def ask_credit(self, host):
        """A request that needs more credit than its host holds."""
        team = document_lib.Team(name="band", keys=("k",), rate=9e9, burst=9e9)
        await host.credit.take(team, 1.0, soon=0.5, patience=0.5)

    async def ask_send(self, host, target, rate):
        """A request for a target that names a limit."""
        answer = await host.ask(
            site_messages.AskSend(
                limit=site_messages.RateLimit(target, 1, rate, 0.0),
                patience=1.0,
            ),
            seconds=0.15,
        )
        self.granted += getattr(answer, "wait", None) is not None

    async def leave(self, target):
        """A target says that it leaves; returns when that was confirmed."""
        self._leaving.add(target)
        said = self._said(target)
        await self.leading.handle(b"c1", site_messages.Register(said=said))
        return clock.now()

    async def report(self, target, *, loaded=()):
        said = self._said(target, loaded=loaded)
        self.wire.deliver(b"c1", site_messages.Register(said=said), 0)

    def _said(self, target, *, loaded=()):
        self._reports += 1
        return registry_lib.Registration(
            name=target,
            service="llm",
            address=f"{target}:1",
            domain="a",
            born=1,
            number=self._reports,
            draining=target in self._leaving,
            loaded=tuple(registry_lib.Loaded(model) for model in loaded),
        )

    async def change(self, target):
        """A target says something that entry hosts act on."""
        await self.report(target, loaded=(f"m{self._reports}",))

    async def apply(self, version, *, routes=1):
        """Has a document committed; returns when it was confirmed."""
        document = test_document.document(
            version,
            routes=[
                test_document.route(f"r{n}", prefix=f"/{n}/")
                for n in range(routes)
            ],
        )
        await self.leading.handle(b"c1", site_messages.Apply(document=document))
        return clock.now()

    def run_hosts(self, *, every, credit):
        """Has all hosts renew, and ask for credit so often together."""
        for number, host in enumerate(self.hosts):
            begin = every * number / len(self.hosts)
            self.repeat(every, lambda h=host: self.renew(h), first=begin)
        for number in range(credit):
            host = self.hosts[number % len(self.hosts)]
            self.repeat(
                1.0, lambda h=host: self.ask_credit(h), first=number / credit
            )

    def run_limits(self, *, rate, asks):
        """Has all targets name a limit, and hosts ask for sends."""
        for number in range(asks):
            host = self.hosts[number % len(self.hosts)]
            target = self.targets[number % len(self.targets)]
            self.repeat(
                1.0,
                lambda h=host, t=target: self.ask_send(h, t, rate),
                first=number / asks,
            )

    def run_targets(self, *, changes):
        """Has targets report, and change so often a second together."""
        for number, target in enumerate(self.targets):
            self.repeat(
                SETTINGS.report,
                lambda t=target: self.report(t),
                first=SETTINGS.report * number / len(self.targets),
            )
        for number in range(changes):
            target = self.targets[number % len(self.targets)]
            self.repeat(
                1.0, lambda t=target: self.change(t), first=number / changes
            )
