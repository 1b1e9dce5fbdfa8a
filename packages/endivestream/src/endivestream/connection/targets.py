"""Table of targets: announcements, reports, missing reports, drain. Pure.

The table is soft state, rebuilt from reports after any restart. A report older
than the newest one is dropped. A target gets no new work while its reports are
overdue or it reports that it is draining.
"""

from __future__ import annotations

from typing import NamedTuple

from endivestream import messages


class Session(NamedTuple):
    """Current incarnation of a target.

    Attributes:
        info: Announcement of the target.
        report: Newest report of the target, or None.
        received_at: Time at which the last announcement or report was received,
            in seconds of a monotonic clock.
    """

    info: messages.TargetInfo
    report: messages.TargetReport | None
    received_at: float

    @property
    def draining(self) -> bool:
        """Whether the target reports that it is about to stop."""
        return self.report is not None and self.report.draining

    @property
    def loaded(self) -> frozenset[str]:
        """Names of the models that the target reports as loaded."""
        if self.report is None:
            return frozenset(self.info.loaded)
        return frozenset(self.report.loaded)


class Targets:
    """All announced targets. Times are seconds."""

    def __init__(self, *, silence_seconds: float) -> None:
        self._silence_seconds = silence_seconds
        self._sessions: dict[str, Session] = {}
        self._drained_by_operator: set[str] = set()

    @property
    def sessions(self) -> dict[str, Session]:
        """All sessions by target name."""
        return self._sessions

    @property
    def drained_by_operator(self) -> set[str]:
        """Names of the targets that operators drain."""
        return self._drained_by_operator

    def __repr__(self) -> str:
        return f"<Targets: {len(self._sessions)} announced>"

    def announce(self, info: messages.TargetInfo, now: float) -> str:
        """Adds an announcement; returns why it is refused, or empty."""
        current = self._sessions.get(info.name)
        if current is not None:
            if current.info.incarnation > info.incarnation:
                return (
                    f"incarnation {info.incarnation} is older than "
                    f"{current.info.incarnation}"
                )
            if current.info.incarnation == info.incarnation:
                # A resent announcement must not undo a later report.
                self._sessions[info.name] = current._replace(
                    info=info, received_at=now
                )
                return ""
        self._sessions[info.name] = Session(info, None, now)
        return ""

    def report(self, report: messages.TargetReport, now: float) -> bool:
        """Adds a report; returns False if the target must announce itself."""
        current = self._sessions.get(report.name)
        if current is None or current.info.incarnation < report.incarnation:
            return False
        if current.info.incarnation > report.incarnation:
            # Late report of an earlier incarnation; the current one sends its
            # own reports.
            return True
        if (
            current.report is not None
            and report.sequence <= current.report.sequence
        ):
            return True
        self._sessions[report.name] = current._replace(
            report=report, received_at=now
        )
        return True

    def set_operator_drain(self, name: str, draining: bool) -> bool:
        """Starts or ends an operator's drain of a target.

        Returns:
            Whether the target is known.
        """
        if name not in self._sessions:
            return False
        if draining:
            self._drained_by_operator.add(name)
        else:
            self._drained_by_operator.discard(name)
        return True

    def is_live(self, session: Session, now: float) -> bool:
        """Whether a target may get new work."""
        return (
            now - session.received_at <= self._silence_seconds
            and not session.draining
            and session.info.name not in self._drained_by_operator
        )

    def live(self, now: float) -> list[Session]:
        """Returns the targets that may get new work."""
        return [s for s in self._sessions.values() if self.is_live(s, now)]

    def forget(self, now: float, after: float) -> list[str]:
        """Removes targets without a recent report.

        Args:
            now: The time.
            after: Seconds without a report after which a target is removed.

        Returns:
            Names of the removed targets.
        """
        expired = [
            name
            for name, session in self._sessions.items()
            if now - session.received_at > after
        ]
        for name in expired:
            del self._sessions[name]
            self._drained_by_operator.discard(name)
        return expired
