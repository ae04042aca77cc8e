"""HDR histograms of times in milliseconds."""

from hdrh.histogram import HdrHistogram

LOWEST_MS = 1
HIGHEST_MS = 600_000
SIGNIFICANT_DIGITS = 2


def new_histogram() -> HdrHistogram:
    """Return an empty histogram; all histograms of the system have equal bounds."""
    return HdrHistogram(LOWEST_MS, HIGHEST_MS, SIGNIFICANT_DIGITS)


def encode_histogram(histogram: HdrHistogram) -> bytes:
    """Encode a histogram for a message; an empty one gives no bytes."""
    if histogram.get_total_count() == 0:
        return b""
    return histogram.encode()


def decode_histogram(data: bytes) -> HdrHistogram:
    """Decode a histogram that `encode_histogram` made.

    Raises
    ------
    Exception
        As raised by the library, if the data is damaged.
    """
    histogram = new_histogram()
    if data:
        histogram.decode_and_add(data)
    return histogram
