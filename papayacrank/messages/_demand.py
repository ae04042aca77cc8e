"""Demand for services by workspace and urgency."""

import msgspec


class ServiceDemand(msgspec.Struct, frozen=True, array_like=True):
    """Work that callers asked for and work that was admitted, a second.

    Attributes
    ----------
    workspace : str
        Workspace; empty for routes without a key.
    urgency : int
        Urgency of the requests; 0 is the most urgent.
    asked, admitted : float
        Work in milliseconds of a target's time, a second.
    """

    service: str
    workspace: str
    urgency: int
    asked: float
    admitted: float
