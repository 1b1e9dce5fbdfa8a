"""The configuration: the rules text and the keys, under one version.

`Configuration` is the replicated side, changed by commands from the log.
`View` is a gateway's copy, brought up to date by `Update`s. An update carries
whatever changed after the receiver's version, so a gateway that slept through
any number of changes catches up in one exchange, without a list of changes.
"""

from __future__ import annotations

import hashlib
from typing import Any
from typing import NamedTuple

import msgspec

from endivestream import findings
from endivestream.version import rules as rules_lib

# How many changes `history` and the answers to resent changes reach back;
# nearly four days at 1,100 changes a day.
HISTORY_KEPT = 4096


class ApplyRules(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Replaces the whole rules text.

    Attributes:
        text: The new text.
        expected_version: The version of the text it was edited from.
        change_id: Chosen by the sender; the same id may be sent again.
        author: Who changes.
        comment: Why.
        at: Unix time in seconds, as the proposer saw it.
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
        team: Team whose work it opens.
        digest: SHA-256 of the key, hexadecimal.
        change_id: As in `ApplyRules`.
        author: Who changes.
        at: Unix time in seconds.
    """

    label: str
    team: str
    digest: str
    change_id: str
    author: str
    at: float


class RevokeKey(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Withdraws a key for good.

    Attributes:
        label: The key's name.
        change_id: As in `ApplyRules`.
        author: Who changes.
        at: Unix time in seconds.
    """

    label: str
    change_id: str
    author: str
    at: float


Command = ApplyRules | CreateKey | RevokeKey


class Applied(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """The change holds.

    Attributes:
        version: The configuration's version that brought it.
        repeated: True when an earlier send of the same change brought it.
    """

    version: int
    repeated: bool = False


class Conflict(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Another change came first.

    Attributes:
        version: Current version of the rules text.
        author: Who made the change that won.
        change_id: The id of the change that won.
    """

    version: int
    author: str
    change_id: str


class Rejected(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """The change is faulty in itself.

    Attributes:
        findings: Every fault, ready to print.
    """

    findings: list[str]


Result = Applied | Conflict | Rejected


class Change(NamedTuple):
    """One line of the history.

    Attributes:
        version: The version it brought.
        at: Unix time in seconds.
        author: Who changed.
        comment: Why, or what was changed.
        change_id: The sender's id.
        fingerprint: Digest of the content, to tell a resend from a reuse.
    """

    version: int
    at: float
    author: str
    comment: str
    change_id: str
    fingerprint: str


class KeyRecord(NamedTuple):
    """A key's digest and its fate.

    Attributes:
        digest: SHA-256, hexadecimal.
        label: The key's name.
        team: The team it opens.
        changed: The version that made or withdrew it.
        revoked: A withdrawn digest stays known, so that no later text or
            command brings it back.
        from_rules: It stands in the rules text and goes when its line goes.
    """

    digest: str
    label: str
    team: str
    changed: int
    revoked: bool
    from_rules: bool


class Update(msgspec.Struct, frozen=True, kw_only=True):
    """What changed after a version.

    Attributes:
        base: The version it builds on; 0 when it is whole.
        version: The version it leads to.
        rules_version: The version of the rules text.
        text: The rules text if it changed, else None.
        keys: Keys made or withdrawn after `base`.
    """

    base: int
    version: int
    rules_version: int
    text: str | None
    keys: list[KeyRecord]


class Snapshot(msgspec.Struct, frozen=True, kw_only=True):
    """The whole configuration, as it is stored."""

    version: int
    rules_version: int
    text: str
    keys: list[KeyRecord]
    history: list[Change]


def fingerprint(*parts: str) -> str:
    """Returns a digest by which equal contents are recognized."""
    return hashlib.sha256("\0".join(parts).encode()).hexdigest()[:32]


def digest_of(key: str) -> str:
    """Returns the stored form of a caller's key."""
    return hashlib.sha256(key.encode()).hexdigest()


class Configuration:
    """The replicated rules and keys."""

    def __init__(self) -> None:
        self._version = 0
        self._rules_version = 0
        self._text = ""
        empty = rules_lib.parse("")
        assert isinstance(empty, rules_lib.Rules)
        self._rules = empty
        self._keys: dict[str, KeyRecord] = {}
        self._history: list[Change] = []
        self._by_change: dict[str, Change] = {}

    @property
    def version(self) -> int:
        """The number of the last accepted change."""
        return self._version

    @property
    def rules_version(self) -> int:
        """The version that brought the present rules text."""
        return self._rules_version

    @property
    def text(self) -> str:
        """The rules text."""
        return self._text

    @property
    def rules(self) -> rules_lib.Rules:
        """The rules text, read."""
        return self._rules

    @property
    def keys(self) -> list[KeyRecord]:
        """All keys, withdrawn ones too."""
        return list(self._keys.values())

    @property
    def history(self) -> list[Change]:
        """The last changes, oldest first."""
        return list(self._history)

    def __repr__(self) -> str:
        live = sum(not key.revoked for key in self._keys.values())
        return (
            f"<Configuration version {self._version}: "
            f"{len(self._rules.models)} models, {live} live keys>"
        )

    def apply(self, command: Command) -> Result:
        """Applies one command in log order; the same on every replica."""
        match command:
            case ApplyRules(text=text):
                content = fingerprint("rules", text)
            case CreateKey(label=label, team=team, digest=digest):
                content = fingerprint("create", label, team, digest)
            case RevokeKey(label=label):
                content = fingerprint("revoke", label)
        earlier = self._by_change.get(command.change_id)
        if earlier is not None:
            if earlier.fingerprint == content:
                return Applied(version=earlier.version, repeated=True)
            what = f"change id {command.change_id!r} was used for other content"
            return Rejected(findings=[what])
        match command:
            case ApplyRules():
                failed = self._apply_rules(command)
                comment = command.comment
            case CreateKey():
                failed = self._create_key(command)
                comment = f"key {command.label} for team {command.team}"
            case RevokeKey():
                failed = self._revoke_key(command)
                comment = f"key {command.label} withdrawn"
        if failed is not None:
            return failed
        self._version += 1
        self._remember(
            Change(
                self._version,
                command.at,
                command.author,
                comment,
                command.change_id,
                content,
            )
        )
        return Applied(version=self._version)

    def _remember(self, change: Change) -> None:
        self._history.append(change)
        self._by_change[change.change_id] = change
        if len(self._history) > HISTORY_KEPT:
            oldest = self._history.pop(0)
            self._by_change.pop(oldest.change_id, None)

    def _apply_rules(self, command: ApplyRules) -> Result | None:
        if command.expected_version != self._rules_version:
            last = self._last_rules_change()
            return Conflict(
                version=self._rules_version,
                author=last.author if last else "",
                change_id=last.change_id if last else "",
            )
        parsed = rules_lib.parse(command.text)
        if not isinstance(parsed, rules_lib.Rules):
            return Rejected(findings=[str(found) for found in parsed])
        faults = self._key_faults(parsed)
        if faults:
            return Rejected(findings=faults)
        next_version = self._version + 1
        wanted = {key.digest: key for key in parsed.keys.values()}
        for digest, record in list(self._keys.items()):
            gone = record.from_rules and digest not in wanted
            # A key whose team is gone must not open another team's work when
            # a team of that name is made again.
            orphan = record.team not in parsed.teams
            if not record.revoked and (gone or orphan):
                self._keys[digest] = record._replace(
                    revoked=True, changed=next_version
                )
        for digest, key in wanted.items():
            if digest not in self._keys:
                self._keys[digest] = KeyRecord(
                    digest, key.label, key.team, next_version, False, True
                )
        self._text = command.text
        self._rules = parsed
        self._rules_version = next_version
        return None

    def _key_faults(self, parsed: rules_lib.Rules) -> list[str]:
        faults = []
        live = {
            record.label: record
            for record in self._keys.values()
            if not record.revoked
        }
        for key in parsed.keys.values():
            record = self._keys.get(key.digest)
            if record is not None and record.revoked:
                faults.append(
                    f"key {key.label!r}: this digest was withdrawn as "
                    f"{record.label!r} and cannot come back"
                )
            elif record is not None and record.team != key.team:
                faults.append(
                    f"key {key.label!r}: this digest opens team {record.team!r}"
                )
            elif record is None and key.label in live:
                faults.append(f"key {key.label!r}: the label is in use")
        return faults

    def _last_rules_change(self) -> Change | None:
        for change in reversed(self._history):
            if change.version == self._rules_version:
                return change
        return None

    def _create_key(self, command: CreateKey) -> Result | None:
        if command.team not in self._rules.teams:
            what = findings.unknown_word(
                "team", command.team, self._rules.teams
            )
            return Rejected(findings=[what])
        if command.digest in self._keys:
            return Rejected(findings=["this digest is known already"])
        if self._live_key(command.label):
            what = f"key label {command.label!r} is in use"
            return Rejected(findings=[what])
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
        record = self._live_key(command.label)
        if record is None:
            labels = {k.label for k in self._keys.values() if not k.revoked}
            what = findings.unknown_word("live key", command.label, labels)
            return Rejected(findings=[what])
        self._keys[record.digest] = record._replace(
            revoked=True, changed=self._version + 1
        )
        return None

    def _live_key(self, label: str) -> KeyRecord | None:
        for record in self._keys.values():
            if record.label == label and not record.revoked:
                return record
        return None

    def update_since(self, have: int) -> Update:
        """Returns what a gateway at version `have` lacks.

        A version above the present one can only come from another history;
        it gets the whole, and the receiver refuses to go back.
        """
        base = have if 0 < have <= self._version else 0
        return Update(
            base=base,
            version=self._version,
            rules_version=self._rules_version,
            text=self._text if self._rules_version > base else None,
            keys=[key for key in self._keys.values() if key.changed > base],
        )

    def snapshot(self) -> Snapshot:
        """Returns the whole state."""
        return Snapshot(
            version=self._version,
            rules_version=self._rules_version,
            text=self._text,
            keys=list(self._keys.values()),
            history=list(self._history),
        )

    def restore(self, snapshot: Snapshot) -> None:
        """Replaces the whole state."""
        parsed = rules_lib.parse(snapshot.text)
        assert isinstance(parsed, rules_lib.Rules), parsed
        self._version = snapshot.version
        self._rules_version = snapshot.rules_version
        self._text = snapshot.text
        self._rules = parsed
        self._keys = {key.digest: key for key in snapshot.keys}
        self._history = list(snapshot.history)
        self._by_change = {c.change_id: c for c in self._history}


class View:
    """A gateway's copy of the configuration; it never goes back."""

    def __init__(self) -> None:
        self._version = 0
        self._keys: dict[str, KeyRecord] = {}
        empty = rules_lib.parse("")
        assert isinstance(empty, rules_lib.Rules)
        self._rules = empty

    @property
    def version(self) -> int:
        """The version this copy shows; 0 before the first update."""
        return self._version

    @property
    def rules(self) -> rules_lib.Rules:
        """The rules in force here."""
        return self._rules

    def update(self, update: Update) -> list[KeyRecord] | None:
        """Takes an update in.

        Returns:
            The keys that it withdrew, or None when the update cannot be used:
            it is not newer, or it builds on a version this copy lacks.
        """
        if update.version <= self._version or update.base > self._version:
            return None
        if update.text is not None:
            parsed = rules_lib.parse(update.text)
            # The state machine accepted this text with the same parser.
            assert isinstance(parsed, rules_lib.Rules), parsed
            self._rules = parsed
        withdrawn = []
        for key in update.keys:
            known = self._keys.get(key.digest)
            self._keys[key.digest] = key
            if key.revoked and known is not None and not known.revoked:
                withdrawn.append(key)
        self._version = update.version
        return withdrawn

    def key(self, presented: str) -> KeyRecord | None:
        """Returns the live key behind a caller's secret, or None.

        The look-up is by digest: an attacker who could time it would learn
        about digests of guesses, not about keys.
        """
        record = self._keys.get(digest_of(presented))
        if record is None or record.revoked:
            return None
        return record

    def is_live(self, digest: str) -> bool:
        """Tells whether a key seen earlier still opens work."""
        record = self._keys.get(digest)
        return record is not None and not record.revoked

    def as_json(self) -> dict[str, Any]:
        """Returns what `status` shows of it."""
        return {
            "version": self._version,
            "teams": len(self._rules.teams),
            "models": len(self._rules.models),
            "adapters": len(self._rules.adapters),
            "services": len(self._rules.services),
            "keys": sum(not key.revoked for key in self._keys.values()),
        }
