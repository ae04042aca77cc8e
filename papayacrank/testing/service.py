"""Program of the stand-in service: ``python -m papayacrank.testing.service``."""

import fire

from ._program import run_stand_in
from ._service import StandInService


def run_service(port: int = 0, work_ms: int = 0) -> None:
    """Run a stand-in plain service on loopback.

    Prints one JSON line with the address once it listens.

    Args:
        port: TCP port; 0 lets the system choose.
        work_ms: Time from recording a request to its response, in milliseconds.
    """

    def build(clock, timers):
        return StandInService(clock, timers, port, work_ms)

    run_stand_in("stand-in-service", build, ("address",))


if __name__ == "__main__":
    fire.Fire(run_service)
