"""Operators' views of the leader's state, as JSON-serializable data."""

from __future__ import annotations

import time
from typing import Any

from endivestream import findings
from endivestream.process import leader as leader_lib
from endivestream.version import replicate

VIEWS = (
    "status",
    "rules",
    "history",
    "keys",
    "targets",
    "models",
    "voters",
    "in_force",
)


def view(
    name: str,
    *,
    version: int,
    host: str,
    replicator: replicate.Replicator,
    leader_role: leader_lib.Leader,
) -> Any:
    """Returns one view.

    Args:
        name: One of `VIEWS`.
        version: For `in_force`: the configuration version to check.
        host: The leader's name.
        replicator: The leader's replica.
        leader_role: The leader role.
    """
    now = time.monotonic()
    configuration = replicator.state.configuration
    match name:
        case "rules":
            return {
                "version": configuration.rules_version,
                "text": configuration.text,
            }
        case "history":
            return [change._asdict() for change in configuration.history]
        case "keys":
            return [
                {
                    "label": key.label,
                    "team": key.team,
                    "revoked": key.revoked,
                    "changed": key.changed,
                    "digest": key.digest[:12],
                }
                for key in configuration.keys
            ]
        case "targets":
            return _targets(replicator, leader_role, now)
        case "models":
            return _models(replicator, leader_role, now)
        case "voters":
            return _voters(replicator)
        case "in_force":
            lagging = leader_role.host_leases.lagging(version, now)
            return {"version": version, "lagging": lagging}
        case "status":
            return _status(host, replicator, leader_role, now)
        case _:
            message = findings.unknown_word("view", name, VIEWS)
            return {"error": {"message": message}}


def _status(
    host: str,
    replicator: replicate.Replicator,
    leader_role: leader_lib.Leader,
    now: float,
) -> dict[str, Any]:
    state = replicator.state
    targets = leader_role.dispatcher.targets
    members = replicator.replica.members
    return {
        "control": host,
        "term": replicator.term,
        "log_index": replicator.index,
        "voters": len(members.voters),
        "learners": len(members.learners),
        "configuration_version": state.configuration.version,
        "rules_version": state.configuration.rules_version,
        "hosts": [host._asdict() for host in leader_role.host_leases.live],
        "targets_live": len(targets.live(now)),
        "targets_known": len(targets.sessions),
        "models_without_room": leader_role.placer.unplaced,
        "calls_kept": len(state.calls),
        "credit": leader_role.limiter.levels(),
    }


def _voters(replicator: replicate.Replicator) -> list[dict[str, Any]]:
    replica = replicator.replica
    rows = []
    for member in replica.members.all:
        is_leader = member.identity == replicator.identity
        is_voter = replica.members.is_voter(member.identity)
        rows.append(
            {
                "name": member.name,
                "identity": member.identity[:8],
                "address": member.address,
                "role": "leader"
                if is_leader
                else "voter"
                if is_voter
                else "learner",
                "synced": (
                    replica.commit
                    if is_leader
                    else replica.match_index(member.identity)
                ),
                "behind": 0
                if is_leader
                else max(
                    0, replica.commit - replica.match_index(member.identity)
                ),
                "silent_s": round(
                    replica.seconds_since_reply(member.identity), 2
                ),
            }
        )
    return rows


def _targets(
    replicator: replicate.Replicator, leader_role: leader_lib.Leader, now: float
) -> list[dict[str, Any]]:
    ledger = replicator.state.ledger.targets
    targets = leader_role.dispatcher.targets
    live = {session.info.name for session in targets.live(now)}
    rows = []
    for name, session in targets.sessions.items():
        entry = ledger.get(name)
        rows.append(
            {
                "name": name,
                "kind": session.info.kind,
                "domain": session.info.domain,
                "url": session.info.url,
                "live": name in live,
                "draining": session.draining
                or name in targets.drained_by_operator,
                "silent_s": round(now - session.received_at, 2),
                "held_mib": entry.reserved_mib if entry else 0,
                "memory_mib": session.info.memory,
                "loaded": sorted(session.loaded),
            }
        )
    return rows


def _models(
    replicator: replicate.Replicator, leader_role: leader_lib.Leader, now: float
) -> dict[str, int]:
    copies = dict.fromkeys(replicator.state.configuration.rules.models, 0)
    for session in leader_role.dispatcher.targets.live(now):
        for model in session.loaded:
            if model in copies:
                copies[model] += 1
    return copies
