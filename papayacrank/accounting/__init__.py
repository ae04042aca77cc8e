"""Usage per workspace, latency histograms, and records of recent requests."""

from ._histogram import decode_histogram, encode_histogram, new_histogram
from ._records import RequestRecord, RequestRecords
from ._usage import (
    HISTOGRAM_FIELDS,
    MAX_REFUSAL_CODES,
    UsageDocument,
    UsageRecorder,
    UsageRow,
    add_counts,
    merge_histograms,
    merge_usage,
    parse_usage_view,
)

__all__ = [
    "HISTOGRAM_FIELDS",
    "MAX_REFUSAL_CODES",
    "RequestRecord",
    "RequestRecords",
    "UsageDocument",
    "UsageRecorder",
    "UsageRow",
    "add_counts",
    "decode_histogram",
    "encode_histogram",
    "merge_histograms",
    "merge_usage",
    "new_histogram",
    "parse_usage_view",
]
