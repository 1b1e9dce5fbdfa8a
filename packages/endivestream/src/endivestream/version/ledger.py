"""The memory ledger of targets: what is loaded, and what may still load.

Every order to an engine is an intent here before it is sent, and memory is
counted from the intent on. An intent that would not fit is refused when it is
applied, so no proposer, old or new, can overcommit an accelerator.
"""

from __future__ import annotations

from typing import NamedTuple

import msgspec


class RegisterTarget(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Records a target's new incarnation, with what it already holds.

    Attributes:
        target: The target's name.
        incarnation: Rises with each start of the target.
        domain: Its failure domain.
        memory: Accelerator memory for models, in MiB.
        checks_fencing: Whether it refuses orders with an old fencing token.
        loaded: Model name to MiB.
    """

    target: str
    incarnation: int
    domain: str
    memory: int
    checks_fencing: bool
    loaded: dict[str, int]


class IntendLoad(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Reserves memory for an order that is about to be sent.

    Attributes:
        target: The target's name.
        incarnation: The incarnation that the order is for.
        model: The model to load.
        memory: Its size in MiB.
    """

    target: str
    incarnation: int
    model: str
    memory: int


class ConfirmLoad(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Records that the target reported the model as loaded.

    Attributes:
        target: The target's name.
        incarnation: The reporting incarnation.
        model: The loaded model.
    """

    target: str
    incarnation: int
    model: str


Command = RegisterTarget | IntendLoad | ConfirmLoad


class Reserved(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """The intent holds; `fence` is the order's fencing token."""

    fence: int


class Refused(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """The command does not hold; `reason` says why, with the arithmetic."""

    reason: str


class Noted(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """The command was applied."""


Result = Reserved | Refused | Noted


class Entry(NamedTuple):
    """Memory held on a target.

    Attributes:
        memory: In MiB.
        loaded: False from the intent until the target reports the model.
        fence: Fencing token of the order; 0 if the target came with it.
    """

    memory: int
    loaded: bool
    fence: int


class Target(NamedTuple):
    """A target as the ledger knows it.

    Attributes:
        incarnation: The newest incarnation registered.
        domain: Its failure domain.
        memory: Capacity in MiB.
        checks_fencing: Whether it refuses old fencing tokens.
        entries: Model name to what is held for it.
    """

    incarnation: int
    domain: str
    memory: int
    checks_fencing: bool
    entries: dict[str, Entry]

    @property
    def held(self) -> int:
        """Memory loaded or reserved, in MiB."""
        return sum(entry.memory for entry in self.entries.values())


class Ledger:
    """The replicated ledger."""

    def __init__(self) -> None:
        self._targets: dict[str, Target] = {}

    @property
    def targets(self) -> dict[str, Target]:
        """All targets ever registered, by name."""
        return self._targets

    def __repr__(self) -> str:
        held = sum(target.held for target in self._targets.values())
        return f"<Ledger: {len(self._targets)} targets, {held} MiB held>"

    def apply(self, index: int, command: Command) -> Result:
        """Applies one command in log order; the same on every replica.

        Args:
            index: The command's place in the log. It rises across leaders, so
                it serves as the fencing token.
            command: What to apply.

        Returns:
            What became of it.
        """
        match command:
            case RegisterTarget():
                return self._register(command)
            case IntendLoad():
                return self._intend(index, command)
            case ConfirmLoad():
                return self._confirm(command)

    def _register(self, command: RegisterTarget) -> Result:
        known = self._targets.get(command.target)
        if known is not None and known.incarnation >= command.incarnation:
            return Refused(
                reason=f"incarnation {command.incarnation} is not newer than "
                f"{known.incarnation}"
            )
        held = sum(command.loaded.values())
        if held > command.memory:
            return Refused(
                reason=f"it reports {held} MiB loaded of {command.memory} MiB"
            )
        # A restart empties the accelerator: orders to the old incarnation
        # name it and are refused by the target, so their memory is free.
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
        return Noted()

    def _current(self, command: IntendLoad | ConfirmLoad) -> Target | Refused:
        target = self._targets.get(command.target)
        if target is None:
            return Refused(reason=f"no target {command.target!r}")
        if target.incarnation != command.incarnation:
            return Refused(
                reason=f"incarnation {command.incarnation} is not the present "
                f"one, {target.incarnation}"
            )
        return target

    def _intend(self, index: int, command: IntendLoad) -> Result:
        target = self._current(command)
        if isinstance(target, Refused):
            return target
        entry = target.entries.get(command.model)
        if entry is not None:
            return Reserved(fence=entry.fence)
        if target.held + command.memory > target.memory:
            return Refused(
                reason=f"{target.held} MiB held + {command.memory} MiB for "
                f"{command.model!r} > {target.memory} MiB"
            )
        target.entries[command.model] = Entry(command.memory, False, index)
        return Reserved(fence=index)

    def _confirm(self, command: ConfirmLoad) -> Result:
        target = self._current(command)
        if isinstance(target, Refused):
            return target
        entry = target.entries.get(command.model)
        if entry is None:
            return Refused(reason=f"no order for {command.model!r}")
        target.entries[command.model] = entry._replace(loaded=True)
        return Noted()

    def snapshot(self) -> dict[str, Target]:
        """Returns all targets."""
        return dict(self._targets)

    def restore(self, targets: dict[str, Target]) -> None:
        """Replaces all targets."""
        self._targets = dict(targets)
