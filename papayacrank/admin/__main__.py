"""Program ``papayacrank-admin``."""

import fire

from ._commands import AdminCommands


def main() -> None:
    """Run the command line."""
    fire.Fire(AdminCommands, name="papayacrank-admin")


if __name__ == "__main__":
    main()
