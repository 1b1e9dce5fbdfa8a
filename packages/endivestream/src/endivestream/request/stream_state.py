"""What the caller of a stream has received, and where the stream may go on.

Does no I/O.
"""

from __future__ import annotations

import dataclasses

from endivestream.connection import sse
from endivestream.request import stream_origins


@dataclasses.dataclass(kw_only=True)
class StreamState:
    """State of the stream that answers one request.

    Attributes:
        last_event: Id of the last event relayed.
        can_continue: Whether another target can continue the answer: nothing
            was relayed, or all up to an event with an id.
        serving: The target of the current attempt; None if it is unknown.
        origin: Where the stream began; None before its first event.
        resumes: Attempt of the caller that received its first event, if the
            caller resumes a stream and names one.
        is_bound: Whether an event of this answer was relayed.
        is_relayed: Whether the answer goes to another entry host.
    """

    last_event: bytes = b""
    can_continue: bool = True
    serving: stream_origins.StreamOrigin | None = None
    origin: stream_origins.StreamOrigin | None = None
    resumes: str = ""
    is_bound: bool = False
    is_relayed: bool = False

    @property
    def software(self) -> str | None:
        """The software version that the stream is bound to, if it is known."""
        return None if self.origin is None else self.origin.software

    @property
    def serving_software(self) -> str | None:
        """The software version of the serving target, if it is known."""
        return None if self.serving is None else self.serving.software

    def may_relay(self) -> bool:
        """Returns whether an event of the serving target may be relayed."""
        if self.origin is None:
            return True
        return self.serving is not None and self.origin.admits(self.serving)

    def bind(self) -> stream_origins.StreamOrigin | None:
        """Binds the stream to the target that serves it, before an event.

        Returns:
            Its origin with the first event of this answer, else None.
        """
        if self.is_bound:
            return None
        self.is_bound = True
        self.origin = self.origin or self.serving
        return self.origin

    def take_complete_events(
        self, splitter: sse.EventSplitter | None, chunk: bytes
    ) -> bytes:
        """Returns the part of a chunk that may be relayed.

        Args:
            splitter: Splits the chunks into events; None if the stream is not
                one of events that can be resumed.
            chunk: Bytes of the target's answer.

        Returns:
            The bytes up to the last complete event, whose id is recorded.

        Raises:
            sse.TooLongError: An incomplete event is too long.
        """
        if splitter is None:
            self.can_continue = False
            return chunk
        events = splitter.feed(chunk)
        for event in events:
            self.last_event = event.id or self.last_event
            if event.id or event.has_data:
                self.can_continue = bool(event.id)
        return b"".join(event.raw for event in events)
