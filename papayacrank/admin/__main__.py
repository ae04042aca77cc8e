"""Program ``papayacrank-admin``."""

import fire

from papayacrank.kernel import configure_logging

from ._commands import AdminCommands


def main() -> None:
    """Run the command line."""
    configure_logging("admin", "warning")
    fire.Fire(AdminCommands, name="papayacrank-admin")


if __name__ == "__main__":
    main()
