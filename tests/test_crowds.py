"""Crowds of clients that exceed or exhaust the limits of a host."""

import asyncio
import resource
import unittest

from tests import crowd_site

_LIMIT = crowd_site.MAX_BODY_BYTES
# Sent by a client that stops just short of the end of its body.
_SHORT_OF_LIMIT = _LIMIT - 1
_CHUNKED = crowd_site.head("Transfer-Encoding: chunked")


def _chunked_body(size, piece):
    yield _CHUNKED
    yield from crowd_site.chunked(size, piece)


def _one_chunk(size):
    yield _CHUNKED + b"%x\r\n" % (size + 1)
    yield from crowd_site.plain(size)


def _body_with_length(size, path="/x/", missing=1):
    yield crowd_site.head(f"Content-Length: {size + missing}", path=path)
    yield from crowd_site.plain(size)


class BodyCrowdTest(crowd_site.CrowdSite):
    async def test_unfinished_bodies_in_large_chunks(self):
        """Guards against bodies held without a bound while they are read."""
        await self.check_crowd(
            self.front, 150, lambda: _chunked_body(_SHORT_OF_LIMIT, 60_000)
        )

    async def test_unfinished_bodies_with_a_length(self):
        """Guards against bodies held without a bound while they are read."""
        await self.check_crowd(
            self.front, 150, lambda: _body_with_length(_SHORT_OF_LIMIT)
        )

    async def test_unfinished_bodies_of_one_chunk(self):
        """Guards against bodies held without a bound while they are read."""
        await self.check_crowd(
            self.front, 150, lambda: _one_chunk(_SHORT_OF_LIMIT)
        )

    async def test_chunked_bodies_over_the_limit(self):
        """Guards against a configured body limit that no listener applies."""
        await self.check_crowd(
            self.front, 30, lambda: _chunked_body(12 * _LIMIT, 60_000)
        )

    async def test_announced_bodies_over_the_limit(self):
        """Guards against a configured body limit that no listener applies."""
        await self.check_crowd(
            self.front, 30, lambda: _body_with_length(12 * _LIMIT)
        )

    async def test_bodies_of_waiting_requests(self):
        """Guards against whole bodies held without a bound for targets."""
        await self.check_crowd(
            self.front,
            150,
            lambda: _body_with_length(_LIMIT, crowd_site.HANG_PATH, missing=0),
        )

    async def test_many_header_fields(self):
        """Guards against heads that take far more memory than their bytes."""
        fields = [f"{n:x}:" for n in range(9000)]
        head = crowd_site.head("Content-Length: 9", *fields)
        self.assertLessEqual(len(head), crowd_site.MAX_HEADER_BYTES)
        await self.check_crowd(self.front, 150, lambda: iter([head]))


class AnswerCrowdTest(crowd_site.CrowdSite):
    async def test_unread_answers(self):
        """Guards against answers held without a bound for their callers."""
        request = crowd_site.head(
            "Content-Length: 0", path=crowd_site.LARGE_PATH
        )
        await self.check_crowd(
            self.front, 150, lambda: iter([request]), reads=False
        )

    async def test_unread_configurations(self):
        """Guards against answers of control hosts held without a bound."""
        request = crowd_site.head(method="GET", path="/config")
        await self.send_large_configuration()
        await self.check_crowd(
            self.control_address, 150, lambda: iter([request]), reads=False
        )


class SmallChunksTest(crowd_site.CrowdSite):
    async def test_small_chunks_do_not_delay_other_callers(self):
        """Guards against an event loop that mostly decodes small chunks.

        The bytes that the host reads of the crowd while it answers ordinary
        requests do not depend on the speed of the machine.
        """
        body = _CHUNKED + b"".join(crowd_site.chunked(120_000, 2))
        size = 16 * 1024

        def pieces():
            for start in range(0, len(body), size):
                yield body[start : start + size]

        gathering = asyncio.create_task(
            self.gather_crowd(self.front, 60, pieces)
        )
        await self._wait_for_first_reads()
        read_before = self._read_bytes()
        for _ in range(10):
            await self.check_served("beside small chunks")
        read_meanwhile = self._read_bytes() - read_before
        gathering.cancel()
        self.assertLess(read_meanwhile / 10, 128 * 1024)
        self.leave()
        await self.check_served("after the crowd")
        await self.check_hosts("after the crowd")

    async def _wait_for_first_reads(self):
        """Waits until the host has read from all clients.

        What it reads of a new connection before it decodes is no measure of
        its fairness.
        """
        async with asyncio.timeout(60):
            while len(self.crowd) < 60 or any(
                each.acknowledged_bytes < 64 * 1024 for each in self.crowd
            ):
                await asyncio.sleep(0.05)
        await self.check_served("as the crowd comes")

    def _read_bytes(self):
        """Returns the bytes of the crowd that the host has read."""
        acknowledged = sum(each.acknowledged_bytes for each in self.crowd)
        return acknowledged - self.edge.unread_bytes()


