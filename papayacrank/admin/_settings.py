"""Where the command line finds the control group."""

from pydantic import BaseModel, ConfigDict, Field, ValidationError

from papayacrank.config import PeerAddress, SettingsError, load_settings


class AdminSettings(BaseModel):
    """Settings of `papayacrank-admin`.

    Attributes
    ----------
    control : list of PeerAddress
        Control processes.
    operator : str or None
        Name under which changes are recorded; None for the user of the system.
    """

    model_config = ConfigDict(extra="forbid", frozen=True)

    control: list[PeerAddress] = Field(min_length=1)
    operator: str | None = None


def find_control(addresses: str | None, settings: str | None) -> AdminSettings:
    """Return the settings from the arguments.

    Parameters
    ----------
    addresses : str or None
        Addresses as ``ip:port,...``; take precedence over the file.
    settings : str or None
        Path of a settings file.

    Raises
    ------
    SettingsError
        If neither is usable.
    """
    if addresses is None and settings is None:
        raise SettingsError("give --control ip:port,... or --settings FILE")
    loaded = load_settings(settings, AdminSettings) if settings else None
    if addresses is None:
        return loaded
    listed = [item.strip() for item in addresses.split(",") if item.strip()]
    try:
        peers = [
            PeerAddress(name=f"control-{number}", address=address)
            for number, address in enumerate(listed, start=1)
        ]
        operator = loaded.operator if loaded else None
        return AdminSettings(control=peers, operator=operator)
    except ValidationError as error:
        first = error.errors()[0]
        raise SettingsError(
            f"--control: got {first['input']!r}: {first['msg']}"
        ) from error
