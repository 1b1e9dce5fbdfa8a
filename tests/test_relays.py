"""Tests for the relays of the leader's pushes within a failure domain."""

import asyncio
import unittest

from endivestream import site_messages
from endivestream.connection import links
from endivestream.connection import relays as relays_lib
from endivestream.process import push_relay
import hypothesis
from hypothesis import strategies as st
import zmq.asyncio


def _host(number, domain="a", *, peers=None, draining=False):
    peers = f"tcp://e{number}:1" if peers is None else peers
    return site_messages.EntryHost(
        f"e{number}", 1, domain, f"e{number}:80", draining, peers
    )


class SelectRelaysTest(unittest.TestCase):
    def test_small_domain_has_no_relays(self):
        hosts = [_host(n, "abc"[n % 3]) for n in range(8)]
        self.assertEqual(relays_lib.select_relays(hosts, "a").relays, ())

    def test_relay_serves_a_bounded_number_of_hosts(self):
        """One relay must not write all frames of a large domain."""
        domain_relays = relays_lib.select_relays(
            [_host(n) for n in range(78)], "a"
        )
        followers = {}
        for name in domain_relays.hosts:
            chosen = relays_lib.choose_relay(domain_relays, host=name)
            if name in domain_relays.relays:
                self.assertIsNone(chosen)
            else:
                followers.setdefault(chosen.name, []).append(name)
        self.assertEqual(set(followers), set(domain_relays.relays))
        self.assertLess(max(map(len, followers.values())), 40)

    def test_draining_hosts_and_hosts_without_peer_address_are_no_relays(
        self,
    ):
        hosts = [_host(n) for n in range(8)]
        (relay,) = relays_lib.select_relays(hosts, "a").relays
        number = int(relay[1:])
        for other in (_host(number, draining=True), _host(number, peers="")):
            hosts[number] = other
            self.assertNotIn(relay, relays_lib.select_relays(hosts, "a").relays)

    @hypothesis.given(st.integers(0, 60), st.sets(st.integers(0, 60)))
    def test_a_relay_is_never_one_that_is_avoided(self, count, avoided):
        """A host must not be assigned a relay that does not answer it."""
        domain_relays = relays_lib.select_relays(
            [_host(n) for n in range(count)], "a"
        )
        names = {f"e{n}" for n in avoided}
        for name in domain_relays.hosts:
            chosen = relays_lib.choose_relay(
                domain_relays, host=name, avoided=names
            )
            if chosen is not None:
                self.assertIn(chosen.name, domain_relays.relays)
                self.assertNotIn(chosen.name, names)
                self.assertNotIn(name, domain_relays.relays)


class PushRelayTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.context = zmq.asyncio.Context()
        self.relays, self.servers, self.hosts = {}, {}, []
        self.received, self.changes = {}, 0
        self.has_lease = True
        for number in range(8):
            await self._start(number)
        for relay in self.relays.values():
            relay.set_hosts(self.hosts)

    async def asyncTearDown(self):
        for relay in self.relays.values():
            await relay.close()
        for server in self.servers.values():
            await server.close()
        self.context.destroy(linger=0)

    async def _start(self, number):
        name = f"e{number}"

        async def answer(peer, message):
            return self.relays[name].handle_follow(peer, message)

        server = links.Server(
            address="tcp://127.0.0.1:*", handle=answer, context=self.context
        )
        server.start()
        self.servers[name] = server
        self.hosts.append(_host(number, peers=server.address))
        self.received[name] = []
        self.relays[name] = push_relay.PushRelay(
            host=name,
            domain="a",
            context=self.context,
            on_push=self.received[name].append,
            on_relay_changed=self._changed,
            has_lease=lambda: self.has_lease,
        )
        self.relays[name].start()

    def _changed(self):
        self.changes += 1

    async def _wait_until(self, condition):
        async with asyncio.timeout(20):
            while not condition():
                await asyncio.sleep(0.005)

    def _followers(self):
        return [name for name, r in self.relays.items() if r.relay]

    async def test_all_hosts_but_the_relay_receive_forwarded_pushes(self):
        await self._wait_until(lambda: len(self._followers()) == 7)
        (name,) = self.relays.keys() - set(self._followers())
        push = site_messages.Loads(loads={"t1": 3})
        await self.servers[name].push(self.relays[name].followers, push)
        others = self.relays.keys() - {name}
        await self._wait_until(lambda: all(self.received[n] for n in others))
        self.assertEqual(
            {n: self.received[n] for n in others},
            {key: [push] for key in others},
        )
        self.assertEqual(self.received[name], [])

    async def test_hosts_of_a_failed_relay_return_to_pushes_by_the_leader(self):
        """The failure of one host must not end the pushes to its domain."""
        await self._wait_until(lambda: len(self._followers()) == 7)
        (name,) = self.relays.keys() - set(self._followers())
        before = self.changes
        await self.servers.pop(name).close()
        await self._wait_until(lambda: not self._followers())
        self.assertEqual(self.changes, before + 7)

    async def test_host_without_lease_relays_nothing(self):
        """A relay that cannot reach the leader would leave its domain stale."""
        await self._wait_until(lambda: len(self._followers()) == 7)
        (name,) = self.relays.keys() - set(self._followers())
        self.has_lease = False
        await self._wait_until(lambda: not self._followers())
        self.assertEqual(self.relays[name].followers, [])
