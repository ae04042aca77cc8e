"""Registry of plug-in classes that the settings select by name."""

from collections.abc import Callable
from typing import Any, TypeVar

T = TypeVar("T")

_plugins: dict[type, dict[str, type]] = {}


def register(kind: type, name: str) -> Callable[[type[T]], type[T]]:
    """Register the decorated class as the implementation `name` of `kind`.

    Parameters
    ----------
    kind : type
        Abstract base class of the decorated class.
    name : str
        Name that selects the implementation in the settings.

    Returns
    -------
    Callable
        Class decorator that returns the class unchanged.

    Raises
    ------
    TypeError
        If the decorated class does not derive from `kind`.
    ValueError
        If another class is already registered under `name`.
    """

    def decorate(cls: type[T]) -> type[T]:
        if not issubclass(cls, kind):
            raise TypeError(f"{cls.__name__} does not derive from {kind.__name__}")
        classes = _plugins.setdefault(kind, {})
        if classes.get(name, cls).__qualname__ != cls.__qualname__:
            raise ValueError(f"{kind.__name__} {name!r} is already registered")
        classes[name] = cls
        return cls

    return decorate


def list_registered(kind: type) -> list[str]:
    """Return the sorted names registered for `kind`."""
    return sorted(_plugins.get(kind, {}))


def create(kind: type[T], name: str, **params: Any) -> T:
    """Construct the implementation `name` of `kind`.

    Parameters
    ----------
    kind : type
        Abstract base class.
    name : str
        Registered name.
    **params : Any
        Constructor parameters.

    Returns
    -------
    T
        New object.

    Raises
    ------
    KeyError
        If no class is registered under `name`; the message lists the known names.
    """
    try:
        cls = _plugins[kind][name]
    except KeyError:
        known = ", ".join(list_registered(kind)) or "none"
        raise KeyError(f"unknown {kind.__name__} {name!r}; known: {known}") from None
    return cls(**params)
