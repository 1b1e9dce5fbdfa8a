"""The configuration: the rules text and the keys, under one version.

`Configuration` is the replicated state, changed by commands from the log.
`ConfigurationView` is a gateway's copy, kept current by `Update`s. An update
contains everything that changed after the receiver's version, so a gateway that
missed any number of changes catches up in one exchange, without a list of
changes.
"""

from __future__ import annotations

import hashlib
from typing import Any
from typing import NamedTuple

import msgspec

from endivestream import findings
from endivestream.version import rules as rules_lib

# Changes that are kept for `history` and to recognize resent changes; nearly
# four days at 1,100 changes a day.
MAX_HISTORY_CHANGES = 4096


class ApplyRules(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Replaces the complete rules text.

    Attributes:
        text: The new rules text.
        expected_version: Version of the rules text that was edited.
        change_id: Idempotency id chosen by the sender; a resent change has
            the same id.
        author: Author of the change.
        comment: Reason for the change.
        at: Unix time in seconds, by the proposer's clock.
    """

    text: str
    expected_version: int
    change_id: str
    author: str
    comment: str
    at: float


class CreateKey(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Adds a key by its digest.

    Attributes:
        label: Name of the key, unique among live keys.
        team: Name of the team that it authenticates.
        digest: SHA-256 of the key, hexadecimal.
        change_id: As in `ApplyRules`.
        author: Author of the change.
        at: Unix time in seconds.
    """

    label: str
    team: str
    digest: str
    change_id: str
    author: str
    at: float


class RevokeKey(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Revokes a key permanently.

    Attributes:
        label: Name of the key.
        change_id: As in `ApplyRules`.
        author: Author of the change.
        at: Unix time in seconds.
    """

    label: str
    change_id: str
    author: str
    at: float


Command = ApplyRules | CreateKey | RevokeKey


class Applied(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Result of an accepted change.

    Attributes:
        version: Configuration version that the change created.
        repeated: Whether the change had been applied before and was resent.
    """

    version: int
    repeated: bool = False


class Conflict(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Result of a change that was edited from an outdated rules text.

    Attributes:
        version: Version of the current rules text.
        author: Author of the change that made the current rules text.
        change_id: Id of that change.
    """

    version: int
    author: str
    change_id: str


class Rejected(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Result of an invalid change.

    Attributes:
        findings: All errors, as text to print.
    """

    findings: list[str]


Result = Applied | Conflict | Rejected


class Change(NamedTuple):
    """One accepted change in the history.

    Attributes:
        version: Configuration version that it created.
        at: Unix time in seconds.
        author: Author of the change.
        comment: Reason for the change, or a description of it.
        change_id: Id chosen by the sender.
        fingerprint: Digest of the content. It distinguishes a resent change
            from another change with the same id.
    """

    version: int
    at: float
    author: str
    comment: str
    change_id: str
    fingerprint: str


class KeyRecord(NamedTuple):
    """A key's digest and state.

    Attributes:
        digest: SHA-256, hexadecimal.
        label: Name of the key.
        team: Name of the team that it authenticates.
        changed: Configuration version that created or revoked it.
        revoked: Whether it is revoked. The record of a revoked digest is kept,
            so that no later text or command can restore the key.
        from_rules: Whether it is defined in the rules text; it is then revoked
            when its line is removed.
    """

    digest: str
    label: str
    team: str
    changed: int
    revoked: bool
    from_rules: bool


class Update(msgspec.Struct, frozen=True, kw_only=True):
    """Changes of the configuration after a version.

    Attributes:
        base: Version that it is based on; 0 if it is complete.
        version: Version of the configuration with these changes.
        rules_version: Version of the rules text.
        text: The rules text if it changed after `base`, else None.
        keys: Keys created or revoked after `base`.
    """

    base: int
    version: int
    rules_version: int
    text: str | None
    keys: list[KeyRecord]


class Snapshot(msgspec.Struct, frozen=True, kw_only=True):
    """The complete configuration, as it is stored."""

    version: int
    rules_version: int
    text: str
    keys: list[KeyRecord]
    history: list[Change]


def fingerprint(*parts: str) -> str:
    """Returns a digest that is equal for equal contents."""
    return hashlib.sha256("\0".join(parts).encode()).hexdigest()[:32]


def digest_of(key: str) -> str:
    """Returns the digest under which a caller's key is stored."""
    return hashlib.sha256(key.encode()).hexdigest()


class Configuration:
    """The replicated rules and keys."""

    def __init__(self) -> None:
        self._version = 0
        self._rules_version = 0
        self._text = ""
        empty_rules = rules_lib.parse("")
        assert isinstance(empty_rules, rules_lib.Rules)
        self._rules = empty_rules
        self._keys: dict[str, KeyRecord] = {}
        self._history: list[Change] = []
        self._changes_by_id: dict[str, Change] = {}

    @property
    def version(self) -> int:
        """Version that the last accepted change created."""
        return self._version

    @property
    def rules_version(self) -> int:
        """Configuration version that created the current rules text."""
        return self._rules_version

    @property
    def text(self) -> str:
        """The current rules text."""
        return self._text

    @property
    def rules(self) -> rules_lib.Rules:
        """The current rules text, parsed."""
        return self._rules

    @property
    def keys(self) -> list[KeyRecord]:
        """All keys, including revoked ones."""
        return list(self._keys.values())

    @property
    def history(self) -> list[Change]:
        """The latest changes, oldest first."""
        return list(self._history)

    def __repr__(self) -> str:
        live = sum(not key.revoked for key in self._keys.values())
        return (
            f"<Configuration version {self._version}: "
            f"{len(self._rules.models)} models, {live} live keys>"
        )

    def apply(self, command: Command) -> Result:
        """Applies a command in log order; deterministic on every replica."""
        match command:
            case ApplyRules(text=text):
                content_digest = fingerprint("rules", text)
            case CreateKey(label=label, team=team, digest=digest):
                content_digest = fingerprint("create", label, team, digest)
            case RevokeKey(label=label):
                content_digest = fingerprint("revoke", label)
        previous = self._changes_by_id.get(command.change_id)
        if previous is not None:
            if previous.fingerprint == content_digest:
                return Applied(version=previous.version, repeated=True)
            message = (
                f"change id {command.change_id!r} was already used for another "
                "change"
            )
            return Rejected(findings=[message])
        match command:
            case ApplyRules():
                failure = self._apply_rules(command)
                comment = command.comment
            case CreateKey():
                failure = self._create_key(command)
                comment = f"key {command.label} for team {command.team}"
            case RevokeKey():
                failure = self._revoke_key(command)
                comment = f"key {command.label} withdrawn"
        if failure is not None:
            return failure
        self._version += 1
        self._add_to_history(
            Change(
                self._version,
                command.at,
                command.author,
                comment,
                command.change_id,
                content_digest,
            )
        )
        return Applied(version=self._version)

    def _add_to_history(self, change: Change) -> None:
        self._history.append(change)
        self._changes_by_id[change.change_id] = change
        if len(self._history) > MAX_HISTORY_CHANGES:
            oldest = self._history.pop(0)
            self._changes_by_id.pop(oldest.change_id, None)

    def _apply_rules(self, command: ApplyRules) -> Result | None:
        if command.expected_version != self._rules_version:
            last = self._find_last_rules_change()
            return Conflict(
                version=self._rules_version,
                author=last.author if last else "",
                change_id=last.change_id if last else "",
            )
        parsed = rules_lib.parse(command.text)
        if not isinstance(parsed, rules_lib.Rules):
            return Rejected(findings=[str(found) for found in parsed])
        errors = self._find_key_errors(parsed)
        if errors:
            return Rejected(findings=errors)
        next_version = self._version + 1
        listed = {key.digest: key for key in parsed.keys.values()}
        for digest, record in list(self._keys.items()):
            removed = record.from_rules and digest not in listed
            # A key of a removed team must not authenticate as a team that is
            # created with the same name later.
            orphaned = record.team not in parsed.teams
            if not record.revoked and (removed or orphaned):
                self._keys[digest] = record._replace(
                    revoked=True, changed=next_version
                )
        for digest, key in listed.items():
            if digest not in self._keys:
                self._keys[digest] = KeyRecord(
                    digest, key.label, key.team, next_version, False, True
                )
        self._text = command.text
        self._rules = parsed
        self._rules_version = next_version
        return None

    def _find_key_errors(self, parsed: rules_lib.Rules) -> list[str]:
        errors = []
        live = {
            record.label: record
            for record in self._keys.values()
            if not record.revoked
        }
        for key in parsed.keys.values():
            record = self._keys.get(key.digest)
            if record is not None and record.revoked:
                errors.append(
                    f"key {key.label!r}: this digest was withdrawn as "
                    f"{record.label!r} and cannot be used again"
                )
            elif record is not None and record.team != key.team:
                errors.append(
                    f"key {key.label!r}: this digest belongs to team "
                    f"{record.team!r}"
                )
            elif record is None and key.label in live:
                errors.append(f"key {key.label!r}: the label is in use")
        return errors

    def _find_last_rules_change(self) -> Change | None:
        for change in reversed(self._history):
            if change.version == self._rules_version:
                return change
        return None

    def _create_key(self, command: CreateKey) -> Result | None:
        if command.team not in self._rules.teams:
            message = findings.unknown_word(
                "team", command.team, self._rules.teams
            )
            return Rejected(findings=[message])
        if command.digest in self._keys:
            return Rejected(findings=["this digest is already registered"])
        if self._find_live_key(command.label):
            message = f"key label {command.label!r} is in use"
            return Rejected(findings=[message])
        self._keys[command.digest] = KeyRecord(
            command.digest,
            command.label,
            command.team,
            self._version + 1,
            False,
            False,
        )
        return None

    def _revoke_key(self, command: RevokeKey) -> Result | None:
        record = self._find_live_key(command.label)
        if record is None:
            labels = {k.label for k in self._keys.values() if not k.revoked}
            message = findings.unknown_word("live key", command.label, labels)
            return Rejected(findings=[message])
        self._keys[record.digest] = record._replace(
            revoked=True, changed=self._version + 1
        )
        return None

    def _find_live_key(self, label: str) -> KeyRecord | None:
        for record in self._keys.values():
            if record.label == label and not record.revoked:
                return record
        return None

    def update_since(self, have_version: int) -> Update:
        """Returns the changes after `have_version` for a gateway.

        A version above the current one can only come from another history. It
        gets the complete configuration, and the receiver rejects the older
        version.
        """
        base = have_version if 0 < have_version <= self._version else 0
        return Update(
            base=base,
            version=self._version,
            rules_version=self._rules_version,
            text=self._text if self._rules_version > base else None,
            keys=[key for key in self._keys.values() if key.changed > base],
        )

    def snapshot(self) -> Snapshot:
        """Returns the complete state."""
        return Snapshot(
            version=self._version,
            rules_version=self._rules_version,
            text=self._text,
            keys=list(self._keys.values()),
            history=list(self._history),
        )

    def restore(self, snapshot: Snapshot) -> None:
        """Replaces the complete state."""
        parsed = rules_lib.parse(snapshot.text)
        assert isinstance(parsed, rules_lib.Rules), parsed
        self._version = snapshot.version
        self._rules_version = snapshot.rules_version
        self._text = snapshot.text
        self._rules = parsed
        self._keys = {key.digest: key for key in snapshot.keys}
        self._history = list(snapshot.history)
        self._changes_by_id = {c.change_id: c for c in self._history}


class ConfigurationView:
    """A gateway's copy of the configuration; its version never decreases."""

    def __init__(self) -> None:
        self._version = 0
        self._keys: dict[str, KeyRecord] = {}
        empty_rules = rules_lib.parse("")
        assert isinstance(empty_rules, rules_lib.Rules)
        self._rules = empty_rules

    @property
    def version(self) -> int:
        """Version of this copy; 0 before the first update."""
        return self._version

    @property
    def rules(self) -> rules_lib.Rules:
        """The rules of this copy."""
        return self._rules

    def update(self, update: Update) -> list[KeyRecord] | None:
        """Applies an update.

        Returns:
            The keys that it revoked, or None if the update cannot be applied:
            it is not newer, or it is based on a version this copy lacks.
        """
        if update.version <= self._version or update.base > self._version:
            return None
        if update.text is not None:
            parsed = rules_lib.parse(update.text)
            # The state machine has accepted this text with the same parser.
            assert isinstance(parsed, rules_lib.Rules), parsed
            self._rules = parsed
        revoked_keys = []
        for key in update.keys:
            previous = self._keys.get(key.digest)
            self._keys[key.digest] = key
            if key.revoked and previous is not None and not previous.revoked:
                revoked_keys.append(key)
        self._version = update.version
        return revoked_keys

    def find_key(self, presented: str) -> KeyRecord | None:
        """Returns the live key that matches a caller's secret, or None.

        The lookup is by digest: its timing could reveal only something about
        the digests of an attacker's guesses, not about keys.
        """
        record = self._keys.get(digest_of(presented))
        if record is None or record.revoked:
            return None
        return record

    def is_live(self, digest: str) -> bool:
        """Returns whether a key that was found earlier is still live."""
        record = self._keys.get(digest)
        return record is not None and not record.revoked

    def as_json(self) -> dict[str, Any]:
        """Returns the summary that `status` shows."""
        return {
            "version": self._version,
            "teams": len(self._rules.teams),
            "models": len(self._rules.models),
            "adapters": len(self._rules.adapters),
            "services": len(self._rules.services),
            "keys": sum(not key.revoked for key in self._keys.values()),
        }
