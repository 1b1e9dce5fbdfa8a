"""What is known of targets: announcements, reports, silence, drain. Pure.

All of it is soft state, rebuilt from reports after any restart. A report
older than one seen is dropped; a target that is silent or says that it is
draining gets no new work.
"""

from __future__ import annotations

from typing import NamedTuple

from endivestream import messages


class Session(NamedTuple):
    """A target's present incarnation.

    Attributes:
        info: Its announcement.
        report: Its newest report, or None.
        heard: When it was heard of, in seconds of a steady clock.
    """

    info: messages.TargetInfo
    report: messages.TargetReport | None
    heard: float

    @property
    def draining(self) -> bool:
        """Whether the target says that it is about to leave."""
        return self.report is not None and self.report.draining

    @property
    def loaded(self) -> frozenset[str]:
        """Models that it says are loaded."""
        if self.report is None:
            return frozenset(self.info.loaded)
        return frozenset(self.report.loaded)


class Targets:
    """All announced targets. Times are seconds."""

    def __init__(self, *, silence_seconds: float) -> None:
        self._silence = silence_seconds
        self._sessions: dict[str, Session] = {}
        self._held_back: set[str] = set()

    @property
    def sessions(self) -> dict[str, Session]:
        """All sessions by target name."""
        return self._sessions

    @property
    def held_back(self) -> set[str]:
        """Targets that operators drain."""
        return self._held_back

    def __repr__(self) -> str:
        return f"<Targets: {len(self._sessions)} announced>"

    def announce(self, info: messages.TargetInfo, now: float) -> str:
        """Takes an announcement in; returns why it is refused, or empty."""
        known = self._sessions.get(info.name)
        if known is not None:
            if known.info.incarnation > info.incarnation:
                return (
                    f"incarnation {info.incarnation} is older than "
                    f"{known.info.incarnation}"
                )
            if known.info.incarnation == info.incarnation:
                # A resent announcement must not undo a later report.
                self._sessions[info.name] = known._replace(info=info, heard=now)
                return ""
        self._sessions[info.name] = Session(info, None, now)
        return ""

    def report(self, report: messages.TargetReport, now: float) -> bool:
        """Takes a report in; False if the target must announce itself."""
        known = self._sessions.get(report.name)
        if known is None or known.info.incarnation < report.incarnation:
            return False
        if known.info.incarnation > report.incarnation:
            # Late words of an earlier life; its successor speaks for itself.
            return True
        if (
            known.report is not None
            and report.sequence <= known.report.sequence
        ):
            return True
        self._sessions[report.name] = known._replace(report=report, heard=now)
        return True

    def hold_back(self, name: str, draining: bool) -> bool:
        """Drains a target on an operator's word; False if unknown."""
        if name not in self._sessions:
            return False
        if draining:
            self._held_back.add(name)
        else:
            self._held_back.discard(name)
        return True

    def is_live(self, session: Session, now: float) -> bool:
        """Tells whether a target may get new work."""
        return (
            now - session.heard <= self._silence
            and not session.draining
            and session.info.name not in self._held_back
        )

    def live(self, now: float) -> list[Session]:
        """Returns targets that may get new work."""
        return [s for s in self._sessions.values() if self.is_live(s, now)]

    def forget(self, now: float, after: float) -> list[str]:
        """Drops targets silent for longer than `after`; returns them."""
        gone = [
            name
            for name, session in self._sessions.items()
            if now - session.heard > after
        ]
        for name in gone:
            del self._sessions[name]
            self._held_back.discard(name)
        return gone
