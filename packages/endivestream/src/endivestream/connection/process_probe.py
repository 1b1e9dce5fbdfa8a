"""Tells whether a target process has ended.

A broken answer has many causes: a reset, a fault of the target, a drain, the
end of its process. Only after the last one does its host refuse connections,
or does another process answer at the address. A path that is cut refuses
nothing and proves nothing.
"""

from __future__ import annotations

import enum

from tornado import iostream

from endivestream.connection import exchange as exchange_lib
from endivestream.connection import process_proof as process_proof_lib
from endivestream.connection import registry as registry_lib

# A host that runs refuses or accepts a connection within milliseconds.
_CONNECT_SECONDS = 0.2


class ProcessState(enum.StrEnum):
    """State of a process, as far as a new connection shows it."""

    ENDED = "ended"
    RUNNING = "running"
    # Something listens at its address, perhaps the next process.
    LISTENING = "listening"
    UNKNOWN = "unknown"


class ProcessProbe:
    """Opens connections to targets whose answers broke off."""

    def __init__(
        self,
        *,
        pool: exchange_lib.Pool,
        process_proof: process_proof_lib.ProcessProof,
    ) -> None:
        self._pool = pool
        self._process_proof = process_proof

    async def state(
        self, registration: registry_lib.Registration, *, is_engine: bool
    ) -> ProcessState:
        """Returns the state of a process.

        Args:
            registration: The process.
            is_engine: Whether it states its start time.
        """
        exchange = exchange_lib.Exchange(
            pool=self._pool, url=f"http://{registration.address}/"
        )
        try:
            await exchange.connect(seconds=_CONNECT_SECONDS, is_new=True)
            if not is_engine:
                return ProcessState.LISTENING
            started_at_ms = await self._process_proof.started_at_ms(
                exchange, registration
            )
        except exchange_lib.ExchangeError as error:
            is_refused = _is_refused(error.__cause__)
            return ProcessState.ENDED if is_refused else ProcessState.UNKNOWN
        finally:
            exchange.close()
        if started_at_ms > registration.started_at_ms:
            return ProcessState.ENDED
        return ProcessState.RUNNING


def _is_refused(error: BaseException | None) -> bool:
    if isinstance(error, iostream.StreamClosedError):
        error = error.real_error
    return isinstance(error, ConnectionRefusedError)
