"""The replicated state machine: configuration, calls, memory, credit.

Commands are applied in log order and deterministically: without clock, random
numbers or files. Each component checks its invariants when it applies a
command, so no proposer can violate them.
"""

from __future__ import annotations

import msgspec

from endivestream.version import calls as calls_lib
from endivestream.version import configuration as configuration_lib
from endivestream.version import credit as credit_lib
from endivestream.version import departures as departures_lib
from endivestream.version import document as document_lib
from endivestream.version import evacuations as evacuations_lib
from endivestream.version import lease_holders as lease_holders_lib
from endivestream.version import ledger as ledger_lib
from endivestream.version import planner_lease as planner_lease_lib
from endivestream.version import software_versions as software_versions_lib

Command = (
    configuration_lib.ApplyRules
    | configuration_lib.CreateKey
    | configuration_lib.RevokeKey
    | calls_lib.ClaimCall
    | calls_lib.CompleteCall
    | calls_lib.AbandonCalls
    | calls_lib.ExpireCalls
    | ledger_lib.RegisterTarget
    | ledger_lib.ReserveLoad
    | ledger_lib.ConfirmLoad
    | credit_lib.ReserveCredit
    | document_lib.ApplyDocument
    | departures_lib.Depart
    | evacuations_lib.SetEvacuation
    | lease_holders_lib.RecordLeaseHolders
    | planner_lease_lib.GrantPlannerLease
    | planner_lease_lib.ConfirmPlannerLease
    | software_versions_lib.RecordSoftware
)
Result = (
    configuration_lib.Applied
    | configuration_lib.Conflict
    | configuration_lib.Rejected
    | calls_lib.CallStarted
    | calls_lib.CallExists
    | calls_lib.KeyRejected
    | calls_lib.CommandApplied
    | ledger_lib.MemoryReserved
    | ledger_lib.LedgerRejected
    | ledger_lib.LedgerUpdated
    | credit_lib.CreditReserved
    | document_lib.DocumentApplied
    | departures_lib.Departed
    | evacuations_lib.EvacuationSet
    | lease_holders_lib.LeaseHoldersRecorded
    | planner_lease_lib.PlannerLeaseGranted
    | software_versions_lib.SoftwareRecorded
)

_encoder = msgspec.msgpack.Encoder()
_command_decoder = msgspec.msgpack.Decoder(Command)


class _Snapshot(msgspec.Struct, frozen=True, kw_only=True):
    configuration: configuration_lib.Snapshot
    calls: calls_lib.Snapshot
    ledger: dict[str, ledger_lib.Target]
    credit: tuple[int, dict[str, credit_lib.CreditLevel]]
    document: document_lib.Document | None = None
    departures: dict[str, int | None] = {}
    announcements: dict[str, departures_lib.Announcement] = {}
    seat: planner_lease_lib.PlannerLeaseRecord = (
        planner_lease_lib.PlannerLeaseRecord()
    )
    evacuations: evacuations_lib.EvacuationRecord = (
        evacuations_lib.EvacuationRecord()
    )
    lease_holders: dict[str, float | None] | None = None
    software_versions: software_versions_lib.SoftwareRecord | None = None


_snapshot_decoder = msgspec.msgpack.Decoder(_Snapshot)


def encode(command: Command) -> bytes:
    """Encodes a command for the log."""
    return _encoder.encode(command)


def decode(data: bytes) -> Command:
    """Decodes a command from the log; raises msgspec.DecodeError."""
    return _command_decoder.decode(data)


