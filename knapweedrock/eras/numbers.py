"""Rising numbers, for epochs and fencing tokens, whose highest part is the era."""

# Numbers that an era has for one key or leadership before it reaches the next era's.
NUMBERS_PER_ERA = 1_000_000


def next_number(number: int, era: int) -> int:
    """Return a number above the given one and above all numbers of earlier eras."""
    return max(number + 1, era * NUMBERS_PER_ERA)


def is_from_earlier_era(number: int, era: int) -> bool:
    """Return whether a number was given out before an era began."""
    return number < era * NUMBERS_PER_ERA
