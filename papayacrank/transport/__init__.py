"""HTTP server, connections to targets, ZeroMQ messaging and timers for circuits."""

from ._byte_account import (
    MAX_READ_PAUSE_MS,
    MAX_TARGET_BYTES,
    READ_PAUSE_POLL_MS,
    BufferKind,
    ByteAccount,
    ByteLimits,
    Holding,
)
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
    "MAX_READ_PAUSE_MS",
    "MAX_TARGET_BYTES",
    "READ_PAUSE_POLL_MS",
    "BufferKind",
    "ByteAccount",
    "ByteLimits",
    "CallerServer",
    "ConnectCheck",
    "ConnectOutcome",
    "Connection",
    "ConnectionState",
    "ExchangeListener",
    "Holding",
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
