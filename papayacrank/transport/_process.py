"""Event loop, exception logging and signal handling of long-running processes."""

import signal

from circuits import BaseComponent, handler
from circuits.core.pollers import EPoll

from papayacrank.kernel import configure_logging, log_event

from ._events import HANDLER_FAILED, PROCESS_STARTED, PROCESS_STOPPED


class ProcessHandlers(BaseComponent):
    """Logs exceptions of handlers and calls `terminate` on SIGTERM or SIGINT."""

    channel = "*"

    def __init__(self):
        super().__init__()
        self.terminate = None

    @handler("exception", channel="*", priority=100)
    def _on_exception(self, error_type, value, traceback, handler=None, fevent=None):
        log_event(
            HANDLER_FAILED,
            error=f"{error_type.__name__}: {value}",
            failed_event=getattr(fevent, "name", None),
            traceback="".join(traceback) if isinstance(traceback, list) else "",
        )

    @handler("signal", channel="*", priority=100)
    def _on_signal_received(self, event, signo, stack):
        if signo not in (signal.SIGTERM, signal.SIGINT) or self.terminate is None:
            return
        event.stop()
        terminate, self.terminate = self.terminate, lambda: None
        terminate()


def install_process_handlers(root: BaseComponent) -> None:
    """Register the poller, the exception handler and the signal handler of a process.

    Parameters
    ----------
    root : BaseComponent
        Root component of the process.
    """
    EPoll().register(root)
    ProcessHandlers().register(root)


def run_process(
    root: BaseComponent,
    name: str,
    log_level: str = "info",
    on_terminate=None,
    log_stream=None,
) -> None:
    """Configure logging and run the event loop until the process stops.

    Parameters
    ----------
    root : BaseComponent
        Root component with `install_process_handlers` applied.
    name : str
        Process name in the log.
    log_level : str
        Lowest level that is logged.
    on_terminate : Callable, optional
        Called once, on the first SIGTERM or SIGINT, to start a graceful shutdown. If
        None, the process stops immediately.
    log_stream : file object, optional
        Stream for the log lines; standard error if None.
    """
    configure_logging(name, log_level, log_stream)
    handlers = next(c for c in root.components if isinstance(c, ProcessHandlers))
    handlers.terminate = on_terminate or root.stop
    log_event(PROCESS_STARTED)
    root.run()
    # The interpreter restores the default actions before it exits, and a repeated
    # signal would then change the exit code.
    for number in (signal.SIGHUP, signal.SIGTERM, signal.SIGINT):
        signal.signal(number, signal.SIG_IGN)
    log_event(PROCESS_STOPPED)