class PipelineCrowdTest(crowd_site.CrowdSite):
    async def test_unread_bytes_behind_a_running_request(self):
        """Guards against bytes that wait in the kernel without a bound."""

        def pieces():
            yield crowd_site.head(
                "Content-Length: 0", path=crowd_site.HANG_PATH
            )
            yield from crowd_site.plain(64 * _LIMIT)

        await self.check_crowd(self.front, 100, pieces)

    async def test_queued_requests_of_callers_who_left(self):
        """Guards against work for callers who have closed the connection."""
        hanging = crowd_site.head(
            "Content-Length: 0", path=crowd_site.HANG_PATH
        )

        def pieces():
            yield hanging
            yield hanging * 50

        await self.gather_crowd(self.front, 40, pieces)
        await self.check_served("beside the crowd")
        self.leave()
        await self._wait_until_idle()
        self.assertLessEqual(len(self.hanging_target.requests), 40)
        await self.check_served("after the crowd")
        await self.check_hosts("after the crowd")

    async def _wait_until_idle(self):
        """Waits until the host has closed its connections for the crowd."""
        for _ in range(100):
            if self.edge.descriptors < 100:
                return
            await asyncio.sleep(0.1)
        self.fail(f"{self.edge.descriptors} descriptors are still open")


class ConnectionCrowdTest(crowd_site.CrowdSite):
    async def test_idle_connections(self):
        """Guards against descriptors that idle connections use up."""
        await self.check_crowd(self.front, 400, lambda: iter([]))

    async def test_unfinished_heads(self):
        """Guards against descriptors that unfinished heads use up."""
        head = crowd_site.head("Content-Length: 0")[:-2]
        await self.check_crowd(self.front, 400, lambda: iter([head]))

    async def test_unfinished_small_bodies(self):
        """Guards against descriptors that unfinished bodies use up."""
        await self.check_crowd(
            self.front, 400, lambda: _body_with_length(9, missing=1)
        )

    async def test_kept_connections(self):
        """Guards against descriptors of callers who keep their connection."""
        request = crowd_site.head("Content-Length: 0")
        await self.check_crowd(self.front, 400, lambda: iter([request]))

    async def test_lack_of_descriptors(self):
        """Guards against an accept loop that stops the host at EMFILE.

        The kernel's limit is below the stated one.
        """
        resource.prlimit(
            self.edge.process.pid, resource.RLIMIT_NOFILE, (120, 120)
        )
        await self.check_crowd(self.front, 300, lambda: iter([]))


class ListenerCrowdTest(crowd_site.CrowdSite):
    """The same at the addresses that are not those of callers."""

    async def _check_bodies(self, address):
        await self.check_crowd(
            address, 40, lambda: _chunked_body(12 * _LIMIT, 60_000)
        )

    async def _check_connections(self, address):
        head = crowd_site.head("Content-Length: 0")[:-2]
        await self.check_crowd(address, 400, lambda: iter([head]))

    async def test_bodies_at_the_relay_address(self):
        """Guards against bodies without a bound between hosts."""
        await self._check_bodies(self.relay)

    async def test_bodies_at_the_readiness_check(self):
        """Guards against a listener with only the library's limits."""
        await self._check_bodies(self.ready)

    async def test_bodies_at_the_address_lookup(self):
        """Guards against a listener with only the library's limits."""
        await self._check_bodies(self.directory)

    async def test_bodies_at_the_metrics_of_an_entry_host(self):
        """Guards against a listener with only the library's limits."""
        await self._check_bodies(self.edge_metrics)

    async def test_bodies_at_the_control_host(self):
        """Guards against a listener with only the library's limits."""
        await self._check_bodies(self.control_address)

    async def test_bodies_at_the_metrics_of_a_control_host(self):
        """Guards against a listener with only the library's limits."""
        await self._check_bodies(self.control_metrics)

    async def test_connections_at_the_relay_address(self):
        """Guards against descriptors that one listener takes from others."""
        await self._check_connections(self.relay)

    async def test_connections_at_the_readiness_check(self):
        """Guards against descriptors that one listener takes from others."""
        await self._check_connections(self.ready)

    async def test_connections_at_the_address_lookup(self):
        """Guards against descriptors that one listener takes from others."""
        await self._check_connections(self.directory)

    async def test_connections_at_the_metrics_of_an_entry_host(self):
        """Guards against descriptors that one listener takes from others."""
        await self._check_connections(self.edge_metrics)

    async def test_connections_at_the_control_host(self):
        """Guards against descriptors that one listener takes from others."""
        await self._check_connections(self.control_address)

    async def test_connections_at_the_metrics_of_a_control_host(self):
        """Guards against descriptors that one listener takes from others."""
        await self._check_connections(self.control_metrics)


if __name__ == "__main__":
    unittest.main()
