"""Sends requests through other entry hosts, which reach their targets."""

from __future__ import annotations

import asyncio
import math

from tornado import httputil

from endivestream import clock
from endivestream.connection import exchange as exchange_lib
from endivestream.connection import sse
from endivestream.request import admission
from endivestream.request import answer_relay as answer_relay_lib
from endivestream.request import attempt_results
from endivestream.request import call as call_lib
from endivestream.request import names as names_lib
from endivestream.request import progress as progress_lib
from endivestream.request import relay_hosts as relay_hosts_lib
from endivestream.version import document as document_lib

# A host that is up accepts a connection within a few milliseconds.
_CONNECT_SECONDS = 0.4


class RelaySender:
    """Sends requests to relay hosts, for the lifetime of the process."""

    def __init__(
        self,
        *,
        names: names_lib.HeaderNames,
        pool: exchange_lib.Pool,
        answer_relay: answer_relay_lib.AnswerRelay,
    ) -> None:
        """Initializes the sender; opens no connection.

        Args:
            names: Header names.
            pool: Connections.
            answer_relay: Relays the answers.
        """
        self._names = names
        self._pool = pool
        self._answer_relay = answer_relay

    async def relay(
        self,
        call: call_lib.Call,
        work: admission.AdmittedRequest,
        progress: progress_lib.Progress,
        host: relay_hosts_lib.RelayHost,
        relayed: relay_hosts_lib.RelayedRequest,
    ) -> (
        attempt_results.BrokenAttempt
        | attempt_results.Passed
        | attempt_results.NotRelayed
    ):
        """Sends a request to a relay host and relays its answer."""
        progress.target = host.name
        progress.stream.serving = None
        progress.attempt = None
        progress.stage = "target"
        progress.starting = None
        progress.request_attempts += 1
        progress.first_sent_at = progress.first_sent_at or clock.now()
        exchange = exchange_lib.Exchange(
            pool=self._pool, url=f"http://{host.address}/"
        )
        has_not_run = False
        try:
            async with asyncio.timeout_at(
                clock.loop_time(work.deadline)
            ) as progress.timeout:
                await exchange.connect(seconds=_CONNECT_SECONDS)
                exchange.send(
                    call.method,
                    call.uri,
                    self._relayed_headers(call, work, relayed),
                    call.body,
                )
                head = await exchange.head(seconds=work.route.timeout)
                failure = await self._read_relay_failure(exchange, head)
                if failure is not None:
                    has_not_run = failure.has_not_run
                    return failure
                return await self._relay_from_host(
                    call, work, progress, exchange, head
                )
        except TimeoutError:
            return attempt_results.BrokenAttempt(exchange.sent, "timeout")
        except sse.TooLongError:
            return attempt_results.BrokenAttempt(True, "event_too_long")
        except exchange_lib.ExchangeError as error:
            return attempt_results.BrokenAttempt(
                error.sent, "broke_off" if error.sent else "no_way"
            )
        finally:
            if exchange.sent and not has_not_run:
                progress.may_have_run = True
                progress.sent_attempts += 1
            exchange.close()

    def _relayed_headers(
        self,
        call: call_lib.Call,
        work: admission.AdmittedRequest,
        relayed: relay_hosts_lib.RelayedRequest,
    ) -> httputil.HTTPHeaders:
        """Returns the caller's own headers and those of the relay.

        The time that the caller states is relayed unchanged: the relay host
        counts from the arrival at this host, too.
        """
        fields = answer_relay_lib.end_to_end_headers(call.headers)
        fields.pop("Content-Length", None)
        relay_hosts_lib.take_relayed_request(fields)
        header = relay_hosts_lib.request_header(work.route)
        fields[header] = relayed.encode()
        return fields

    async def _read_relay_failure(
        self, exchange: exchange_lib.Exchange, head: exchange_lib.Head
    ) -> attempt_results.NotRelayed | None:
        """Returns the failure of a relay host; None if a target answered."""
        reason = head.headers.get(relay_hosts_lib.FAILURE_HEADER)
        if reason is None:
            is_target_answer = self._names.request in head.headers
            if head.status != 400 or is_target_answer:
                return None
            # An older build does not know the header of relayed streams.
            return attempt_results.NotRelayed("unsupported", 503, None)
        await exchange.body(seconds=_CONNECT_SECONDS)
        retry_after = None
        text = head.headers.get(self._names.retry_after)
        if text is not None:
            retry_after = _parse_seconds(text)
        return attempt_results.NotRelayed(reason, head.status, retry_after)

    async def _relay_from_host(
        self,
        call: call_lib.Call,
        work: admission.AdmittedRequest,
        progress: progress_lib.Progress,
        exchange: exchange_lib.Exchange,
        head: exchange_lib.Head,
    ) -> attempt_results.BrokenAttempt | attempt_results.Passed:
        """Relays the answer of a target that a relay host got."""
        if head.headers.get(self._names.request, "") != work.request:
            return attempt_results.BrokenAttempt(True, "crossed_answer")
        if call.head_sent and head.status >= 300:
            return attempt_results.BrokenAttempt(True, f"target_{head.status}")
        text = head.headers.pop(relay_hosts_lib.ORIGIN_HEADER, "")
        progress.stream.serving = relay_hosts_lib.decode_origin(text)
        if work.route.kind == document_lib.Kind.STREAM and head.status < 300:
            return await self._answer_relay.relay_stream(
                call, work, progress, exchange, head
            )
        return await self._answer_relay.relay_buffered(
            call, work, progress, exchange, head
        )


def _parse_seconds(text: str) -> float | None:
    """Returns a time that a relay host states; None if it is not valid."""
    try:
        seconds = float(text)
    except ValueError:
        return None
    return seconds if 0 <= seconds < math.inf else None
