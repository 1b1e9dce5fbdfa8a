"""Proof that a connection belongs to the target process that the table lists.

A target may start again under its id and address with other software, and the
table of targets is older than that start. A connection belongs to one process,
so a process that states its start time on it is proved for as long as the
connection lives.
"""

from __future__ import annotations

import collections
from collections.abc import Mapping
import weakref

from tornado import iostream

from endivestream.connection import engines as engines_lib
from endivestream.connection import exchange as exchange_lib
from endivestream.connection import registry as registry_lib

# An engine answers a report without a slot, within milliseconds.
_ANSWER_SECONDS = 0.4
# Answers of targets that have no reports.
_UNSUPPORTED_STATUSES = frozenset({404, 405, 501})


class ProcessProof:
    """Queries processes on connections; lives as long as the pool."""

    def __init__(self, *, codec: engines_lib.Codec | None) -> None:
        """Initializes without proofs.

        Args:
            codec: Encodes and decodes reports; None if targets send none, and
                nothing is proved.
        """
        self._codec = codec
        self._started_at_ms: weakref.WeakKeyDictionary[
            iostream.IOStream, int | None
        ] = weakref.WeakKeyDictionary()
        self._results: collections.Counter[str] = collections.Counter()

    @property
    def results(self) -> Mapping[str, int]:
        """Number of queries by result.

        `same`, `other`, `unknown` without a start time, or `unreadable`.
        """
        return self._results

    def is_queried(self, exchange: exchange_lib.Exchange) -> bool:
        """Returns whether the process on a connection needs no query."""
        return exchange.connection in self._started_at_ms

    async def started_at_ms(
        self,
        exchange: exchange_lib.Exchange,
        registration: registry_lib.Registration,
    ) -> int:
        """Returns the start time of the process on an acquired connection.

        That of the registration if the process does not state it.

        Raises:
            ExchangeError: The process does not answer with a report; `sent` is
                False.
        """
        connection = exchange.connection
        if self._codec is None or connection is None:
            return registration.started_at_ms
        if not self.is_queried(exchange):
            request = self._codec.ask_report()
            status, body = await exchange.query(
                request.method,
                request.path,
                request.headers,
                seconds=_ANSWER_SECONDS,
            )
            report = self._codec.report(body) if status == 200 else None
            if report is None and status not in _UNSUPPORTED_STATUSES:
                # An overloaded or starting process may be another one.
                self._results["unreadable"] += 1
                raise exchange_lib.ExchangeError(
                    f"{request.path}: no report, status {status}", sent=False
                )
            started_at_ms = report.started_at_ms if report else None
            self._started_at_ms[connection] = started_at_ms
            self._count(started_at_ms, registration)
        started_at_ms = self._started_at_ms[connection]
        if started_at_ms is None:
            return registration.started_at_ms
        return started_at_ms

    def _count(
        self,
        started_at_ms: int | None,
        registration: registry_lib.Registration,
    ) -> None:
        if started_at_ms is None:
            self._results["unknown"] += 1
        elif started_at_ms == registration.started_at_ms:
            self._results["same"] += 1
        else:
            self._results["other"] += 1
