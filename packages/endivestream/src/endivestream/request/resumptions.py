"""Finds the software version that a resumed stream is bound to.

An event of another version is worse than a refusal: a stream whose beginning
is unknown goes on only if its service is proved to have run a single version
for as long as a stream can have lasted.
"""

from __future__ import annotations

import collections
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Mapping
import enum
from typing import NamedTuple

from tornado import httputil

from endivestream import findings
from endivestream import logs
from endivestream.request import admission
from endivestream.request import stream_origins
from endivestream.request import stream_state
from endivestream.version import document as document_lib

# Time for which entry hosts may send requests to a target after its last
# report: the leader lists it for the first half, a host keeps it for the other.
_UNREPORTED_TARGET_SECONDS = 40.0


class Source(enum.StrEnum):
    """How the beginning of a stream was looked up."""

    LOCAL = "local"
    HOLDER = "holder"
    ABSENT = "absent"
    UNCONFIRMED = "unconfirmed"


class Lookup(NamedTuple):
    """Result of a lookup.

    Attributes:
        source: Where the origin was found; `ABSENT` if all that should know it
            have none, `UNCONFIRMED` if some did not answer.
        origin: Where the stream began; None if it was not found.
    """

    source: Source
    origin: stream_origins.StreamOrigin | None = None


class Resumptions:
    """Resolves resumptions of one entry host."""

    def __init__(
        self,
        *,
        rules: admission.AdmissionInputs,
        find_origin: Callable[[str], Awaitable[Lookup]],
        sole_software: Callable[[str, float, bool], Awaitable[str | None]],
    ) -> None:
        """Initializes without any lookup.

        Args:
            rules: Admission rules.
            find_origin: Looks up where the stream of an attempt began.
            sole_software: Returns the only software version that targets of a
                service have had in the given seconds, for a stream of a
                resumable route or another; None if that is not proved.
        """
        self._rules = rules
        self._find_origin = find_origin
        self._sole_software = sole_software
        self._outcomes: collections.Counter[str] = collections.Counter()

    @property
    def outcomes(self) -> Mapping[str, int]:
        """Number of resumptions by how their beginning was found."""
        return self._outcomes

    async def bind(
        self,
        headers: httputil.HTTPHeaders,
        work: admission.AdmittedRequest,
        stream: stream_state.StreamState,
    ) -> admission.AdmittedRequest | findings.Failure:
        """Binds a resumed stream to where it began.

        Args:
            headers: Headers of the caller's request.
            work: The request.
            stream: State of its answer; known in part if it is relayed.

        Returns:
            The request, for the service at which the stream began, or its
            refusal. A request that begins a stream is returned unchanged.
        """
        if work.route.kind != document_lib.Kind.STREAM:
            return work
        resumption = stream_origins.read_resumption(headers, self._rules.names)
        if resumption is None and not stream.last_event:
            return work
        if resumption is None:
            # A host of an older build relays streams without their origin.
            resumption = stream_origins.Resumption(work.request)
        else:
            stream.resumes = resumption.attempt
        if stream.origin is None:
            origin = await self._resolve(work, resumption)
            if isinstance(origin, findings.Failure):
                return origin
            stream.origin = origin
        service = stream.origin.service
        if service == work.service.name:
            return work
        return admission.at_service(
            work, service, self._rules
        ) or findings.not_run(
            "no_route",
            f"the stream began at {service}, which its route no longer has",
            status=503,
        )

    async def _resolve(
        self,
        work: admission.AdmittedRequest,
        resumption: stream_origins.Resumption,
    ) -> stream_origins.StreamOrigin | findings.Failure:
        """Returns where the stream began, or a refusal."""
        lookup = Lookup(Source.ABSENT)
        if resumption.attempt:
            lookup = await self._find_origin(resumption.attempt)
        origin, outcome = lookup.origin, lookup.source.value
        if origin is None:
            origin = await self._prove_sole_version(work)
            outcome = "sole_version" if origin else f"refused_{outcome}"
        self._outcomes[outcome] += 1
        logs.event(
            "stream_resumed" if origin else "stream_not_resumed",
            request=work.request,
            resumes=resumption.attempt,
            origin=outcome,
            service=origin.service if origin else work.service.name,
            software=origin.software if origin else None,
            began_at=origin.target if origin else "",
        )
        return origin or _origin_unknown(lookup.source)

    async def _prove_sole_version(
        self, work: admission.AdmittedRequest
    ) -> stream_origins.StreamOrigin | None:
        if len(work.route.services) > 1:
            # The attempt may have been sent to any of them.
            return None
        seconds = _UNREPORTED_TARGET_SECONDS + stream_origins.resumable_seconds(
            work.route.timeout
        )
        software = await self._sole_software(
            work.service.name, seconds, work.route.has_resumable_streams
        )
        if software is None:
            return None
        return stream_origins.StreamOrigin(
            service=work.service.name, software=software
        )


def _origin_unknown(source: Source) -> findings.Failure:
    """Returns the refusal of a stream whose beginning is unknown.

    It names a time to retry only if hosts that may know it did not answer.
    """
    detail = "it is unknown at which software version the stream began"
    if source != Source.UNCONFIRMED:
        return findings.not_run("origin_unknown", detail, status=503)
    return findings.not_run(
        "origin_unconfirmed",
        f"{detail}: hosts that may know it did not answer",
        status=503,
        retry_after=admission.DEFAULT_RETRY_SECONDS,
    )
