"""Failures that callers are answered with. Pure but for the clock.

Only a request that no target may have run is answered as not run.
"""

from __future__ import annotations

from endivestream import clock
from endivestream import findings
from endivestream.request import admission
from endivestream.request import attempt_results
from endivestream.request import progress as progress_lib
from endivestream.request import queue_deadlines

# Reason of a request that an unexpected error has ended.
INTERNAL_ERROR = "internal_error"


def not_served(
    work: admission.AdmittedRequest,
    progress: progress_lib.Progress,
    reason: str,
    expected: float | None = None,
) -> findings.Failure:
    """Returns the failure for a request that was not served.

    Args:
        work: The request.
        progress: State of its attempts.
        reason: For the caller and the log.
        expected: When it could be served, if known.
    """
    now = clock.now()
    is_past_deadline = now >= work.deadline
    if not progress.may_have_run:
        retry_after = queue_deadlines.retry_after_seconds(
            expected=expected,
            now=now,
            usual=admission.DEFAULT_RETRY_SECONDS,
        )
        return findings.not_run(
            reason,
            f"no target accepted the request: {reason}",
            status=503,
            retry_after=None if is_past_deadline else retry_after,
        )
    return findings.Failure(
        outcome=findings.RunState.UNKNOWN,
        reason=reason,
        detail=f"the request may have run: {reason}",
        status=504 if is_past_deadline else 502,
    )


def internal_error(progress: progress_lib.Progress) -> findings.Failure:
    """Returns the failure for a request whose handling raised an error."""
    attempts = (progress, progress.second)
    if any(each is not None and each.may_have_run for each in attempts):
        return findings.Failure(
            outcome=findings.RunState.UNKNOWN,
            reason=INTERNAL_ERROR,
            detail="an error ended the request, which may have run",
            status=502,
        )
    return findings.not_run(
        INTERNAL_ERROR,
        "an error ended the request before it was sent",
        status=503,
        retry_after=admission.DEFAULT_RETRY_SECONDS,
    )


def stop_failure(
    work: admission.AdmittedRequest, progress: progress_lib.Progress
) -> findings.Failure:
    """Returns the failure for a request that waits on a stopping host."""
    if progress.may_have_run:
        return not_served(work, progress, "stopping")
    return admission.stopping()


def relay_failure(
    result: attempt_results.NotRelayed, progress: progress_lib.Progress
) -> findings.Failure:
    """Returns the failure for a request that a relay host could not serve.

    A relay host states only that the request has not run through it.
    """
    detail = f"the relay host answered {result.status}: {result.reason}"
    if result.has_not_run and not progress.may_have_run:
        return findings.not_run(
            result.reason,
            detail,
            status=result.status,
            retry_after=result.retry_after,
        )
    return findings.Failure(
        outcome=findings.RunState.UNKNOWN,
        reason=result.reason,
        detail=detail,
        status=502 if result.has_not_run else result.status,
    )
