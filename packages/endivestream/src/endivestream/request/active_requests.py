"""Requests in progress on this host."""

from __future__ import annotations

import dataclasses

from endivestream.request import admission
from endivestream.request import call as call_lib
from endivestream.request import progress as progress_lib
from endivestream.request import relay_hosts as relay_hosts_lib


@dataclasses.dataclass(kw_only=True)
class ActiveRequest:
    """A request in progress.

    Attributes:
        call: The connection to the caller.
        progress: State of the request's attempts.
        work: The admitted request; None before admission.
        is_stopped: Whether it was cancelled because the host stops.
        relayed: What the caller's host states, if this host relays it.
    """

    call: call_lib.Call
    progress: progress_lib.Progress
    work: admission.AdmittedRequest | None = None
    is_stopped: bool = False
    relayed: relay_hosts_lib.RelayedRequest | None = None
