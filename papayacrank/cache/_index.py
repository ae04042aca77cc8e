"""Index of the prompt blocks cached by engines."""

from array import array
from bisect import bisect_left
from collections.abc import Iterable, Iterator, Sequence

import msgspec

from ._target_sets import TargetSetTable

FINGERPRINT_BITS = 64
FINGERPRINT_MASK = (1 << FINGERPRINT_BITS) - 1
# An insertion moves half a segment on average: 4 KiB at this size.
SEGMENT_BLOCKS = 1024
# Reclaiming retired slots visits every target set, so many are reclaimed at once.
MAX_RETIRED_SLOTS = 32
PAGE_BLOCKS = 32_768
MAX_TARGETS = 65_536


class IndexPage(msgspec.Struct, array_like=True):
    """One page of an index that a starting instance copies from a peer.

    Attributes
    ----------
    targets : list of (str, int)
        Names and incarnations.
    groups : list of list of int
        Positions in `targets`.
    fingerprints, numbers : bytes
        64-bit fingerprints and 32-bit positions in `groups`, in machine order.
    """

    targets: list[tuple[str, int]]
    groups: list[list[int]]
    fingerprints: bytes
    numbers: bytes


class PrefixIndex:
    """Maps the leading blocks of a prompt to the targets that have cached them.

    A block is stored as a 64-bit fingerprint of its 128-bit hash and the number of the
    set of its targets: 12 bytes in sorted segments, without pointers. A collision of
    fingerprints can only make a routing decision worse; engines compare tokens or full
    hashes before they reuse a block.

    Parameters
    ----------
    max_blocks : int
        Maximum number of distinct blocks. Beyond it, random blocks are evicted; they
        are stored again when they are next used.
    """

    def __init__(self, max_blocks: int):
        self.max_blocks = max_blocks
        segment_bits = max(0, (max_blocks // SEGMENT_BLOCKS).bit_length())
        self._shift = FINGERPRINT_BITS - segment_bits
        self._segments: list[tuple[array, array] | None] = [None] * (1 << segment_bits)
        self._target_sets = TargetSetTable()
        self._slots: dict[str, int] = {}
        self._incarnations: dict[str, int] = {}
        self._targets: list[str | None] = []
        self._free_slots: list[int] = []
        self._live_mask = 0
        self._retired_mask = 0
        self._uncertain_mask = 0
        self._eviction_cursor = 0
        self._segments_to_sweep = 0
        self.block_count_ = 0
        self.evicted_count_ = 0

    def __len__(self) -> int:
        return self.block_count_

    def incarnation(self, target: str) -> int | None:
        """Return the latest known incarnation of a target."""
        return self._incarnations.get(target)

    def slot(self, target: str) -> int | None:
        """Return the bit number of a target in the masks of `match_levels`."""
        return self._slots.get(target)

    def set_incarnation(self, target: str, incarnation: int) -> bool:
        """Set the running incarnation of a target.

        Returns
        -------
        bool
            False if `incarnation` is older than the latest known one. A newer one
            invalidates all entries of the target at once.
        """
        known = self._incarnations.get(target)
        if known is not None and incarnation < known:
            return False
        if known != incarnation:
            if known is None and len(self._incarnations) >= MAX_TARGETS:
                return False
            self.clear(target)
            self._incarnations[target] = incarnation
        return True

    def set_uncertain(self, target: str, uncertain: bool) -> None:
        """Set whether matches on a target are halved, because its events have a gap."""
        slot = self._slots.get(target)
        if slot is None:
            slot = self._allocate_slot(target)
        bit = 1 << slot
        if uncertain:
            self._uncertain_mask |= bit
        else:
            self._uncertain_mask &= ~bit

    def is_uncertain(self, target: str) -> bool:
        """Return whether matches on a target are halved."""
        slot = self._slots.get(target)
        return slot is not None and bool(self._uncertain_mask >> slot & 1)

    def clear(self, target: str) -> None:
        """Remove all entries of a target but keep its incarnation."""
        slot = self._slots.pop(target, None)
        if slot is None:
            return
        bit = 1 << slot
        self._live_mask &= ~bit
        self._uncertain_mask &= ~bit
        self._retired_mask |= bit
        self._targets[slot] = None
        # Each store sweeps one segment, which bounds the pause.
        self._segments_to_sweep = len(self._segments)
        if self._retired_mask.bit_count() >= MAX_RETIRED_SLOTS:
            self._reclaim_slots()

    def remove_target(self, target: str) -> None:
        """Remove all entries and the incarnation of a target that left the fleet."""
        self.clear(target)
        self._incarnations.pop(target, None)

    def store(self, target: str, incarnation: int, hashes: Iterable[int]) -> int:
        """Record that a target holds blocks.

        Parameters
        ----------
        target : str
            Name of the engine.
        incarnation : int
            Incarnation of the engine that holds the blocks; older ones are ignored.
        hashes : iterable of int
            Block hashes.

        Returns
        -------
        int
            Number of blocks that are new to the target.
        """
        if not self.set_incarnation(target, incarnation):
            return 0
        slot = self._slots.get(target)
        bit = 1 << (self._allocate_slot(target) if slot is None else slot)
        return self._add_blocks((h & FINGERPRINT_MASK for h in hashes), bit)

    def remove(self, target: str, incarnation: int, hashes: Iterable[int]) -> int:
        """Record that a target no longer holds blocks.

        Returns
        -------
        int
            Number of blocks that were removed from the target.
        """
        slot = self._slots.get(target)
        if slot is None or incarnation != self._incarnations.get(target):
            return 0
        bit = 1 << slot
        masks = self._target_sets.masks
        removed = 0
        for value in hashes:
            fingerprint = value & FINGERPRINT_MASK
            segment = self._segments[fingerprint >> self._shift]
            if segment is None:
                continue
            keys, numbers = segment
            position = bisect_left(keys, fingerprint)
            if position == len(keys) or keys[position] != fingerprint:
                continue
            number = numbers[position]
            mask = masks[number]
            if not mask & bit:
                continue
            removed += 1
            rest = mask & ~bit & ~self._retired_mask
            if rest:
                numbers[position] = self._target_sets.acquire(rest)
            else:
                del keys[position]
                del numbers[position]
                self.block_count_ -= 1
            self._target_sets.release(number)
        return removed

    def match_levels(self, hashes: Sequence[int]) -> list[tuple[int, int]]:
        """Find the targets that hold the leading blocks of a prompt.

        Returns
        -------
        list of (int, int)
            Number of leading blocks, and mask of the targets that hold exactly as many,
            deepest first. Matches on uncertain targets are not halved.
        """
        levels = []
        matching = self._live_mask
        masks = self._target_sets.masks
        segments = self._segments
        depth = 0
        for value in hashes:
            fingerprint = value & FINGERPRINT_MASK
            segment = segments[fingerprint >> self._shift]
            mask = 0
            if segment is not None:
                keys, numbers = segment
                position = bisect_left(keys, fingerprint)
                if position < len(keys) and keys[position] == fingerprint:
                    mask = masks[numbers[position]]
            remaining = matching & mask
            if remaining != matching:
                if depth:
                    levels.append((depth, matching & ~mask))
                matching = remaining
                if not matching:
                    break
            depth += 1
        if matching and depth:
            levels.append((depth, matching))
        levels.reverse()
        return levels

    def match(self, hashes: Sequence[int]) -> dict[str, int]:
        """Return the number of leading blocks that each target holds.

        Targets without a match are omitted. The number is halved on targets with a gap
        in their events, because any block may have been evicted.
        """
        depths = {}
        for depth, mask in self.match_levels(hashes):
            for slot in iterate_bits(mask):
                depths[self._targets[slot]] = self.usable_depth(slot, depth)
        return depths

    def usable_depth(self, slot: int, depth: int) -> int:
        """Return `depth`, halved while the events of the target have a gap."""
        if self._uncertain_mask >> slot & 1:
            return (depth + 1) // 2
        return depth

    def target_at(self, slot: int) -> str | None:
        """Return the target in a slot, None if the slot is unused."""
        return self._targets[slot]

    def replace(self, target: str, incarnation: int, hashes: Iterable[int]) -> None:
        """Replace all entries of a target by a listing."""
        if self.set_incarnation(target, incarnation):
            self.clear(target)
            self.store(target, incarnation, hashes)

    def export_page(self, cursor: int = 0) -> tuple[bytes, int | None]:
        """Encode the page of the index that starts at `cursor`.

        Returns
        -------
        bytes
            Page for `import_page`.
        int or None
            Cursor of the next page, None at the end.
        """
        fingerprints, numbers = array("Q"), array("I")
        position = cursor
        while position < len(self._segments) and len(fingerprints) < PAGE_BLOCKS:
            segment = self._segments[position]
            if segment is not None:
                fingerprints.extend(segment[0])
                numbers.extend(segment[1])
            position += 1
        page = self._encode_page(fingerprints, numbers)
        return page, position if position < len(self._segments) else None

    def export_pages(self) -> Iterator[bytes]:
        """Yield the whole index in encoded pages of about 32,768 blocks."""
        cursor: int | None = 0
        while cursor is not None:
            page, cursor = self.export_page(cursor)
            yield page

    def import_page(self, page: bytes) -> int:
        """Merge a page that another instance has exported.

        Returns
        -------
        int
            Number of blocks that are new or have new targets. Entries of incarnations
            older than the latest known one are ignored.

        Raises
        ------
        msgspec.DecodeError
            If `page` is malformed.
        """
        decoded = msgspec.msgpack.decode(page, type=IndexPage)
        fingerprints, numbers = array("Q"), array("I")
        fingerprints.frombytes(decoded.fingerprints)
        numbers.frombytes(decoded.numbers)
        bits = [self._slot_bit_of_import(*target) for target in decoded.targets]
        members: dict[int, list[int]] = {}
        for fingerprint, number in zip(fingerprints, numbers, strict=True):
            members.setdefault(number, []).append(fingerprint)
        added = 0
        for number, group in members.items():
            mask = 0
            for position in decoded.groups[number]:
                mask |= bits[position]
            if mask:
                added += self._add_blocks(group, mask)
        return added

    def _slot_bit_of_import(self, target: str, incarnation: int) -> int:
        if not self.set_incarnation(target, incarnation):
            return 0
        slot = self._slots.get(target)
        return 1 << (self._allocate_slot(target) if slot is None else slot)

    def _encode_page(self, fingerprints: array, numbers: array) -> bytes:
        targets = [
            (target, self._incarnations[target])
            for target in self._slots
            if target in self._incarnations
        ]
        positions = {
            self._slots[name]: position for position, (name, _) in enumerate(targets)
        }
        group_by_number: dict[int, int] = {}
        groups = []
        for number in set(numbers):
            group_by_number[number] = len(groups)
            slots = iterate_bits(self._target_sets.masks[number] & self._live_mask)
            groups.append([positions[slot] for slot in slots if slot in positions])
        page = IndexPage(
            targets=targets,
            groups=groups,
            fingerprints=fingerprints.tobytes(),
            numbers=array(
                "I", [group_by_number[number] for number in numbers]
            ).tobytes(),
        )
        return msgspec.msgpack.encode(page)

    def _add_blocks(self, fingerprints: Iterable[int], bits: int) -> int:
        if self._segments_to_sweep:
            self._sweep_segment()
        target_sets = self._target_sets
        masks = target_sets.masks
        added = 0
        for fingerprint in fingerprints:
            segment = self._segments[fingerprint >> self._shift]
            if segment is None:
                segment = (array("Q"), array("I"))
                self._segments[fingerprint >> self._shift] = segment
            keys, numbers = segment
            position = bisect_left(keys, fingerprint)
            if position < len(keys) and keys[position] == fingerprint:
                number = numbers[position]
                mask = masks[number]
                if mask & bits == bits:
                    continue
                numbers[position] = target_sets.acquire(
                    mask & ~self._retired_mask | bits
                )
                target_sets.release(number)
            else:
                if self.block_count_ >= self.max_blocks:
                    self._evict_one()
                    position = bisect_left(keys, fingerprint)
                keys.insert(position, fingerprint)
                numbers.insert(position, target_sets.acquire(bits))
                self.block_count_ += 1
            added += 1
        return added

    def _sweep_segment(self) -> None:
        """Remove the blocks that no live target holds from the next segment."""
        self._segments_to_sweep -= 1
        segment = self._segments[self._segments_to_sweep]
        if segment is None:
            return
        masks = self._target_sets.masks
        keys, numbers = segment
        unheld = [i for i, n in enumerate(numbers) if not masks[n] & self._live_mask]
        for position in reversed(unheld):
            self._target_sets.release(numbers[position])
            del keys[position]
            del numbers[position]
        self.block_count_ -= len(unheld)

    def _evict_one(self) -> None:
        """Evict the last block of the next segment that is not empty."""
        while True:
            self._eviction_cursor = (self._eviction_cursor + 1) % len(self._segments)
            segment = self._segments[self._eviction_cursor]
            if segment is not None and segment[0]:
                break
        segment[0].pop()
        self._target_sets.release(segment[1].pop())
        self.block_count_ -= 1
        self.evicted_count_ += 1

    def _allocate_slot(self, target: str) -> int:
        if self._free_slots:
            slot = self._free_slots.pop()
            self._targets[slot] = target
        else:
            slot = len(self._targets)
            self._targets.append(target)
        self._slots[target] = slot
        self._live_mask |= 1 << slot
        return slot

    def _reclaim_slots(self) -> None:
        self._target_sets.discard_slots(self._retired_mask)
        self._free_slots.extend(iterate_bits(self._retired_mask))
        self._retired_mask = 0


def iterate_bits(mask: int) -> Iterator[int]:
    """Yield the positions of the set bits, lowest first."""
    while mask:
        low = mask & -mask
        yield low.bit_length() - 1
        mask ^= low
