"""The memory ledger of targets: memory of loaded and reserved models.

A load order is committed here as an intent before it is sent to an engine, and
its memory is reserved from then on. An intent that does not fit is rejected
when it is applied, so no proposer, even a deposed leader, can overcommit an
accelerator.
"""

from __future__ import annotations

from typing import NamedTuple

import msgspec


class RegisterTarget(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Registers a new incarnation of a target, with its loaded models.

    Attributes:
        target: Name of the target.
        incarnation: Number that increases with each start of the target.
        domain: Failure domain of the target.
        memory: Accelerator memory for models, in MiB.
        checks_fencing: Whether the target rejects orders with an old fencing
            token.
        loaded: Memory of each loaded model, in MiB.
    """

    target: str
    incarnation: int
    domain: str
    memory: int
    checks_fencing: bool
    loaded: dict[str, int]


class ReserveLoad(msgspec.Struct, frozen=True, kw_only=True, tag="IntendLoad"):
    """Reserves memory for a load order that is about to be sent.

    Attributes:
        target: Name of the target.
        incarnation: Incarnation that the order is for.
        model: Model to load.
        memory: Size of the model in MiB.
    """

    target: str
    incarnation: int
    model: str
    memory: int


class ConfirmLoad(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Records that a target reported a model as loaded.

    Attributes:
        target: Name of the target.
        incarnation: Incarnation that sent the report.
        model: The loaded model.
    """

    target: str
    incarnation: int
    model: str


Command = RegisterTarget | ReserveLoad | ConfirmLoad


class MemoryReserved(msgspec.Struct, frozen=True, kw_only=True, tag="Reserved"):
    """The memory is reserved; the order carries `fencing_token`."""

    fencing_token: int = msgspec.field(name="fence")


class LedgerRejected(msgspec.Struct, frozen=True, kw_only=True, tag="Refused"):
    """The command was rejected; `reason` explains why, with the figures."""

    reason: str


class LedgerUpdated(msgspec.Struct, frozen=True, kw_only=True, tag="Noted"):
    """The target or its load was recorded."""


Result = MemoryReserved | LedgerRejected | LedgerUpdated


class Entry(NamedTuple):
    """Memory reserved on a target for one model.

    Attributes:
        memory: Size of the model in MiB.
        loaded: False from the intent until the target reports the model.
        fencing_token: Fencing token of the load order; 0 if the model was
            already loaded when the target registered.
    """

    memory: int
    loaded: bool
    fencing_token: int


class Target(NamedTuple):
    """Memory accounting of one target.

    Attributes:
        incarnation: The newest registered incarnation.
        domain: Failure domain of the target.
        memory: Capacity in MiB.
        checks_fencing: Whether the target rejects old fencing tokens.
        entries: Loaded and reserved models, by model name.
    """

    incarnation: int
    domain: str
    memory: int
    checks_fencing: bool
    entries: dict[str, Entry]

    @property
    def reserved_mib(self) -> int:
        """Memory of loaded and reserved models, in MiB."""
        return sum(entry.memory for entry in self.entries.values())


class MemoryLedger:
    """The replicated memory ledger."""

    def __init__(self) -> None:
        self._targets: dict[str, Target] = {}

    @property
    def targets(self) -> dict[str, Target]:
        """All targets that were ever registered, by name."""
        return self._targets

    def __repr__(self) -> str:
        held = sum(target.reserved_mib for target in self._targets.values())
        return f"<MemoryLedger: {len(self._targets)} targets, {held} MiB held>"

    def apply(self, index: int, command: Command) -> Result:
        """Applies one command in log order, deterministically.

        Args:
            index: Log index of the command. It increases across leaders, so
                it serves as the fencing token.
            command: The command to apply.

        Returns:
            The result of the command.
        """
        match command:
            case RegisterTarget():
                return self._register(command)
            case ReserveLoad():
                return self._reserve(index, command)
            case ConfirmLoad():
                return self._confirm(command)

    def _register(self, command: RegisterTarget) -> Result:
        registered = self._targets.get(command.target)
        if (
            registered is not None
            and registered.incarnation >= command.incarnation
        ):
            return LedgerRejected(
                reason=f"incarnation {command.incarnation} is not newer than "
                f"{registered.incarnation}"
            )
        held = sum(command.loaded.values())
        if held > command.memory:
            return LedgerRejected(
                reason=f"the target reports {held} MiB loaded, more than its "
                f"{command.memory} MiB of memory"
            )
        # A restart clears the accelerator memory. Orders name the incarnation
        # that they are for, and the target rejects those for an old one, so
        # the memory reserved for them is free.
        self._targets[command.target] = Target(
            command.incarnation,
            command.domain,
            command.memory,
            command.checks_fencing,
            {
                name: Entry(memory, True, 0)
                for name, memory in command.loaded.items()
            },
        )
        return LedgerUpdated()

    def _current_target(
        self, command: ReserveLoad | ConfirmLoad
    ) -> Target | LedgerRejected:
        target = self._targets.get(command.target)
        if target is None:
            return LedgerRejected(reason=f"unknown target {command.target!r}")
        if target.incarnation != command.incarnation:
            return LedgerRejected(
                reason=f"incarnation {command.incarnation} is not the current "
                f"one, {target.incarnation}"
            )
        return target

    def _reserve(self, index: int, command: ReserveLoad) -> Result:
        target = self._current_target(command)
        if isinstance(target, LedgerRejected):
            return target
        entry = target.entries.get(command.model)
        if entry is not None:
            return MemoryReserved(fencing_token=entry.fencing_token)
        if target.reserved_mib + command.memory > target.memory:
            return LedgerRejected(
                reason=f"{target.reserved_mib} MiB loaded or reserved + "
                f"{command.memory} MiB for {command.model!r} exceed "
                f"{target.memory} MiB"
            )
        target.entries[command.model] = Entry(command.memory, False, index)
        return MemoryReserved(fencing_token=index)

    def _confirm(self, command: ConfirmLoad) -> Result:
        target = self._current_target(command)
        if isinstance(target, LedgerRejected):
            return target
        entry = target.entries.get(command.model)
        if entry is None:
            return LedgerRejected(reason=f"no load order for {command.model!r}")
        target.entries[command.model] = entry._replace(loaded=True)
        return LedgerUpdated()

    def snapshot(self) -> dict[str, Target]:
        """Returns all targets."""
        return dict(self._targets)

    def restore(self, targets: dict[str, Target]) -> None:
        """Replaces all targets."""
        self._targets = dict(targets)
