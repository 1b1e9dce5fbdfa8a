"""State of a request and its attempts."""

from __future__ import annotations

import asyncio
import dataclasses

from endivestream.request import crash_keys
from endivestream.request import open_attempts
from endivestream.request import stream_state
from endivestream.request import target_selection
from endivestream.request.buffering import answer_buffer
from endivestream.request.hedging import racing_attempt
from endivestream.request.waiting import slot_answers


@dataclasses.dataclass(kw_only=True)
class Progress:
    """State of a request and its attempts.

    Attributes:
        attempted_targets: Targets that may have run it.
        refusals: Number of refusals by targets that did not run it.
        request_attempts: Number of attempts.
        sent_attempts: Number of attempts that may have reached a target.
        failed_connections: Number of connections that could not be opened.
        may_have_run: Whether some target may have run it.
        stream: State of the answer, as far as it is a stream.
        selected_at: When its current target was selected.
        first_sent_at: When it was first sent, i.e. when its wait for a target
            ended.
        first_byte_at: When the first byte of the answer arrived.
        last_relayed_at: When a chunk of a stream was last relayed.
        turn_seconds: Seconds that it waited for its prefill turn at an engine.
        longest_gap: Longest pause between two chunks of a stream so far, in
            seconds.
        paused_seconds: Seconds since the last chunk for which the target was
            not read because the caller reads slowly.
        timeout: Ends the current attempt at its deadline.
        task: Serves the request; None in tests of single attempts.
        buffer: Holds what the caller has not taken; None if nothing is held.
        status: The status sent.
        outcome_reason: Reason of the outcome.
        target: The last target.
        starting: Requirements of the current attempt, until its first event.
        attempt: The current attempt at a target; None at a relay host.
        racing: The current attempt, if another one may run beside it.
        second: State of the attempt that runs beside it; None if none does.
        slot: The slot of an engine that its current attempt holds, if any.
        keys: By which it is recognized if targets end under it.
        stage: What it waits for: `lease`, `origin`, `credit`, `place`, `turn`,
            `limit`, `repeat` or `target`.
    """

    attempted_targets: list[str] = dataclasses.field(default_factory=list)
    refusals: int = 0
    request_attempts: int = 0
    sent_attempts: int = 0
    failed_connections: int = 0
    may_have_run: bool = False
    stream: stream_state.StreamState = dataclasses.field(
        default_factory=stream_state.StreamState
    )
    selected_at: float = 0.0
    first_sent_at: float = 0.0
    first_byte_at: float = 0.0
    last_relayed_at: float = 0.0
    turn_seconds: float = 0.0
    longest_gap: float = 0.0
    paused_seconds: float = 0.0
    timeout: asyncio.Timeout | None = None
    task: asyncio.Task[None] | None = None
    buffer: answer_buffer.AnswerBuffer | None = None
    status: int = 0
    outcome_reason: str = ""
    target: str = ""
    starting: target_selection.TargetRequirements | None = None
    attempt: open_attempts.Attempt | None = None
    racing: racing_attempt.RacingAttempt | None = None
    second: Progress | None = None
    slot: slot_answers.Slot | None = None
    keys: crash_keys.CrashKeys | None = None
    stage: str = "lease"

    @property
    def is_sent(self) -> bool:
        """Whether an attempt at a target is in progress."""
        return self.stage == "target"

    def claim_answer(self) -> bool:
        """Returns whether the caller gets the current attempt's answer.

        The answer must begin before the next pause of the calling task.
        """
        return self.racing is None or self.racing.claim()
