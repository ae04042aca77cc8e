"""Settings of the command line, from arguments and a settings file."""

from pydantic import BaseModel, ConfigDict, Field, ValidationError

from papayacrank.config import PeerAddress, SettingsError, load_settings


class AdminSettings(BaseModel):
    """Settings of `papayacrank-admin`.

    Attributes
    ----------
    control : list of PeerAddress
        Control processes.
    operator : str or None
        Name under which changes are recorded; None for the name of the system user.
    """

    model_config = ConfigDict(extra="forbid", frozen=True)

    control: list[PeerAddress] = Field(min_length=1)
    operator: str | None = None


def load_admin_settings(addresses: str | None, settings: str | None) -> AdminSettings:
    """Combine the command-line arguments with a settings file.

    Parameters
    ----------
    addresses : str or None
        Addresses of control processes as ``ip:port,...``; take precedence over the
        file.
    settings : str or None
        Path of a settings file.

    Returns
    -------
    AdminSettings
        Validated settings.

    Raises
    ------
    SettingsError
        If neither is given, or one that is given is not valid.
    """
    if addresses is None and settings is None:
        raise SettingsError("give --control ip:port,... or --settings FILE")
    loaded = load_settings(settings, AdminSettings) if settings else None
    if addresses is None:
        return loaded
    stripped = [item.strip() for item in addresses.split(",") if item.strip()]
    try:
        peers = [
            PeerAddress(name=f"control-{number}", address=address)
            for number, address in enumerate(stripped, start=1)
        ]
        operator = loaded.operator if loaded else None
        return AdminSettings(control=peers, operator=operator)
    except ValidationError as error:
        first = error.errors()[0]
        raise SettingsError(
            f"--control: got {first['input']!r}: {first['msg']}"
        ) from error
