"""State of one target as observed by one entry host. Does no I/O.

A target that fails or sends no bytes gets no requests for a while, and then one
trial request at a time. The current time is passed as an argument; times are
seconds.
"""

from __future__ import annotations

import dataclasses

# Consecutive failures after which a target gets one trial request at a time.
_EJECTION_FAILURES = 2
# Duration of a failing target's first ejection; doubled with each further
# failure up to the maximum.
_FIRST_EJECTION_SECONDS = 0.5
_MAX_EJECTION_SECONDS = 4.0
# Time for which a target that refused a request is selected last; doubled with
# each refusal after such a time, up to the maximum.
_FIRST_REFUSAL_SECONDS = 0.05
_MAX_REFUSAL_SECONDS = 1.6
# A target that runs requests of this host sends bytes many times a second. If
# none arrives for this time, the target hangs or is unreachable.
_SILENCE_SECONDS = 1.2

# Model and adapter of a request; both may be empty.
Key = tuple[str, str]


@dataclasses.dataclass(kw_only=True)
class TargetState:
    """State of one target.

    Attributes:
        running: Number of this host's requests that run on the target.
        models: Number of these requests by model and adapter.
        starting: Number of requests whose answer has not started, by model
            and adapter.
        last_byte_at: Time at which the last byte arrived from the target.
        waiting_since: Start of the current wait for bytes: time of the last
            byte, or of the first request sent since the target had none
            running. None if no request runs.
        failures: Number of consecutive failures.
        next_turn_at: Time of the next prefill turn that the engine's turn
            owner would grant.
        retry_at: Time from which the target may get a trial request.
        trial_running: Whether a trial request is running.
        refusing_until: Time until which the target is selected last, because
            it refused a request.
        refusal_seconds: Duration of that; 0 after an accepted request.
        paused: Number of answers that are not read on, because their callers
            read slowly.
        denied_names: Models and adapters that the target reported as missing.
            Cleared when the leader sends a changed entry for the target.
    """

    running: int = 0
    models: dict[Key, int] = dataclasses.field(default_factory=dict)
    starting: dict[Key, int] = dataclasses.field(default_factory=dict)
    last_byte_at: float = float("-inf")
    waiting_since: float | None = None
    failures: int = 0
    next_turn_at: float = float("-inf")
    retry_at: float = float("-inf")
    trial_running: bool = False
    refusing_until: float = float("-inf")
    refusal_seconds: float = 0.0
    paused: int = 0
    denied_names: set[str] = dataclasses.field(default_factory=set)

    @property
    def is_ejected(self) -> bool:
        """Whether the target gets at most one trial request at a time."""
        return self.failures >= _EJECTION_FAILURES

    @property
    def load(self) -> int:
        """Requests that run here; those without an answer yet count twice.

        Their prompts are not processed yet and delay the others.
        """
        return self.running + sum(self.starting.values())

    def restarted(self) -> TargetState:
        """Returns the state after a restart of the target.

        Only requests that this host has not seen end are kept.
        """
        return TargetState(
            running=self.running,
            models=self.models,
            starting=self.starting,
            paused=self.paused,
        )

    def is_healthy(self, now: float) -> bool:
        """Returns whether the target may get a request now."""
        if self.is_ejected:
            return now >= self.retry_at and not self.trial_running
        return now >= self.retry_at and not self.is_silent(now)

    def is_silent(self, now: float) -> bool:
        """Whether requests run on the target and no byte arrives from it.

        It hangs or is unreachable, and further requests would hang as well.
        """
        if self.waiting_since is None or self.running <= self.paused:
            return False
        silence = now - max(self.last_byte_at, self.waiting_since)
        return silence > _SILENCE_SECONDS

    def record_sent(self, key: Key, now: float) -> None:
        """Records that a request is sent to the target."""
        self.running += 1
        self.models[key] = self.models.get(key, 0) + 1
        self.starting[key] = self.starting.get(key, 0) + 1
        if self.waiting_since is None:
            self.waiting_since = now
        if self.is_ejected:
            self.trial_running = True

    def record_started(self, key: Key) -> None:
        """Records that the first event or the end of an answer arrived."""
        if self.starting.get(key):
            self.starting[key] -= 1
            if not self.starting[key]:
                del self.starting[key]

    def record_bytes(self, now: float) -> None:
        """Records that bytes of an answer arrived."""
        self.last_byte_at = now
        self.waiting_since = now

    def record_resumed(self, now: float) -> None:
        """Records that a paused answer is read again."""
        self.paused = max(0, self.paused - 1)
        if self.waiting_since is not None:
            self.waiting_since = now

    def record_refusal(self, now: float) -> None:
        """Records that the target refused a request without running it."""
        if now < self.refusing_until:
            return
        self.refusal_seconds = min(
            _MAX_REFUSAL_SECONDS,
            max(_FIRST_REFUSAL_SECONDS, 2 * self.refusal_seconds),
        )
        self.refusing_until = now + self.refusal_seconds

    def record_accepted(self) -> None:
        """Records that the target accepted a request."""
        self.refusal_seconds = 0.0
        self.refusing_until = float("-inf")

    def record_end(self, key: Key, now: float) -> None:
        """Records that a request no longer runs on the target.

        A target that was silent is ejected; else its silence would be forgotten
        with its last request.
        """
        if self.is_silent(now) and not self.is_ejected:
            self.failures = _EJECTION_FAILURES
            self.retry_at = now + _FIRST_EJECTION_SECONDS
        self.running = max(0, self.running - 1)
        self.models[key] = self.models.get(key, 1) - 1
        if self.models[key] <= 0:
            del self.models[key]
        self.trial_running = False
        if not self.running:
            self.waiting_since = None

    def record_outcome(self, now: float, *, failed: bool) -> None:
        """Records whether a request failed because of the target."""
        if not failed:
            self.failures = 0
            self.retry_at = float("-inf")
            return
        self.failures += 1
        if self.is_ejected:
            ejection_seconds = _FIRST_EJECTION_SECONDS * 2 ** (
                self.failures - _EJECTION_FAILURES
            )
            self.retry_at = now + min(_MAX_EJECTION_SECONDS, ejection_seconds)