class State:
    """The complete replicated state.

    Attributes:
        configuration: Rules and API keys.
        calls: Records of non-idempotent calls.
        ledger: Loaded and reserved memory of targets.
        credit: Credit of the teams, without what is reserved for the leader.
        document: The configuration document, which is replaced as a unit.
        departures: Targets that have deregistered or announced it.
        planner_lease: Planner lease: the host that places models.
        evacuations: Failure domains whose targets get no requests.
        lease_holders: Entry hosts that may hold a lease.
        software_versions: Software versions that targets have had.
    """

    def __init__(self) -> None:
        self.configuration = configuration_lib.Configuration()
        self.calls = calls_lib.Calls()
        self.ledger = ledger_lib.MemoryLedger()
        self.credit = credit_lib.Credit()
        self.document = document_lib.DocumentState()
        self.departures = departures_lib.Departures()
        self.planner_lease = planner_lease_lib.PlannerLease()
        self.evacuations = evacuations_lib.Evacuations()
        self.lease_holders = lease_holders_lib.LeaseHolders()
        self.software_versions = software_versions_lib.SoftwareVersions()

    def __repr__(self) -> str:
        return f"<State {self.configuration!r} {self.calls!r} {self.ledger!r}>"

    def apply(self, index: int, command: Command) -> Result:
        """Applies the command at `index` of the log."""
        match command:
            case (
                configuration_lib.ApplyRules()
                | configuration_lib.CreateKey()
                | configuration_lib.RevokeKey()
            ):
                return self.configuration.apply(command)
            case (
                calls_lib.ClaimCall()
                | calls_lib.CompleteCall()
                | calls_lib.AbandonCalls()
                | calls_lib.ExpireCalls()
            ):
                return self.calls.apply(command)
            case (
                ledger_lib.RegisterTarget()
                | ledger_lib.ReserveLoad()
                | ledger_lib.ConfirmLoad()
            ):
                return self.ledger.apply(index, command)
            case credit_lib.ReserveCredit():
                return self.credit.apply(command)
            case document_lib.ApplyDocument():
                return self._apply_document(command)
            case departures_lib.Depart():
                return self.departures.apply(command)
            case (
                planner_lease_lib.GrantPlannerLease()
                | planner_lease_lib.ConfirmPlannerLease()
            ):
                return self.planner_lease.apply(command)
            case evacuations_lib.SetEvacuation():
                return self.evacuations.apply(command)
            case lease_holders_lib.RecordLeaseHolders():
                return self.lease_holders.apply(command)
            case software_versions_lib.RecordSoftware():
                return self.software_versions.apply(
                    command, has_configuration=self.document.current is not None
                )

    def _apply_document(
        self, command: document_lib.ApplyDocument
    ) -> document_lib.DocumentApplied:
        former = self.document.current
        result = self.document.apply(command)
        if (
            result.changed
            and former is not None
            and document_lib.has_stream_moved(former, command.document)
        ):
            self.software_versions.record_moved_streams()
        return result

    def snapshot(self) -> bytes:
        """Encodes the complete state."""
        return _encoder.encode(
            _Snapshot(
                configuration=self.configuration.snapshot(),
                calls=self.calls.snapshot(),
                ledger=self.ledger.snapshot(),
                credit=self.credit.snapshot(),
                document=self.document.current,
                departures=self.departures.start_times_ms,
                announcements=self.departures.announcements,
                seat=self.planner_lease.record,
                evacuations=self.evacuations.record,
                lease_holders=self.lease_holders.seconds,
                software_versions=self.software_versions.snapshot(),
            )
        )

    def restore(self, data: bytes) -> None:
        """Replaces the complete state; raises msgspec.DecodeError."""
        snapshot = _snapshot_decoder.decode(data)
        self.configuration.restore(snapshot.configuration)
        self.calls.restore(snapshot.calls)
        self.ledger.restore(snapshot.ledger)
        self.credit.restore(snapshot.credit)
        self.document.current = snapshot.document
        self.departures.restore(snapshot.departures, snapshot.announcements)
        self.planner_lease.record = snapshot.seat
        self.evacuations.record = snapshot.evacuations
        self.lease_holders.restore(snapshot.lease_holders)
        self.software_versions.restore(snapshot.software_versions)
