"""Which target has read which beginning of a prompt already. Pure.

Engines cache what they have read in limited memory. The hints here come from
our own routing: a target that was given a prompt has read its blocks. They age
as the engine's cache does, by least recent use, and are only hints: a wrong
one costs reading the prompt again, nothing else.
"""

from __future__ import annotations

import collections
from collections.abc import Sequence
import hashlib

# Text is cut into blocks; the name of a block covers all before it, so equal
# names mean equal beginnings.
BLOCK_BYTES = 256
# Blocks named for one request; a longer prompt's rest is not looked at.
MOST_BLOCKS = 32
# Blocks remembered for one target, about 100 bytes each.
_KEPT_BLOCKS = 4096


def block_names(text: bytes) -> list[int]:
    """Returns the names of a prompt's whole blocks, the first first."""
    digest = hashlib.blake2b(digest_size=8)
    names = []
    last = min(len(text), MOST_BLOCKS * BLOCK_BYTES) - BLOCK_BYTES
    for start in range(0, last + 1, BLOCK_BYTES):
        digest.update(text[start : start + BLOCK_BYTES])
        names.append(int.from_bytes(digest.digest()))
    return names


class Prefixes:
    """Hints for the targets of one pool."""

    def __init__(self) -> None:
        self._read: dict[str, collections.OrderedDict[int, None]] = {}

    def __repr__(self) -> str:
        blocks = sum(map(len, self._read.values()))
        return f"<Prefixes: {blocks} blocks on {len(self._read)} targets>"

    def covered(self, target: str, blocks: Sequence[int]) -> int:
        """Returns how many leading blocks a target has probably read."""
        read = self._read.get(target)
        if read is None:
            return 0
        count = 0
        for block in blocks:
            if block not in read:
                break
            count += 1
        return count

    def note(self, target: str, blocks: Sequence[int]) -> None:
        """Notes that a target reads a prompt."""
        if not blocks:
            return
        read = self._read.setdefault(target, collections.OrderedDict())
        for block in blocks:
            read[block] = None
            read.move_to_end(block)
        while len(read) > _KEPT_BLOCKS:
            read.popitem(last=False)

    def forget(self, target: str) -> None:
        """Drops a target's hints; it started anew with an empty cache."""
        self._read.pop(target, None)
