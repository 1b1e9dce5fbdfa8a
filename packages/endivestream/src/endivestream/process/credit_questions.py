"""One entry host's questions about credit, gathered into few messages.

The load pattern that it answers: a team asks for many times its rate, no host
holds credit of it, and each of its requests asks the leader. A message for
each would be more than the leader can read, and it would answer nobody. So
only a few messages are under way at a time, and what is asked meanwhile goes
along with the next: a question alone leaves at once, and the slower the leader
is, the more share a message.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
import dataclasses

from endivestream import site_messages
from endivestream import tasks
from endivestream.connection import watch as watch_lib

# A leader answers about credit within a few milliseconds.
_ANSWER_SECONDS = 0.25
# Messages under way at a time: a lost one must not hold up all others.
_UNDER_WAY = 2
# Questions in a message.
_MOST_ASKED = 64


@dataclasses.dataclass(kw_only=True)
class _Question:
    """A question that waits for its answer.

    Attributes:
        asked: What is asked for.
        answer: The grant; None without an answer.
    """

    asked: site_messages.CreditAsk
    answer: asyncio.Future[site_messages.Grant | None]


class CreditQuestions:
    """Questions to the leader. Lives as long as the process."""

    def __init__(
        self,
        *,
        watch: watch_lib.Watch,
        host: str,
        unclaimed: Callable[[site_messages.Grant], None],
    ) -> None:
        """Asks nothing yet.

        Args:
            watch: The session with the leader.
            host: This host's name.
            unclaimed: Takes a grant whose request has gone meanwhile.
        """
        self._watch = watch
        self._host = host
        self._unclaimed = unclaimed
        self._waiting: list[_Question] = []
        self._under_way: set[asyncio.Task[None]] = set()

    async def ask(
        self, asked: site_messages.CreditAsk
    ) -> site_messages.Grant | None:
        """Asks for credit; None without an answer."""
        answer = asyncio.get_running_loop().create_future()
        self._waiting.append(_Question(asked=asked, answer=answer))
        self._send()
        return await answer

    def _send(self) -> None:
        while self._waiting and len(self._under_way) < _UNDER_WAY:
            questions = self._waiting[:_MOST_ASKED]
            del self._waiting[:_MOST_ASKED]
            task = tasks.start(self._exchange(questions), "credit")
            self._under_way.add(task)
            task.add_done_callback(self._over)

    def _over(self, task: asyncio.Task[None]) -> None:
        self._under_way.discard(task)
        if not task.cancelled():
            self._send()

    async def _exchange(self, questions: list[_Question]) -> None:
        message = site_messages.AskCredit(
            host=self._host, asked=tuple(each.asked for each in questions)
        )
        answer = await self._watch.ask(message, seconds=_ANSWER_SECONDS)
        grants: tuple[site_messages.Grant | None, ...] = ()
        if isinstance(answer, site_messages.GiveCredit):
            grants = answer.grants
        if len(grants) != len(questions):
            grants = (None,) * len(questions)
        for question, grant in zip(questions, grants, strict=True):
            if not question.answer.done():
                question.answer.set_result(grant)
            elif grant is not None:
                self._unclaimed(grant)

    async def close(self) -> None:
        """Ends what is under way."""
        await tasks.cancel(list(self._under_way))
