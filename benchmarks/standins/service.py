"""Stand-in plain service that records the calls that it ran."""

from __future__ import annotations

import argparse
import asyncio
import json
from typing import Any

from tornado import web

from standins import target as target_lib


class Service(target_lib.Target):
    """Simulated plain service that runs as a process or as a task.

    Attributes:
        ran: Method, uri, headers and body of every call that ran.
        delay_seconds: Time from a call to its response.
        cut_answers: Number of responses to cut off after the call ran;
            decremented at each.
        print_runs: Whether to print each call that ran, so that the record
            survives the process.
    """

    def __init__(
        self,
        *,
        name: str,
        services: list[str],
        domain: str,
        gateways: list[str],
    ) -> None:
        super().__init__(
            info={
                "name": name,
                "kind": "service",
                "domain": domain,
                "services": services,
                "slots": 32,
            },
            gateways=gateways,
        )
        self.ran: list[dict[str, Any]] = []
        self.delay_seconds = 0.0
        self.cut_answers = 0
        self.print_runs = False

    def serve(self, port: int = 0) -> int:
        """Starts to serve, announce and report; returns the port."""
        routes = [(r"/.*", _Handler, {"service": self})]
        port = self.listen(
            web.Application(routes, log_function=lambda handler: None), port
        )
        self.start()
        return port


class _Handler(web.RequestHandler):
    def initialize(self, service: Service) -> None:
        self.service = service

    async def _run(self) -> None:
        self.service.ran.append(
            {
                "method": self.request.method,
                "uri": self.request.uri,
                "headers": dict(self.request.headers.get_all()),
                "body": self.request.body,
            }
        )
        run_number = len(self.service.ran)
        if self.service.print_runs:
            print(f"ran {self.request.uri}", flush=True)
        await asyncio.sleep(self.service.delay_seconds)
        if self.service.cut_answers:
            self.service.cut_answers -= 1
            self.request.connection.stream.close()
            return
        self.set_header("Content-Type", "application/json")
        self.write(json.dumps({"run": run_number, "path": self.request.path}))

    get = post = put = delete = patch = _run


async def _main(arguments: argparse.Namespace) -> None:
    service = Service(
        name=arguments.name,
        services=arguments.service,
        domain=arguments.domain,
        gateways=arguments.gateway,
    )
    service.delay_seconds = arguments.delay_seconds
    service.print_runs = arguments.print_runs
    print(f"port={service.serve(arguments.port)}", flush=True)
    await asyncio.Event().wait()


def main() -> None:
    """Runs a service as a process."""
    parser = argparse.ArgumentParser(prog="standins.service")
    parser.add_argument("--name", required=True)
    parser.add_argument("--service", action="append", required=True)
    parser.add_argument("--domain", default="local")
    parser.add_argument("--gateway", action="append", required=True)
    parser.add_argument("--port", type=int, default=0)
    parser.add_argument("--delay-seconds", type=float, default=0.0)
    parser.add_argument("--print-runs", action="store_true")
    asyncio.run(_main(parser.parse_args()))


if __name__ == "__main__":
    main()
