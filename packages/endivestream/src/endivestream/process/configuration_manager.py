"""Configurations and evacuations at the leader: committed and confirmed."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from endivestream import logs
from endivestream import messages
from endivestream import site_messages
from endivestream.process import confirmations as confirmations_lib
from endivestream.process import rollouts as rollouts_lib
from endivestream.process import site_settings
from endivestream.version import document as document_lib
from endivestream.version import evacuations as evacuations_lib
from endivestream.version import replicate


class ConfigurationManager:
    """Changes by operators during one term of leadership."""

    def __init__(
        self,
        *,
        replicator: replicate.Replicator,
        confirmations: confirmations_lib.Confirmations,
        bounds: site_settings.Bounds,
        push_document: Callable[[document_lib.Document], object],
        push_evacuations: Callable[[evacuations_lib.EvacuationRecord], object],
    ) -> None:
        """Starts without changes under way.

        Args:
            replicator: The leader's replica.
            confirmations: Knows which hosts have which change.
            bounds: Guarantees to operators.
            push_document: Pushes a configuration to entry hosts.
            push_evacuations: Pushes evacuations to entry hosts.
        """
        self._replicator = replicator
        self._confirmations = confirmations
        self._bounds = bounds
        self._push_document = push_document
        self._push_evacuations = push_evacuations
        # Configurations that are being committed, by version.
        self._proposals: dict[int, asyncio.Task[object]] = {}

    def record_document(self, document: document_lib.Document) -> None:
        """Rolls out a configuration that was just committed."""
        logs.event(
            "configuration",
            version=document.version,
            routes=len(document.routes),
            teams=len(document.teams),
        )
        self._confirmations.begin(
            rollouts_lib.Kind.CONFIGURATION, document.version
        )
        self._push_document(document)

    def record_evacuations(
        self, domain: str, record: evacuations_lib.EvacuationRecord
    ) -> None:
        """Rolls out a change of evacuations that was just committed."""
        logs.event(
            "evacuation",
            domain=domain,
            evacuated=domain in record.domains,
            revision=record.revision,
        )
        self._confirmations.begin(
            rollouts_lib.Kind.EVACUATIONS, record.revision
        )
        self._push_evacuations(record)

    async def apply(
        self, document: document_lib.Document
    ) -> site_messages.Applied | messages.NotLeader:
        """Commits a configuration unless it is outdated, and confirms it."""
        committed = self._replicator.state.document.version
        logs.event(
            "configuration_requested",
            version=document.version,
            committed=committed,
        )
        if document.version > committed:
            await self._commit(document)
        return await self.confirm(document.version)

    async def _commit(self, document: document_lib.Document) -> None:
        """Commits a configuration, or waits for a newer one under way."""
        newer = [v for v in self._proposals if v >= document.version]
        if newer:
            proposal = self._proposals[min(newer)]
        else:
            proposal = asyncio.create_task(
                self._replicator.propose(
                    document_lib.ApplyDocument(document=document)
                )
            )
            self._proposals[document.version] = proposal
            proposal.add_done_callback(
                lambda done: self._end_proposal(document.version, done)
            )
        await asyncio.shield(proposal)

    def _end_proposal(self, version: int, proposal: asyncio.Task) -> None:
        del self._proposals[version]
        if not proposal.cancelled():
            # Calls that still wait raise it; there may be none.
            proposal.exception()

    async def confirm(
        self, version: int
    ) -> site_messages.Applied | messages.NotLeader:
        """Waits until a committed configuration may be acknowledged."""
        is_confirmed = await self._confirmations.wait(
            self._confirmations.find(rollouts_lib.Kind.CONFIGURATION, version),
            bound=self._bounds.config,
            version=version,
        )
        if not is_confirmed:
            return messages.NotLeader(address="")
        current = self._replicator.state.document.version
        return site_messages.Applied(version=current)

    async def evacuate(
        self, command: evacuations_lib.SetEvacuation
    ) -> site_messages.EvacuationsRead | messages.NotLeader:
        """Commits a change of evacuations, and confirms a start."""
        result = await self._replicator.propose(command)
        assert isinstance(result, evacuations_lib.EvacuationSet), result
        revision = result.record.revision
        if command.domain in result.record.domains:
            is_confirmed = await self._confirmations.wait(
                self._confirmations.find(
                    rollouts_lib.Kind.EVACUATIONS, revision
                ),
                bound=self._bounds.evacuation,
                min_wait=confirmations_lib.EVACUATION_WAIT_SECONDS,
                revision=revision,
            )
            if not is_confirmed:
                return messages.NotLeader(address="")
        return site_messages.EvacuationsRead(record=result.record)
