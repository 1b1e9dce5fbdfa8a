"""HTTP client of the operators' interface that every host serves."""

from __future__ import annotations

import json
from typing import Any
from typing import NamedTuple
import urllib.parse

from tornado import httpclient

_CONNECT_SECONDS = 2.0
_REQUEST_SECONDS = 20.0


class Answer(NamedTuple):
    """Response of a host.

    Attributes:
        status: HTTP status; 0 when no host could be reached.
        body: Decoded JSON.
    """

    status: int
    body: Any


class Client:
    """Sends each request to its addresses in order until one responds.

    A response with status 503 counts as none.
    """

    def __init__(self, *, addresses: list[str], token: str) -> None:
        self._addresses = addresses
        self._token = token

    def get(self, path: str) -> Answer:
        """Fetches a view."""
        return self._call("GET", path, None)

    def post(self, path: str, body: dict[str, Any]) -> Answer:
        """Sends a change. A change has an id, so that retries are safe."""
        return self._call("POST", path, json.dumps(body).encode())

    def _call(self, method: str, path: str, body: bytes | None) -> Answer:
        client = httpclient.HTTPClient()
        failures = []
        try:
            for address in self._addresses:
                answer = self._try_address(client, address, method, path, body)
                if isinstance(answer, str):
                    failures.append(f"{address}: {answer}")
                    continue
                if answer.status != 503:
                    return answer
                failures += answer.body.get("error", {}).get("findings", [])
        finally:
            client.close()
        failure_body = {"error": {"type": "unreachable", "findings": failures}}
        return Answer(0, failure_body)

    def _try_address(
        self,
        client: httpclient.HTTPClient,
        address: str,
        method: str,
        path: str,
        body: bytes | None,
    ) -> Answer | str:
        headers = {"Content-Type": "application/json"}
        if self._token:
            headers["Authorization"] = f"Bearer {self._token}"
        base = address if "//" in address else f"http://{address}"
        try:
            answer = client.fetch(
                urllib.parse.urljoin(base, path),
                method=method,
                headers=headers,
                body=body,
                connect_timeout=_CONNECT_SECONDS,
                request_timeout=_REQUEST_SECONDS,
                raise_error=False,
            )
            if answer.code == 599:
                return str(answer.error)
            return Answer(answer.code, json.loads(answer.body))
        except (OSError, ValueError, httpclient.HTTPError) as error:
            return str(error)
