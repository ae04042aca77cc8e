"""Usage of each workspace, latency histograms, and a bounded request record."""

from ._histogram import decode_histogram, encode_histogram, new_histogram
from ._records import RequestRecord, RequestRecords
from ._usage import (
    UsageDocument,
    UsageRecorder,
    UsageRow,
    merge_usage,
    parse_usage_view,
)

__all__ = [
    "RequestRecord",
    "RequestRecords",
    "UsageDocument",
    "UsageRecorder",
    "UsageRow",
    "decode_histogram",
    "encode_histogram",
    "merge_usage",
    "new_histogram",
    "parse_usage_view",
]
