"""Base classes and bounded types of the pydantic models for data of the platform."""

from typing import Annotated

from pydantic import AfterValidator, BaseModel, ConfigDict, Field

MAX_NAME_CHARS = 256
MAX_MODELS = 64
# The largest integer that JSON libraries exchange without loss.
MAX_INTEGER = 2**53
MAX_SLOTS = 1_000_000
MAX_PORT = 65_535
MAX_OCTET = 255


def _check_address(address: str) -> str:
    host, _, port = address.partition(":")
    if any(int(octet) > MAX_OCTET for octet in host.split(".")):
        raise ValueError("expected an IPv4 address")
    if not 0 < int(port) <= MAX_PORT:
        raise ValueError("expected a port from 1 to 65535")
    return address


def _check_integer(number: int) -> int:
    if abs(number) > MAX_INTEGER:
        raise ValueError(f"expected a number from -{MAX_INTEGER} to {MAX_INTEGER}")
    return number


# Visible ASCII characters, which can be sent in a header.
WireName = Annotated[str, Field(pattern=rf"^[!-~]{{1,{MAX_NAME_CHARS}}}\z")]
Integer = Annotated[int, AfterValidator(_check_integer)]
# Numbers of versions, starts and orders.
Count = Annotated[int, Field(ge=0, le=MAX_INTEGER)]
Slots = Annotated[int, Field(ge=0, le=MAX_SLOTS)]
SocketAddress = Annotated[
    str,
    Field(pattern=r"^[0-9]{1,3}(\.[0-9]{1,3}){3}:[0-9]{1,5}\z"),
    AfterValidator(_check_address),
]


class WireModel(BaseModel):
    """Immutable model that ignores unknown fields, which the platform may add."""

    model_config = ConfigDict(extra="ignore", frozen=True, allow_inf_nan=False)


class StrictWireModel(WireModel):
    """Model that does not coerce values to the type of a field."""

    model_config = ConfigDict(strict=True)
