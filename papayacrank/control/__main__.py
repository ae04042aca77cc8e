"""Program ``papayacrank-control``."""

import sys

import fire

from papayacrank.config import ControlSettings, SettingsError, load_settings
from papayacrank.consensus import LogStoreError
from papayacrank.kernel import configure_logging
from papayacrank.transport import run_process

from ._process import ControlProcess

EXIT_FAILED = 1
EXIT_INVALID = 2


def run_control(settings: str) -> None:
    """Run a control process until SIGTERM or SIGINT.

    Exit codes: 0 after a planned stop, 1 after a fault, for example if the data folder
    is damaged or cannot be written, 2 if the settings are invalid.

    Args:
        settings: Path of the settings file (JSON with comments).
    """
    try:
        checked = load_settings(str(settings), ControlSettings)
    except SettingsError as error:
        print(error, file=sys.stderr)
        sys.exit(EXIT_INVALID)
    configure_logging(checked.instance, checked.log_level)
    try:
        process = ControlProcess(checked)
    except LogStoreError as error:
        print(error, file=sys.stderr)
        sys.exit(EXIT_FAILED)
    run_process(
        process,
        checked.instance,
        checked.log_level,
        process.begin_stop,
    )
    if process.failed:
        sys.exit(EXIT_FAILED)


def main() -> None:
    """Run the command line."""
    fire.Fire(run_control)


if __name__ == "__main__":
    main()
