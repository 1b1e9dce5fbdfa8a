"""Entry hosts with the product's forwarder, and callers, of one run."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from collections.abc import Collection
from collections.abc import Coroutine
from collections.abc import Mapping
import contextlib
import dataclasses
import random
from unittest import mock

from endivestream import clock
from endivestream import site_messages
from endivestream.connection import exchange as exchange_lib
from endivestream.connection import process_probe
from endivestream.connection import process_proof as process_proof_lib
from endivestream.connection import registry as registry_lib
from endivestream.process import crash_reporter
from endivestream.request import admission
from endivestream.request import forward as forward_lib
from endivestream.request import forward_parts
from endivestream.request import names as names_lib
from endivestream.request import relay_hosts
from endivestream.request import repeats as repeats_lib
from endivestream.request import resumptions
from endivestream.request import routes as routes_lib
from endivestream.request import target_announcements
from endivestream.request import target_selection
from endivestream.request.buffering import target_memory as target_memory_lib
from endivestream.version import document as document_lib
from tornado import httputil

from soak import simulated_target as target_lib
from soak import virtual_time

_TIMEOUT_SECONDS = 4.0
_ENGINE_PROBABILITY = 0.5
# Prefill turns and grants of repeats take up to these times.
_TURN_SECONDS = (0.0, 0.1, 0.6)
_MAX_GRANT_SECONDS = 0.1
_OUTDATED_UPDATE_PROBABILITY = 0.3
_ENGINE = document_lib.EngineCapacity(
    slots=64,
    cache_tokens=100_000,
    weights_mb=1.0,
    adapter_places=0,
    loads_per_second=1.0,
    models=(),
)
_ROUTE = document_lib.Route(
    name="r",
    host="a.example",
    prefix="/x/",
    kind=document_lib.Kind.IDEMPOTENT,
    timeout=_TIMEOUT_SECONDS,
    objective=0.5,
    priority=1,
    max_attempts=3,
    services=(document_lib.WeightedService("desk", 1),),
)


@dataclasses.dataclass(frozen=True, kw_only=True)
class Scenario:
    """A site and its load.

    Attributes:
        seed: Seed of all draws.
        hosts: Number of entry hosts.
        targets: Number of targets.
        request_rate: Requests a second that arrive at each host.
        seconds: Duration.
        max_delay_seconds: Longest delay of a message to or from a target.
        refused_seconds: Time for which targets refuse at the start, and
            nothing else happens; None for disturbances drawn from the seed.
        refusing_targets: Number of targets that refuse then; all if None.
        refusal_seconds: Longest Retry-After of these; None for none.
        drawn_refusal_seconds: Values of the longest Retry-After that
            disturbances draw from; None for none.
        room: Requests that each target has room for; None for any number.
        brittle_limit: Refusals in a second that each target survives and
            announces; None for any number.
        route: The only route.
        connections: Connections of each host to a target.
    """

    seed: int
    hosts: int
    targets: int
    request_rate: float
    seconds: float
    max_delay_seconds: float = 0.005
    refused_seconds: float | None = None
    refusing_targets: int | None = None
    refusal_seconds: float | None = 3.0
    drawn_refusal_seconds: tuple[float | None, ...] = (0.8, 3.0, 6.0)
    room: int | None = None
    brittle_limit: int | None = None
    route: document_lib.Route = _ROUTE
    connections: int = 100


class Call:
    """A caller's request and its answer.

    Attributes:
        status: Status of the answer; 0 before it.
        retry_at: When the caller may retry; None without a Retry-After.
    """

    method, uri, path, body = "POST", "/x/", "/x/", b""
    is_refused = False

    def __init__(self, number: int) -> None:
        names = names_lib.HeaderNames()
        self.headers = httputil.HTTPHeaders(
            {
                "Host": _ROUTE.host,
                names.request: str(number),
                names.model: "a",
                names.tokens: "100,10",
            }
        )
        self.arrived_at = clock.now()
        self.head_sent = False
        self.status = 0
        self.retry_at: float | None = None

    async def send_head(
        self, status: int, headers: httputil.HTTPHeaders, chunk: bytes = b""
    ) -> None:
        """Records the answer."""
        self.head_sent = True
        self.status = status

    async def write(self, chunk: bytes) -> None:
        """Ignores a part of the body."""

    def finish(self) -> None:
        """Ignores the end of the answer."""

    def abort(self) -> None:
        """Ignores the close of the connection."""

    async def answer(
        self, status: int, headers: dict[str, str], body: bytes
    ) -> None:
        """Records an answer of the host itself."""
        self.head_sent = True
        self.status = status
        if "Retry-After" in headers:
            self.retry_at = clock.now() + float(headers["Retry-After"])


class _UnlimitedCredit(forward_parts.Credit):
    async def take(
        self,
        team: document_lib.Team,
        cost: float,
        *,
        timely_within: float,
        patience: float,
    ) -> float | None:
        return None

    def refund(self, team: document_lib.Team, cost: float) -> None:
        pass


class Host:
    """An entry host, whose leader grants each repeat after a while."""

    def __init__(
        self,
        *,
        name: str,
        scenario: Scenario,
        random_source: random.Random,
        target_at: Callable[[str], target_lib.Target],
        engine: document_lib.EngineCapacity | None,
        changed_parts: Mapping[str, object] | None = None,
        target_memory: target_memory_lib.TargetMemory | None = None,
    ) -> None:
        """Creates the forwarder.

        Args:
            name: Name of the host.
            scenario: The site and its load.
            random_source: Source of all draws.
            target_at: Returns the target with an address.
            engine: Capacity of the targets; None for plain ones.
            changed_parts: Parts of the forwarder that differ from the usual.
            target_memory: Bounds the load of targets; None without bounds.
        """
        self.name = name
        self.random_source = random_source
        self.max_delay_seconds = scenario.max_delay_seconds
        self.target_at = target_at
        self._change_event = asyncio.Event()
        self._view = target_selection.TargetView(
            domain="a",
            announcements=target_announcements.TargetAnnouncements(host=name),
            target_memory=target_memory,
        )
        if scenario.brittle_limit is not None or target_memory is not None:
            self._view.set_hosts(scenario.hosts)
        service = document_lib.Service(
            name="desk",
            health_path="/",
            connections=scenario.connections * scenario.hosts,
            engine=engine,
        )
        document = document_lib.Document(
            version=1, routes=(scenario.route,), services=(service,), teams=()
        )
        table = routes_lib.Table(document=document)
        repeats = repeats_lib.RepeatBudget(
            ratio=0.0, window=10.0, slack=0.0, now=clock.now()
        )
        rules = admission.AdmissionInputs(
            names=names_lib.HeaderNames(),
            table=lambda: table,
            lease_until=lambda: clock.now() + 1.0,
            share=lambda: 1 / scenario.hosts,
            can_finish=lambda kind: True,
        )
        process_proof = process_proof_lib.ProcessProof(codec=None)
        self._crash_reporter = crash_reporter.CrashReporter(
            probe=process_probe.ProcessProbe(
                pool=self, process_proof=process_proof
            ),
            host=self.name,
            request_leader=mock.AsyncMock(return_value=None),
            target_memory=target_memory,
        )
        parts = forward_parts.SharedParts(
            rules=rules,
            view=self._view,
            pool=self,
            relay_hosts=relay_hosts.RelayHosts(),
            host=self.name,
            credit=_UnlimitedCredit(),
            repeats=lambda service: repeats,
            request_repeat=self._request_repeat,
            report_missing=lambda work, origin: lambda: None,
            wait_for_change=self._wait_for_change,
            confirm_configuration=mock.AsyncMock(return_value=True),
            request_received=lambda work: None,
            target_assigned=lambda work: None,
            model_idle=lambda: None,
            slot_freed=self._signal_change,
            acquire_send=mock.AsyncMock(return_value=None),
            rate_limit_reported=lambda registration, text: None,
            prefill_delay=self._delay_prefill,
            prefill_observed=lambda *sample: None,
            find_origin=self._find_no_origin,
            sole_software=self._find_no_software,
            stream_bound=lambda attempts, origin, seconds: None,
            process_proof=process_proof,
            crash_reporter=self._crash_reporter,
            record_metrics=lambda summary: None,
            target_memory=target_memory,
        )
        self._forwarder = forward_lib.Forwarder(
            parts=parts._replace(**(changed_parts or {}))
        )

    @property
    def forwarder(self) -> forward_lib.Forwarder:
        """Serves the requests."""
        return self._forwarder

    async def serve(self, call: Call) -> None:
        """Serves a caller's request."""
        await self._forwarder.serve(call)

    def update(
        self, registrations: Collection[registry_lib.Registration]
    ) -> None:
        """Applies a table update of the leader."""
        known = self._view.targets
        for each in registrations:
            previous = known.get(each.name)
            if (
                previous is not None
                and previous.registration.started_at_ms < each.started_at_ms
            ):
                self._crash_reporter.record_replaced(previous.registration)
        targets = [
            site_messages.Target(registration=each) for each in registrations
        ]
        self._view.set_targets(targets, [], clock.now(), clock.now())
        self._signal_change()

    def record_report(self, registration: registry_lib.Registration) -> None:
        """Applies an update that shows a further report of a process."""
        self._crash_reporter.record_report(registration)

    def _signal_change(self) -> None:
        self._change_event.set()
        self._change_event = asyncio.Event()

    async def _wait_for_change(self, seconds: float) -> None:
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(seconds):
                await self._change_event.wait()

    async def _find_no_origin(self, attempt: str) -> resumptions.Lookup:
        return resumptions.Lookup(resumptions.Source.ABSENT)

    async def _find_no_software(
        self, service: str, seconds: float, is_resumable: bool
    ) -> None:
        return None

    async def _request_repeat(self, service: str) -> bool:
        await asyncio.sleep(self.random_source.uniform(0, _MAX_GRANT_SECONDS))
        return True

    async def _delay_prefill(
        self, target: str, domain: str, tokens: float, rank: int
    ) -> float:
        return self.random_source.choice(_TURN_SECONDS)


