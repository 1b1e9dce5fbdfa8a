"""Headers of answers that apply to later requests to the same target."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Sequence

from endivestream import clock
from endivestream import logs
from endivestream.connection import exchange as exchange_lib
from endivestream.connection import registry as registry_lib
from endivestream.request import names as names_lib
from endivestream.request import target_announcements

# Maximum characters of an unreadable header in the log.
_MAX_LOGGED_CHARACTERS = 64


class AnswerHeaders:
    """Records announcements and rate limits in answers of targets."""

    def __init__(
        self,
        *,
        names: names_lib.HeaderNames,
        announcements: target_announcements.TargetAnnouncements,
        rate_limit_reported: Callable[
            [registry_lib.Registration, str | None], None
        ],
        window_opened: Callable[[], None],
    ) -> None:
        """Initializes the recorder.

        Args:
            names: Header names.
            announcements: Where announcements are recorded.
            rate_limit_reported: Called for each answer with the text of its
                rate limit header; None without the header.
            window_opened: Called when a target may get more requests than
                before.
        """
        self._names = names
        self._announcements = announcements
        self._rate_limit_reported = rate_limit_reported
        self._window_opened = window_opened

    def record(
        self,
        request: str,
        registration: registry_lib.Registration,
        head: exchange_lib.Head,
        sent_at: float,
    ) -> None:
        """Records an answer, unless it belongs to another request.

        Args:
            request: Id of the request.
            registration: The target, as the request was sent to it.
            head: Status and headers of the answer.
            sent_at: When the request was sent.
        """
        names = self._names
        if head.headers.get(names.request, "") != request:
            return
        registration = self._announcements.find_process(registration, sent_at)
        if "1" in head.headers.get_list(names.draining):
            self._record_draining(request, registration)
        retry_texts = head.headers.get_list(names.retry_after)
        if head.status == 503 and retry_texts:
            self._record_backoff(request, registration, retry_texts)
        is_refusal = head.status == 421 or names.not_run in head.headers
        if head.status != 421:
            self._record_brittle_limit(
                request, registration, head.headers.get(names.brittle)
            )
        if is_refusal and head.status == 503 and not retry_texts:
            self._announcements.record_full(registration, clock.now())
        if not is_refusal and self._announcements.record_accepted(
            registration, sent_at
        ):
            self._window_opened()
        limit_text = head.headers.get(names.rate_limit)
        # A refusal with status 421 may come from another target that now has
        # this address, so it does not end a limit.
        if limit_text is not None or head.status != 421:
            self._rate_limit_reported(registration, limit_text)

    def _record_draining(
        self, request: str, registration: registry_lib.Registration
    ) -> None:
        if self._announcements.record_draining(registration, clock.now()):
            logs.event(
                "target_draining", request=request, target=registration.name
            )

    def _record_brittle_limit(
        self,
        request: str,
        registration: registry_lib.Registration,
        text: str | None,
    ) -> None:
        limit = None
        if text is not None and text.strip().isdecimal():
            limit = int(text[:_MAX_LOGGED_CHARACTERS])
        if self._announcements.record_brittle_limit(
            registration, limit, clock.now()
        ):
            logs.event(
                "target_brittle",
                request=request,
                target=registration.name,
                limit="" if limit is None else limit,
            )

    def _record_backoff(
        self,
        request: str,
        registration: registry_lib.Registration,
        texts: Sequence[str],
    ) -> None:
        seconds = target_announcements.parse_seconds(texts)
        if seconds is None:
            logs.warn(
                "retry_after_unreadable",
                request=request,
                target=registration.name,
                text=",".join(texts)[:_MAX_LOGGED_CHARACTERS],
            )
        elif self._announcements.record_backoff(
            registration, seconds, clock.now()
        ):
            logs.event(
                "target_backoff",
                request=request,
                target=registration.name,
                seconds=seconds,
            )
