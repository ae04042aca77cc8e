"""HDR histograms of durations in milliseconds."""

from hdrh.histogram import HdrHistogram

LOWEST_MS = 1
HIGHEST_MS = 600_000
SIGNIFICANT_DIGITS = 2


def new_histogram() -> HdrHistogram:
    """Return an empty histogram with the bounds that all histograms share."""
    return HdrHistogram(LOWEST_MS, HIGHEST_MS, SIGNIFICANT_DIGITS)


def encode_histogram(histogram: HdrHistogram) -> bytes:
    """Encode a histogram for a message; an empty one gives empty bytes."""
    if histogram.get_total_count() == 0:
        return b""
    return histogram.encode()


def decode_histogram(data: bytes) -> HdrHistogram:
    """Decode the output of `encode_histogram`.

    Raises
    ------
    Exception
        As raised by the library, if the data is corrupted.
    """
    histogram = new_histogram()
    if data:
        histogram.decode_and_add(data)
    return histogram
