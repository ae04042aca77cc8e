"""The program ``papayacrank-admin``."""

import fire

from papayacrank.kernel import configure_logging

from ._commands import AdminCommands


def main(command: list[str] | None = None) -> None:
    """Run the command line.

    Parameters
    ----------
    command : list of str, optional
        Command-line arguments; those of the process if None.
    """
    configure_logging("admin", "warning")
    fire.Fire(AdminCommands, command=command, name="papayacrank-admin")


if __name__ == "__main__":
    main()
