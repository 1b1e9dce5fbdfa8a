"""Prompt prefixes that targets probably have in their caches. Does no I/O.

Engines cache processed prompts in limited memory. The hints are derived from
routing decisions: a target that was sent a prompt has processed its blocks.
Like entries of the engine's cache, hints are evicted least recently used
first. A wrong hint only costs processing the prompt again.
"""

from __future__ import annotations

import collections
from collections.abc import Sequence
import hashlib

# Size of a block. The hash of a block covers all text before it, so equal
# hashes mean equal prefixes.
BLOCK_BYTES = 256
# Maximum number of blocks hashed per request; the rest of a longer prompt is
# ignored.
MAX_HASHED_BLOCKS = 32
# Maximum number of hints per target; each takes about 100 bytes.
_MAX_BLOCKS_PER_TARGET = 4096


def block_hashes(text: bytes) -> list[int]:
    """Returns the hashes of a prompt's complete blocks, in order."""
    digest = hashlib.blake2b(digest_size=8)
    hashes = []
    last_start = min(len(text), MAX_HASHED_BLOCKS * BLOCK_BYTES) - BLOCK_BYTES
    for start in range(0, last_start + 1, BLOCK_BYTES):
        digest.update(text[start : start + BLOCK_BYTES])
        hashes.append(int.from_bytes(digest.digest()))
    return hashes


class Prefixes:
    """Hints for the targets of one pool."""

    def __init__(self) -> None:
        self._cached_blocks: dict[str, collections.OrderedDict[int, None]] = {}

    def __repr__(self) -> str:
        blocks = sum(map(len, self._cached_blocks.values()))
        return (
            f"<Prefixes: {blocks} blocks on {len(self._cached_blocks)} targets>"
        )

    def covered(self, target: str, blocks: Sequence[int]) -> int:
        """Returns how many leading blocks a target has probably cached."""
        cached = self._cached_blocks.get(target)
        if cached is None:
            return 0
        count = 0
        for block in blocks:
            if block not in cached:
                break
            count += 1
        return count

    def note(self, target: str, blocks: Sequence[int]) -> None:
        """Records that a target processes a prompt."""
        if not blocks:
            return
        cached = self._cached_blocks.setdefault(
            target, collections.OrderedDict()
        )
        for block in blocks:
            cached[block] = None
            cached.move_to_end(block)
        while len(cached) > _MAX_BLOCKS_PER_TARGET:
            cached.popitem(last=False)

    def forget(self, target: str) -> None:
        """Drops the hints for a target that restarted with an empty cache."""
        self._cached_blocks.pop(target, None)
