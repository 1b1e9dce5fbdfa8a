"""Entry hosts that lose their paths to all targets: `python -m soak.cuts`.

Some or all but one of the entry hosts are cut off, again and again and in
different ways, beside restarts of targets, changes of the configuration and
faults of control hosts. Reported are the first tries served at hosts that were
cut off for some time, against those at the other hosts, and what the soak of
processes reports.
"""

from __future__ import annotations

import asyncio
import dataclasses
import pathlib
import signal
import sys
import time
from typing import NamedTuple

from soak import cut_program
from soak import processes

# Time in which hosts and targets may find out about a cut.
_CONTACT_SECONDS = 3.0
_MIN_CUT_SECONDS, _MAX_CUT_SECONDS = 5.0, 9.0
# Cut hosts may serve this share of what the others serve.
_MIN_SERVED_SHARE = 2 / 3
_CUTS = (
    cut_program.Cut.SILENT,
    cut_program.Cut.RESET,
    cut_program.Cut.NO_NEW,
)


class _Span(NamedTuple):
    hosts: tuple[str, ...]
    start: float
    end: float


@dataclasses.dataclass(frozen=True)
class _Tries:
    sent: int
    served: int

    def __add__(self, other: _Tries) -> _Tries:
        return _Tries(self.sent + other.sent, self.served + other.served)

    @property
    def share(self) -> float:
        """Share of the tries that were served."""
        return self.served / max(1, self.sent)


class CutSoak(processes.Soak):
    """A run with cuts in place of signals to entry hosts."""

    entry_program = pathlib.Path(__file__).parent / "cut_program.py"

    def __init__(self, **options: object) -> None:
        super().__init__(**options)  # type: ignore[arg-type]
        self._spans: list[_Span] = []
        self._is_cut = False

    async def _draw_fault(self) -> None:
        control = self._random.choice(self._controls)
        target = self._random.choice(self._targets)
        match self._random.randrange(8):
            case 0 | 1 | 2 | 3:
                await self._cut_hosts()
            case 4:
                await self._change_configuration()
            case 5:
                await target.restart()
            case 6:
                await control.restart(signal.SIGKILL)
            case 7:
                await control.pause(self._random.uniform(0.1, 1.0))

    async def _cut_hosts(self) -> None:
        if self._is_cut:
            return
        self._is_cut = True
        count = self._random.randint(1, len(self._entries) - 1)
        hosts = self._random.sample(self._entries, count)
        cut = self._random.choice(_CUTS)
        seconds = self._random.uniform(_MIN_CUT_SECONDS, _MAX_CUT_SECONDS)
        start = time.monotonic()
        for host in hosts:
            await host.signal_once_handled(cut.value)
        await asyncio.sleep(seconds)
        names = tuple(host.name for host in hosts)
        self._spans.append(_Span(names, start, time.monotonic()))
        for host in hosts:
            await host.signal_once_handled(cut_program.Cut.WHOLE.value)
        await asyncio.sleep(1.0)
        self._is_cut = False

    def report(self) -> dict[str, object]:
        """Adds the first tries served at cut hosts and at the others."""
        report = super().report()
        violations = report["violations"]
        assert isinstance(violations, list)
        cut_total, others_total = _Tries(0, 0), _Tries(0, 0)
        for span in self._spans:
            cut, others = self._tries_of(span)
            cut_total += cut
            others_total += others
            failed = cut.sent - cut.served
            if (
                cut.share < _MIN_SERVED_SHARE * others.share
                and failed > 10 + (cut.sent + others.sent) / 50
            ):
                violations.append(f"cut hosts: {span} {cut} {others}")
        report["cut"] = f"{cut_total.served} of {cut_total.sent}"
        report["others"] = f"{others_total.served} of {others_total.sent}"
        return report

    def _tries_of(self, span: _Span) -> tuple[_Tries, _Tries]:
        """Returns the first tries at the cut hosts and at the others."""
        cut, others = _Tries(0, 0), _Tries(0, 0)
        for caller in (*self._callers, *self._stream_callers):
            calls = [
                call
                for call in caller.calls
                if span.start + _CONTACT_SECONDS <= call.sent_at < span.end
            ]
            served = sum(call.status == 200 for call in calls)
            tries = _Tries(len(calls), served)
            if caller.host in span.hosts:
                cut += tries
            else:
                others += tries
        return cut, others


if __name__ == "__main__":
    sys.exit(processes.main(CutSoak))
