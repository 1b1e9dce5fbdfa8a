"""Messages with reports of targets, from control hosts to the leader.

A control host sends the reports that it has received within a short time in one
message. A lone report and a report that announces a departure are sent as
`site_messages.Register`.
"""

from __future__ import annotations

from typing import NamedTuple

import msgspec

from endivestream.connection import registry as registry_lib


class UnchangedReport(NamedTuple):
    """A report with the content of an earlier report of the same process.

    Attributes:
        name: Id of the target.
        started_at_ms: Start time of its process.
        report_number: Number of the report.
        basis: Number of the earlier report.
    """

    name: str
    started_at_ms: int
    report_number: int
    basis: int


class RegisterAll(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Forwards reports of targets that do not drain.

    Attributes:
        registrations: Reports in full.
        unchanged: Reports whose content the leader should have.
    """

    registrations: tuple[registry_lib.Registration, ...] = ()
    unchanged: tuple[UnchangedReport, ...] = ()


class RegisteredAll(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Answer to `RegisterAll`.

    Attributes:
        unknown: Targets whose reports are not recorded and are to be sent in
            full: the leader lacks the content on which they are based.
    """

    unknown: tuple[str, ...] = ()
