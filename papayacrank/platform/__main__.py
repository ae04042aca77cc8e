"""Command line of the programs ``entry`` and ``control`` on the platform."""

# ruff: noqa: E402
import signal

if __name__ == "__main__":
    # The default action would end the process, and the imports take a while.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)

import sys
import time

from papayacrank.config import SettingsError
from papayacrank.kernel import BoundedLogStream, configure_logging
from papayacrank.transport import run_process

from ._settings import (
    ENTRY_METRICS_PORT,
    PlatformSettings,
    load_platform_settings,
    settings_path,
)

EXIT_FAILED = 1
EXIT_INVALID = 2
MS_PER_SECOND = 1_000
# Time between the end of a graceful shutdown and the kill by the platform.
STOP_MARGIN_MS = 400
# Margin below the platform's time limit for starting requests on replaced weights.
OLD_WEIGHTS_MARGIN_MS = 1_500

# Delays between attempts to open the data folder.
START_RETRY_DELAYS_S = (0.2, 0.5, 1.0, 2.0, 4.0)


class Programs:
    """Programs of papayacrank on the platform."""

    def entry(self) -> None:
        """Forward requests until SIGTERM.

        Exit codes: 0 after a planned stop, 2 if the settings are invalid.
        """
        settings = _load()
        stream = BoundedLogStream()
        configure_logging(settings.node_name, stream=stream)
        process = _build_entry(settings)
        _watch(
            process, settings, lambda new: process.add_control_names(new.control_names)
        )
        process.start_work()
        run_process(
            process, settings.node_name, "info", process.begin_stop, log_stream=stream
        )

    def control(self) -> None:
        """Keep the durable state and serve operators until SIGTERM.

        Exit codes: 0 after a planned stop, 1 after a fault, 2 if the settings are
        invalid.
        """
        settings = _load()
        stream = BoundedLogStream()
        name = f"{settings.node_name}-control"
        configure_logging(name, stream=stream)
        process = _start_control(settings)
        if process is None:
            sys.exit(EXIT_FAILED)
        _watch(process, settings, lambda new: process.add_peers(new.control_names))
        run_process(process, name, "info", process.begin_stop, log_stream=stream)
        if process.failed:
            sys.exit(EXIT_FAILED)


def _load() -> PlatformSettings:
    try:
        return load_platform_settings(settings_path())
    except SettingsError as error:
        print(error, file=sys.stderr)
        sys.exit(EXIT_INVALID)


def _watch(process, settings: PlatformSettings, on_change) -> None:
    from ._reload import SettingsWatcher

    watcher = SettingsWatcher(
        settings_path(), settings, on_change, process.clock, process.timers
    )
    watcher.start()


def _build_entry(settings: PlatformSettings):
    from papayacrank.forwarding import (
        ForwardingProcess,
        ForwardingProcessSettings,
        ForwardingSettings,
    )

    from ._caller_protocol import PlatformCallerProtocol

    bounds = settings.bounds
    # The boot number may decrease if the wall clock is set back between two starts.
    # Each start is a separate instance; the lease of the previous one expires.
    boot = int(time.time() * MS_PER_SECOND)
    node = ForwardingProcessSettings(
        ForwardingSettings(
            f"{settings.node_name}@{boot}",
            settings.zone,
            bounds.retry_budget_ratio,
            int(bounds.budget_window_s * MS_PER_SECOND),
            bounds.budget_slack,
            bounds.version_ms - OLD_WEIGHTS_MARGIN_MS,
        ),
        settings.listen.front,
        settings.listen.ready,
        settings.listen.directory,
        settings.internal_address(ENTRY_METRICS_PORT),
        settings.control_names,
        settings.resolve_control,
        boot,
        bounds.contact_ms,
        int(bounds.grace_s * MS_PER_SECOND) - STOP_MARGIN_MS,
        settings.capacity,
    )
    return ForwardingProcess(node, PlatformCallerProtocol())


def _start_control(settings: PlatformSettings):
    """Build a control process, retrying while its data folder is unusable.

    A disk that fails or stalls may recover. The delays limit the load of the retries,
    because each start takes a quarter of a second of CPU time.

    Returns
    -------
    ControlProcess or None
        None if the last attempt failed.
    """
    from papayacrank.consensus import LogStoreError

    last_message = ""
    for delay_s in (*START_RETRY_DELAYS_S, None):
        try:
            return _build_control(settings)
        except LogStoreError as error:
            if str(error) != last_message:
                last_message = str(error)
                print(error, file=sys.stderr, flush=True)
        if delay_s is not None:
            time.sleep(delay_s)
    return None


def _build_control(settings: PlatformSettings):
    from papayacrank.control import FleetController
    from papayacrank.control.process import ControlProcess
    from papayacrank.transport import HttpPort

    from ._configuration import RateTolerance
    from ._control_api import ControlApi
    from ._target_protocol import PlatformTargetProtocol

    bounds = settings.bounds
    delay_ms = 0 if bounds.fencing_required else bounds.lease_ms
    protocol = PlatformTargetProtocol(settings.cloud.address)
    fleet = FleetController(
        protocol,
        settings.node_name,
        delay_ms,
        max_old_weights_ms=bounds.version_ms - OLD_WEIGHTS_MARGIN_MS,
    )
    process = ControlProcess(
        settings.control_settings(), fleet, settings.resolve_control
    )
    tolerance = RateTolerance(
        bounds.quota_window_s, bounds.quota_overage, bounds.quota_slack
    )
    api = ControlApi(process.submit, tolerance)
    HttpPort(
        settings.listen.control, "operators", api, process.clock, process.timers
    ).register(process)
    return process


def main() -> None:
    """Run the command line."""
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    names = sys.argv[1:]
    if names in (["entry"], ["control"]):
        # Importing fire would take a sixth of the start time.
        getattr(Programs(), names[0])()
        return
    import fire

    fire.Fire(Programs)


if __name__ == "__main__":
    main()
