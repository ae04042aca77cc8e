"""Interned and reference-counted sets of targets."""


class TargetSetTable:
    """Numbered sets of targets, each stored once.

    Sets are bit masks over target slots. Most blocks of a prefix are held by the same
    targets, so there are far fewer sets than blocks, and a block stores only a number.
    """

    def __init__(self):
        self._masks: list[int] = []
        self._reference_counts: list[int] = []
        self._numbers: dict[int, int] = {}
        self._free: list[int] = []

    def __len__(self) -> int:
        return len(self._masks) - len(self._free)

    @property
    def masks(self) -> list[int]:
        """Mask of each number; must not be modified."""
        return self._masks

    def acquire(self, mask: int) -> int:
        """Return the number of a set and increment its reference count."""
        number = self._numbers.get(mask)
        if number is not None:
            self._reference_counts[number] += 1
            return number
        if self._free:
            number = self._free.pop()
            self._masks[number] = mask
            self._reference_counts[number] = 1
        else:
            number = len(self._masks)
            self._masks.append(mask)
            self._reference_counts.append(1)
        self._numbers[mask] = number
        return number

    def release(self, number: int) -> None:
        """Decrement the reference count of a set and free it at zero."""
        self._reference_counts[number] -= 1
        if self._reference_counts[number]:
            return
        mask = self._masks[number]
        if self._numbers.get(mask) == number:
            del self._numbers[mask]
        self._masks[number] = 0
        self._free.append(number)

    def discard_slots(self, slots_mask: int) -> None:
        """Remove slots from all sets, so that the slots can be reused."""
        for number, mask in enumerate(self._masks):
            if mask & slots_mask:
                if self._numbers.get(mask) == number:
                    del self._numbers[mask]
                self._masks[number] = mask & ~slots_mask
                self._numbers.setdefault(mask & ~slots_mask, number)
