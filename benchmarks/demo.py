"""End-to-end demo of streaming and idempotent calls with real processes.

Runs one `endivestreamd` without a settings file, one stand-in engine and one
stand-in service. Prints each result; exits with status 1 at the first one that
is not as expected.
"""

from __future__ import annotations

import json
import pathlib
import sys
import tempfile
import time
import urllib.request
import uuid

import processes

_RULES = """\
team workshops rate=2000 burst=4000        # Amina, Fes hall
model brass-diagnosis memory=400           # Amina, Fes hall
adapter brass-trumpets model=brass-diagnosis memory=8  # Yusuf
service parts-desk idempotent=no           # the ledger group
allow workshops brass-diagnosis brass-trumpets parts-desk  # Amina
"""


def _check(condition: bool, description: str) -> None:
    if not condition:
        raise RuntimeError(description)
    print(f"ok: {description}")


def _operate(address: str, *arguments: str) -> dict:
    completed = processes.operate(
        "--output", "json", *arguments, address=address
    )
    command = " ".join(arguments)
    _check(
        completed.returncode == 0,
        f"endivestream {command} {completed.stderr}".strip(),
    )
    return json.loads(completed.stdout)


def _stream(url: str, key: str, model: str) -> tuple[int, bool]:
    """Prints a streamed response; returns its tokens and if it is complete."""
    request = urllib.request.Request(
        f"{url}/v1/chat/completions",
        data=json.dumps(
            {
                "model": model,
                "messages": [
                    {"role": "user", "content": "The third valve sticks."}
                ],
                "max_tokens": 24,
                "stream": True,
            }
        ).encode(),
        headers={"Authorization": f"Bearer {key}"},
    )
    tokens, complete = 0, False
    with urllib.request.urlopen(request, timeout=30) as answer:
        for line in answer:
            if not line.startswith(b"data: "):
                continue
            if line.strip() == b"data: [DONE]":
                complete = True
                continue
            choice = json.loads(line[6:])["choices"][0]
            text = choice["delta"].get("content")
            if text:
                tokens += 1
                print(text, end="", flush=True)
    print()
    return tokens, complete


def _send_order(url: str, key: str, name: str) -> tuple[int, bytes, bool]:
    status, headers, body = processes.fetch(
        f"{url}/v1/services/parts-desk/orders",
        method="POST",
        headers={
            "Authorization": f"Bearer {key}",
            "Idempotency-Key": name,
            "Content-Type": "application/json",
        },
        body={"part": "valve spring", "count": 3},
    )
    return status, body, headers.get("Idempotency-Replayed") == "true"


def _run(folder: pathlib.Path, started: list[processes.Process]) -> str:
    started_at = time.monotonic()
    daemon = processes.StandaloneDaemon(folder=folder)
    started.append(daemon)
    url, inner = daemon.url, daemon.address
    gateway = f"--gateway=http://{inner}"
    started.append(
        processes.stand_in(
            "engine", folder=folder, name="engine-1", arguments=[gateway]
        )
    )
    started.append(
        processes.stand_in(
            "service",
            folder=folder,
            name="desk-1",
            arguments=[gateway, "--service=parts-desk"],
        )
    )
    processes.wait_for(
        lambda: processes.fetch(f"{url}/readyz")[0] == 200, "the host is ready"
    )
    rules = folder / "rules.txt"
    rules.write_text(_RULES)
    _operate(inner, "rules", "apply", str(rules), "--wait", "10")
    created = _operate(
        inner, "key", "create", "--label=bench-1", "--team=workshops"
    )
    key = created["key"]
    processes.wait_for(
        lambda: _operate(inner, "models").get("brass-diagnosis"),
        "the planner has loaded the model",
    )
    tokens, complete = _stream(url, key, "brass-trumpets")
    _check(
        tokens == 24 and complete,
        f"{tokens} tokens streamed, complete={complete}",
    )

    name = str(uuid.uuid4())
    first = _send_order(url, key, name)
    second = _send_order(url, key, name)
    _check(first[0] == 200 and not first[2], f"order ran: {first[1].decode()}")
    _check(
        second[0] == 200 and second[2] and second[1] == first[1],
        "the retried order received the stored answer and did not run again",
    )
    third = _send_order(url, key, str(uuid.uuid4()))
    _check(
        json.loads(third[1])["run"] == 2,
        "the next order is the 2nd that the service ran",
    )

    _operate(inner, "key", "revoke", "bench-1", "--wait", "10")
    status, _, body = processes.fetch(
        f"{url}/v1/chat/completions",
        method="POST",
        headers={"Authorization": f"Bearer {key}"},
        body={"model": "brass-diagnosis", "messages": [{"role": "user"}]},
    )
    error = json.loads(body)["error"]
    _check(
        status == 401 and error["outcome"] == "not_run",
        f"the withdrawn key is refused: {error['message']}",
    )
    _check(daemon.stop() == 0, "graceful shutdown, exit status 0")
    seconds = time.monotonic() - started_at
    return (
        f"received {tokens} tokens, 2 orders run, 1 replayed, 1 key refused, "
        f"{seconds:.1f} s"
    )


def main() -> int:
    """Runs the demo; returns the exit status."""
    started: list[processes.Process] = []
    with tempfile.TemporaryDirectory() as folder:
        try:
            print(f"demo: {_run(pathlib.Path(folder), started)}")
            return 0
        except (RuntimeError, TimeoutError, OSError, ValueError, KeyError) as e:
            print(f"demo failed: {e!r}", file=sys.stderr)
            for process in started:
                print(f"--- {process.name}", file=sys.stderr)
                print(process.log.read_text()[-3000:], file=sys.stderr)
            return 1
        finally:
            for process in started:
                process.kill()


if __name__ == "__main__":
    sys.exit(main())
