"""Loads and validates settings files in JSON with comments."""

from pathlib import Path
from typing import TypeVar

import json5
from pydantic import BaseModel, ValidationError

ModelT = TypeVar("ModelT", bound=BaseModel)


class SettingsError(ValueError):
    """A settings file cannot be used; the message names the file and the field."""


def load_settings(path: str | Path, model: type[ModelT]) -> ModelT:
    """Load and validate a file in JSON with comments.

    Parameters
    ----------
    path : str or Path
        Path of the file.
    model : type
        Pydantic model to validate the content with.

    Returns
    -------
    ModelT
        Validated settings.

    Raises
    ------
    SettingsError
        If the file cannot be read or parsed, or its content is not valid.
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
        raise SettingsError(_format_errors(path, error)) from error


def _format_errors(path: str | Path, error: ValidationError) -> str:
    lines = []
    for item in error.errors():
        location = ".".join(str(part) for part in item["loc"]) or "(top level)"
        lines.append(f"{path}: {location}: got {item['input']!r}: {item['msg']}")
    return "\n".join(lines)
