"""The control role: the log, leases, limits, scheduling and placement.

One process holds it for now; see docs/ARCHITECTURE.md for what moves to other
hosts, and in which order.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
import contextlib
import pathlib
import time
from typing import Any

import msgspec
import zmq.asyncio

from endivestream import findings
from endivestream import logs
from endivestream import messages
from endivestream.connection import exchange as exchange_lib
from endivestream.connection import links
from endivestream.process import dispatcher as dispatcher_lib
from endivestream.process import limiter as limiter_lib
from endivestream.process import placer as placer_lib
from endivestream.process import settings as settings_lib
from endivestream.version import calls as calls_lib
from endivestream.version import commit as commit_lib
from endivestream.version import configuration as configuration_lib
from endivestream.version import state as state_lib
from endivestream.version import storage as storage_lib
from endivestream.version import watchers as watchers_lib

# How often answers of calls that outlived their time are dropped.
_EXPIRE_SECONDS = 60.0


class Control:
    """Answers all messages that hosts send to the control host."""

    def __init__(
        self,
        *,
        settings: settings_lib.Settings,
        context: zmq.asyncio.Context,
        pool: exchange_lib.Pool,
        on_failed: Callable[[OSError], None],
    ) -> None:
        timing = settings.timing
        self._settings = settings
        self._server = links.Server(
            address=settings.peers.address,
            handle=self._handle,
            context=context,
        )
        self._committer = commit_lib.Committer(
            storage=storage_lib.Storage(
                folder=pathlib.Path(settings.host.data_folder)
            ),
            on_applied=self._applied,
            on_failed=on_failed,
        )
        self._limiter = limiter_lib.Limiter()
        self._dispatcher = dispatcher_lib.Dispatcher(
            silence_seconds=timing.target_silence_seconds
        )
        self._placer = placer_lib.Placer(
            committer=self._committer,
            targets=self._dispatcher.targets,
            pool=pool,
            plan_seconds=timing.plan_seconds,
            loads_at_once=settings.weight_store.loads_at_once,
        )
        self._watchers = watchers_lib.Watchers(
            lease_seconds=timing.lease_seconds,
            silence_seconds=timing.host_silence_seconds,
            now=time.monotonic(),
        )
        self._tasks: list[asyncio.Task[None]] = []
        self._pushing: set[asyncio.Task[None]] = set()

    @property
    def address(self) -> str:
        """Where it listens for other hosts."""
        return self._server.address

    @property
    def live_targets(self) -> set[str]:
        """Names of targets that may get new work."""
        live = self._dispatcher.targets.live(time.monotonic())
        return {session.info.name for session in live}

    @property
    def levels(self) -> dict[str, float]:
        """Each team's credit in tokens."""
        return self._limiter.levels()

    def start(self) -> None:
        """Reads the state back, then answers.

        Raises:
            storage_lib.CorruptError: The stored data is damaged.
            OSError: It cannot be read, or the address cannot be used.
        """
        self._committer.start()
        self._limiter.set_teams(
            dict(self._committer.state.configuration.rules.teams), fresh=False
        )
        self._dispatcher.set_teams(
            dict(self._committer.state.configuration.rules.teams)
        )
        self._server.start()
        self._dispatcher.start()
        self._placer.start()
        self._tasks = [asyncio.create_task(self._sweep())]

    async def close(self) -> None:
        """Stops in the reverse order."""
        for task in (*self._tasks, *self._pushing):
            task.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await task
        await self._server.close()
        await self._placer.close()
        await self._dispatcher.close()
        self._limiter.close()
        await self._committer.close()

    async def _sweep(self) -> None:
        expire_at = time.monotonic() + _EXPIRE_SECONDS
        while True:
            await asyncio.sleep(self._settings.timing.watch_seconds)
            now = time.monotonic()
            self._watchers.live(now)  # Renews the table's version.
            for host in self._watchers.forget(now):
                # Its process may hang and come back; its places are free for
                # others now, its calls stay "running" until a new incarnation
                # of it shows that the old one is dead.
                freed = self._dispatcher.release_host(host.name)
                logs.warn("host_gone", peer=host.name, places_freed=freed)
            if now > expire_at and len(self._committer.state.calls):
                expire_at = now + _EXPIRE_SECONDS
                await self._committer.propose(
                    calls_lib.ExpireCalls(now=time.time())
                )

    def _applied(
        self, command: state_lib.Command, result: state_lib.Result
    ) -> None:
        """Follows a commit: limits, weights, pushes to all gateways."""
        if not isinstance(result, configuration_lib.Applied):
            return
        if isinstance(command, configuration_lib.ApplyRules):
            teams = dict(self._committer.state.configuration.rules.teams)
            self._limiter.set_teams(teams, fresh=True)
            self._dispatcher.set_teams(teams)
        logs.event(
            "configuration",
            version=result.version,
            change=type(command).__name__,
            author=getattr(command, "author", ""),
            repeated=result.repeated,
        )
        task = asyncio.create_task(self._push_change())
        self._pushing.add(task)
        task.add_done_callback(self._pushing.discard)

    async def _push_change(self) -> None:
        """Tells every watcher that there is news; each then watches."""
        now = time.monotonic()
        push = messages.Lease(
            update=None,
            version=self._committer.state.configuration.version,
            seconds=0.0,
            hosts=None,
            hosts_version=self._watchers.hosts_version,
        )
        for peer in self._watchers.peers(now):
            await self._server.push(peer, push)

    async def _handle(
        self, peer: bytes, message: messages.Message
    ) -> messages.Message | None:
        match message:
            case messages.Watch():
                return await self._watch(peer, message)
            case messages.Charge():
                return await self._limiter.charge(message)
            case messages.Endings(endings=endings):
                for ending in endings:
                    self._limiter.settle(ending)
                    self._dispatcher.release(ending)
                return messages.Noted()
            case messages.AskTicket():
                return await self._dispatcher.ask(message)
            case messages.Propose(command=command):
                result = await self._committer.propose(command)
                return messages.Committed(result=result)
            case messages.Announce(info=info):
                refused = self._dispatcher.announce(info)
                return messages.Known(unknown=[], reason=refused)
            case messages.Report(reports=reports):
                unknown = self._dispatcher.report(reports)
                return messages.Known(unknown=unknown)
            case messages.DrainTarget(name=name, draining=draining):
                known = self._dispatcher.drain(name, draining)
                valid = self._dispatcher.targets.sessions
                reason = (
                    ""
                    if known
                    else findings.unknown_word("target", name, valid)
                )
                return messages.Known(unknown=[], reason=reason)
            case messages.AskStatus(view=view, version=version):
                body = msgspec.json.encode(self._view(view, version))
                return messages.Status(body=body)
            case _:
                logs.warn("unexpected", message=type(message).__name__)
        return None

    async def _watch(
        self, peer: bytes, message: messages.Watch
    ) -> messages.Message | None:
        now = time.monotonic()
        previous = self._watchers.find(message.host.name)
        if not self._watchers.renew(message.host, peer, message.have, now):
            logs.warn(
                "two_hosts_one_name",
                peer=message.host.name,
                incarnation=message.host.incarnation,
            )
            return None
        if previous is None or previous.incarnation < message.host.incarnation:
            logs.event("host_in", peer=message.host.name)
            # A newer incarnation proves that the old process is dead.
            self._dispatcher.release_host(message.host.name)
            await self._abandon_calls(message.host)
        elif previous.draining != message.host.draining:
            logs.event("host_draining", peer=message.host.name)
            self._watchers.live(now)
            await self._push_change()
        configuration = self._committer.state.configuration
        update = None
        if message.have != configuration.version:
            update = configuration.update_since(message.have)
        hosts_version = self._watchers.hosts_version
        seen = message.hosts_seen == hosts_version
        return messages.Lease(
            update=update,
            version=configuration.version,
            seconds=self._settings.timing.lease_seconds,
            hosts=None if seen else self._watchers.live(now),
            hosts_version=hosts_version,
        )

    async def _abandon_calls(self, host: messages.HostInfo) -> None:
        dead = any(
            name == host.name and incarnation < host.incarnation
            for name, incarnation in self._committer.state.calls.running_hosts
        )
        if dead:
            await self._committer.propose(
                calls_lib.AbandonCalls(host=host.name, before=host.incarnation)
            )

    def _view(self, view: str, version: int) -> Any:
        """Returns what operators asked to see, as JSON-ready data."""
        now = time.monotonic()
        configuration = self._committer.state.configuration
        match view:
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
                return self._view_targets(now)
            case "models":
                return self._view_models(now)
            case "in_force":
                lagging = self._watchers.lagging(version, now)
                return {"version": version, "lagging": lagging}
            case "status":
                return self._view_status(now)
            case _:
                valid = "rules history keys targets models in_force status"
                what = findings.unknown_word("view", view, valid.split())
                return {"error": {"message": what}}

    def _view_status(self, now: float) -> dict[str, Any]:
        state = self._committer.state
        return {
            "control": self._settings.host.name,
            "term": self._committer.term,
            "log_index": self._committer.index,
            "configuration_version": state.configuration.version,
            "rules_version": state.configuration.rules_version,
            "hosts": [host._asdict() for host in self._watchers.live(now)],
            "targets_live": len(self._dispatcher.targets.live(now)),
            "targets_known": len(self._dispatcher.targets.sessions),
            "models_without_room": self._placer.unplaced,
            "calls_kept": len(state.calls),
            "credit": self._limiter.levels(),
        }

    def _view_targets(self, now: float) -> list[dict[str, Any]]:
        ledger = self._committer.state.ledger.targets
        live = {s.info.name for s in self._dispatcher.targets.live(now)}
        rows = []
        for name, session in self._dispatcher.targets.sessions.items():
            entry = ledger.get(name)
            rows.append(
                {
                    "name": name,
                    "kind": session.info.kind,
                    "domain": session.info.domain,
                    "url": session.info.url,
                    "live": name in live,
                    "draining": session.draining
                    or name in self._dispatcher.targets.held_back,
                    "silent_s": round(now - session.heard, 2),
                    "held_mib": entry.held if entry else 0,
                    "memory_mib": session.info.memory,
                    "loaded": sorted(session.loaded),
                }
            )
        return rows

    def _view_models(self, now: float) -> dict[str, int]:
        copies = dict.fromkeys(
            self._committer.state.configuration.rules.models, 0
        )
        for session in self._dispatcher.targets.live(now):
            for model in session.loaded:
                if model in copies:
                    copies[model] += 1
        return copies
