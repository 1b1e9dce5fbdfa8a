"""Attempts of one request: consecutive tickets for slots on targets.

Shared by generations and service calls: the number of attempts, the backoff
and retry budget, and the release of every ticket.
"""

from __future__ import annotations

import asyncio
import random
import time
from typing import NamedTuple

from endivestream import findings
from endivestream import logs
from endivestream import messages
from endivestream.connection import exchange as exchange_lib
from endivestream.process import gateway as gateway_lib
from endivestream.request import retries
from endivestream.request import target_announcements


class AttemptWork(NamedTuple):
    """The work for which a ticket is requested.

    Attributes:
        request: Id of the request.
        team: Team of the caller.
        needs: Name of a model, or `service:NAME`.
        tokens: Expected work, in tokens.
        blocks: Hashes of the prompt's blocks; see `prefixes`.
        deadline: Latest time at which a ticket is useful, by the monotonic
            clock.
    """

    request: str
    team: str
    needs: str
    tokens: int
    blocks: tuple[int, ...]
    deadline: float


class Attempts:
    """Requests and releases tickets, and decides on further attempts.

    Attributes:
        failure_cause: Cause of the last attempt's failure; empty before the
            first.
    """

    def __init__(
        self,
        *,
        gateway: gateway_lib.Gateway,
        budget: retries.RetryBudget,
        rng: random.Random,
        work: AttemptWork,
    ) -> None:
        self.failure_cause = ""
        self._gateway = gateway
        self._budget = budget
        self._rng = rng
        self._work = work
        self._attempt_number = 0
        self._failed_targets: list[str] = []
        self._target = ""
        self._backoff_seconds = 0.0
        budget.count_request()

    @property
    def name(self) -> str:
        """Id of the current attempt."""
        return f"{self._work.request}.{self._attempt_number}"

    async def acquire_ticket(
        self, *, may_have_started: bool, software: str | None = None
    ) -> messages.Ticket | findings.Failure:
        """Requests a ticket for the next attempt.

        Args:
            may_have_started: Whether any byte of the request may have been sent
                already.
            software: Version of the software that began the answer; None if no
                part of it has been relayed.

        Returns:
            The ticket, or the reason why there is none.
        """
        self._attempt_number += 1
        patience = self._work.deadline - time.monotonic()
        try:
            answer = await self._gateway.request_ticket(
                messages.AskTicket(
                    request=self.name,
                    team=self._work.team,
                    needs=self._work.needs,
                    tokens=self._work.tokens,
                    max_wait_seconds=max(0.05, patience),
                    avoid=self._failed_targets,
                    host=self._gateway.settings.host.name,
                    blocks=self._work.blocks,
                    software=software,
                )
            )
        except asyncio.CancelledError:
            # The ticket may be granted after the cancellation and must be
            # released.
            self.release_ticket(used=0)
            raise
        if isinstance(answer, messages.Refused):
            return findings.not_run(
                answer.reason,
                answer.detail,
                status=503,
                retry_after=answer.retry_after,
            )
        # A host that was frozen or waited long must not start work under a
        # configuration that may be outdated. Started work may finish.
        failure = None if may_have_started else self._gateway.lease_failure()
        if failure is not None:
            self.release_ticket(used=0)
            return failure
        self._target = answer.target
        return answer

    def record_answer(self, head: exchange_lib.Head) -> None:
        """Records the Retry-After of a refusal, for the completion."""
        texts = head.headers.get_list("Retry-After")
        if head.status != 503 or not texts:
            return
        seconds = target_announcements.parse_seconds(texts)
        if seconds is None:
            logs.warn(
                "retry_after_unreadable",
                request=self._work.request,
                target=self._target,
                text=",".join(texts)[:64],
            )
        self._backoff_seconds = seconds or 0.0

    def release_ticket(
        self, *, used: int, failed: bool = False, answered: bool = False
    ) -> None:
        """Releases the ticket of the current attempt."""
        self._gateway.complete_request(
            messages.Completion(
                request=self.name,
                team="",
                used=used,
                failed=failed,
                answered=answered,
                backoff_seconds=self._backoff_seconds,
            )
        )
        self._backoff_seconds = 0.0

    async def may_retry(self, cause: str, *, sent: bool) -> bool:
        """Returns whether to try another target, after the backoff if so."""
        self.failure_cause = cause
        logs.warn(
            "attempt_failed",
            request=self._work.request,
            attempt=self._attempt_number,
            target=self._target,
            sent=sent,
            why=cause,
        )
        self._failed_targets.append(self._target)
        max_attempts = self._gateway.settings.requests.attempts
        if (
            self._attempt_number >= max_attempts
            or not self._budget.take_retry()
        ):
            return False
        await asyncio.sleep(
            retries.backoff(self._attempt_number, rng=self._rng)
        )
        return True
