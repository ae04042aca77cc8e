"""Base classes of the models of what the platform writes."""

from pydantic import BaseModel, ConfigDict


class WireModel(BaseModel):
    """Model that ignores fields which the platform may add."""

    model_config = ConfigDict(extra="ignore", frozen=True)


class StrictWireModel(WireModel):
    """Model that takes no value of another type for the one it needs."""

    model_config = ConfigDict(strict=True)
