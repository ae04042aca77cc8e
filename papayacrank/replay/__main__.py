"""Entry point of `papayacrank-replay`."""

import sys

import fire

from ._cli import ReplayCommands, ReplayInputError

EXIT_INVALID = 2


def main() -> None:
    """Run the command line."""
    try:
        fire.Fire(ReplayCommands, name="papayacrank-replay")
    except ReplayInputError as error:
        print(f"papayacrank-replay: {error}", file=sys.stderr)
        sys.exit(EXIT_INVALID)


if __name__ == "__main__":
    main()
