"""Request rate limits that targets state in their responses."""

from ._rate import RateStatement, read_rate_statement
from ._stated import StatedRates

__all__ = ["RateStatement", "StatedRates", "read_rate_statement"]
