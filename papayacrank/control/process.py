"""Component that runs a control process, for programs that embed it."""

from ._process import ControlProcess

__all__ = ["ControlProcess"]
