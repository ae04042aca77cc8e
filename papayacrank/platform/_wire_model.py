"""Base classes of the pydantic models for data that the platform writes."""

from pydantic import BaseModel, ConfigDict


class WireModel(BaseModel):
    """Immutable model that ignores unknown fields, which the platform may add."""

    model_config = ConfigDict(extra="ignore", frozen=True)


class StrictWireModel(WireModel):
    """Model that does not coerce values to the type of a field."""

    model_config = ConfigDict(strict=True)
