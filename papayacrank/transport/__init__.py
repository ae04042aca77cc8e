"""HTTP server, connections to targets, ZeroMQ messaging and timers for circuits."""

from ._caller_server import CallerServer, caller_progress
from ._codec import MessageCodec, MessageDecodeError
from ._connect_check import ConnectCheck, ConnectOutcome
from ._connection import Connection, ConnectionState, IdlePool
from ._http_port import (
    CLOSE_HEADER,
    ExchangeListener,
    HttpExchange,
    HttpLimits,
    HttpPort,
    RequestHead,
)
from ._link import Link, LinkSettings, received, start_traffic_log
from ._process import install_process_handlers, run_process
from ._request_bytes import encode_request
from ._timers import Timers

__all__ = [
    "CLOSE_HEADER",
    "CallerServer",
    "ConnectCheck",
    "ConnectOutcome",
    "Connection",
    "ConnectionState",
    "ExchangeListener",
    "HttpExchange",
    "HttpLimits",
    "HttpPort",
    "IdlePool",
    "Link",
    "LinkSettings",
    "MessageCodec",
    "MessageDecodeError",
    "RequestHead",
    "Timers",
    "caller_progress",
    "encode_request",
    "install_process_handlers",
    "received",
    "run_process",
    "start_traffic_log",
]
