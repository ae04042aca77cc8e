"""Interned sets of targets."""


class HolderGroups:
    """Numbered sets of targets, each set stored once.

    Sets are bit masks over target slots. The blocks of a prefix mostly have the same
    holders, so far fewer sets than blocks exist, and a block needs only a number.
    """

    def __init__(self):
        self._masks: list[int] = []
        self._uses: list[int] = []
        self._numbers: dict[int, int] = {}
        self._free: list[int] = []

    def __len__(self) -> int:
        return len(self._masks) - len(self._free)

    @property
    def masks(self) -> list[int]:
        """Mask of each number; do not modify."""
        return self._masks

    def acquire(self, mask: int) -> int:
        """Return the number of a set and count one more use of it."""
        number = self._numbers.get(mask)
        if number is not None:
            self._uses[number] += 1
            return number
        if self._free:
            number = self._free.pop()
            self._masks[number] = mask
            self._uses[number] = 1
        else:
            number = len(self._masks)
            self._masks.append(mask)
            self._uses.append(1)
        self._numbers[mask] = number
        return number

    def release(self, number: int) -> None:
        """Count one use less; a set without uses is forgotten."""
        self._uses[number] -= 1
        if self._uses[number]:
            return
        mask = self._masks[number]
        if self._numbers.get(mask) == number:
            del self._numbers[mask]
        self._masks[number] = 0
        self._free.append(number)

    def discard_slots(self, slots_mask: int) -> None:
        """Remove slots from all sets, so that the slots can be used again."""
        for number, mask in enumerate(self._masks):
            if mask & slots_mask:
                if self._numbers.get(mask) == number:
                    del self._numbers[mask]
                self._masks[number] = mask & ~slots_mask
                self._numbers.setdefault(mask & ~slots_mask, number)
