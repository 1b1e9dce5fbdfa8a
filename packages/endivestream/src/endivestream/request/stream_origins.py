"""Where streams began. Pure; the current time is passed as an argument.

Targets of one service may run different versions of their software. What two
versions write does not fit together, and targets do not check that, so a
stream goes on only at the software version that began it.
"""

from __future__ import annotations

import msgspec

from endivestream.connection import registry as registry_lib


class StreamOrigin(msgspec.Struct, frozen=True, kw_only=True):
    """The target that sent the first event of a stream.

    Attributes:
        service: Name of its service.
        software: Version of its software; None if it names none.
        target: Id of the target.
        started_at_ms: Start time of its process.
    """

    service: str
    software: str | None = None
    target: str = ""
    started_at_ms: int = msgspec.field(default=0, name="born")

    @classmethod
    def of(cls, registration: registry_lib.Registration) -> StreamOrigin:
        """Returns the origin of a stream that begins at a target."""
        return cls(
            service=registration.service,
            software=registration.software,
            target=registration.name,
            started_at_ms=registration.started_at_ms,
        )