class Site:
    """Hosts, targets and callers of one run.

    Attributes:
        targets: The targets.
        calls: All requests of callers.
    """

    def __init__(self, *, scenario: Scenario) -> None:
        self._scenario = scenario
        self._random = random.Random(scenario.seed)
        engine = None
        if self._random.random() < _ENGINE_PROBABILITY:
            engine = _ENGINE
        self.targets = [
            target_lib.Target(name=f"t{n}", random_source=self._random)
            for n in range(scenario.targets)
        ]
        for target in self.targets:
            target.room = scenario.room
            target.brittle_limit = scenario.brittle_limit
        by_address = {each.registration.address: each for each in self.targets}
        self._hosts = [
            Host(
                name=f"e{n}",
                scenario=scenario,
                random_source=self._random,
                target_at=by_address.__getitem__,
                engine=engine,
            )
            for n in range(scenario.hosts)
        ]
        self.calls: list[Call] = []
        self._tasks: set[asyncio.Task[None]] = set()

    @property
    def violations(self) -> list[target_lib.Violation]:
        """Requests that should not have reached their targets."""
        return [v for target in self.targets for v in target.violations]

    async def run(self) -> None:
        """Runs for the scenario's duration."""
        self._update_hosts(self.targets)
        for host in self._hosts:
            self._start_task(self._generate_requests(host))
        if self._scenario.refused_seconds is None:
            self._start_task(self._disturb())
        else:
            self._start_refusals(clock.now() + self._scenario.refused_seconds)
        await asyncio.sleep(self._scenario.seconds)

    def _start_refusals(self, until: float) -> None:
        for target in self.targets[: self._scenario.refusing_targets]:
            target.refuses_until = until
            target.refusal_seconds = self._scenario.refusal_seconds

    async def close(self) -> None:
        """Ends all requests."""
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def _start_task(self, coroutine: Coroutine[object, object, None]) -> None:
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _update_hosts(self, targets: Collection[target_lib.Target]) -> None:
        for host in self._hosts:
            host.update([target.registration for target in targets])

    async def _generate_requests(self, host: Host) -> None:
        while True:
            await asyncio.sleep(
                self._random.expovariate(self._scenario.request_rate)
            )
            call = Call(len(self.calls))
            self.calls.append(call)
            self._start_task(host.serve(call))

    async def _disturb(self) -> None:
        """Has targets refuse, drain and restart, in overlapping series."""
        while True:
            await asyncio.sleep(self._random.uniform(0.1, 2.0))
            target = self._random.choice(self.targets)
            match self._random.choice(["refuse", "refuse", "drain", "restart"]):
                case "refuse":
                    target.refusal_seconds = self._random.choice(
                        self._scenario.drawn_refusal_seconds
                    )
                    target.refuses_until = clock.now() + self._random.uniform(
                        0.5, 9.0
                    )
                case "drain":
                    target.is_draining = True
                case "restart":
                    target.restart()
                    await asyncio.sleep(self._random.uniform(0.0, 0.3))
                    self._update_hosts([target])
            if self._random.random() < _OUTDATED_UPDATE_PROBABILITY:
                # An update that lists all targets as ready.
                self._update_hosts(self.targets)


def run(scenario: Scenario) -> Site:
    """Runs a scenario in virtual time and returns the site at its end."""

    async def run_site() -> Site:
        site = Site(scenario=scenario)
        await site.run()
        await site.close()
        return site

    with (
        virtual_time.running() as runner,
        mock.patch.object(exchange_lib, "Exchange", target_lib.Exchange),
    ):
        return runner.run(run_site())


def draw_scenario(seed: int) -> Scenario:
    """Returns a scenario whose size, load and disturbances follow a seed."""
    return Scenario(
        seed=seed,
        hosts=(1, 3, 8)[seed % 3],
        targets=(1, 2, 4)[seed // 3 % 3],
        request_rate=(4.0, 15.0)[seed % 2],
        seconds=40.0,
        max_delay_seconds=(0.005, 0.1)[seed % 2],
    )
