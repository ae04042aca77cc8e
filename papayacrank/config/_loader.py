"""Reads and checks settings files: JSON with comments."""

from pathlib import Path
from typing import TypeVar

import json5
from pydantic import BaseModel, ValidationError

M = TypeVar("M", bound=BaseModel)


class SettingsError(ValueError):
    """A settings file is unusable; the message says where and what was expected."""


def load_settings(path: str | Path, model: type[M]) -> M:
    """Read a file of JSON with comments and check it.

    Parameters
    ----------
    path : str or Path
        File to read.
    model : type
        Pydantic model that describes the content.

    Returns
    -------
    M
        Checked settings.

    Raises
    ------
    SettingsError
        If the file cannot be read or parsed, or a value is not as expected.
    """
    try:
        text = Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise SettingsError(f"{path}: cannot be read: {error}") from error
    try:
        document = json5.loads(text)
    except ValueError as error:
        raise SettingsError(f"{path}: not JSON with comments: {error}") from error
    try:
        return model.model_validate(document)
    except ValidationError as error:
        raise SettingsError(_describe(path, error)) from error


def _describe(path: str | Path, error: ValidationError) -> str:
    lines = []
    for item in error.errors():
        where = ".".join(str(part) for part in item["loc"]) or "(top level)"
        lines.append(f"{path}: {where}: got {item['input']!r}: {item['msg']}")
    return "\n".join(lines)
