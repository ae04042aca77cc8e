"""Entry point of `papayacrank-replay`."""

import fire

from ._cli import ReplayCommands


def main() -> None:
    """Run the command line."""
    fire.Fire(ReplayCommands, name="papayacrank-replay")


if __name__ == "__main__":
    main()
