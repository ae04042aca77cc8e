"""Wire format of the requests and responses of the platform."""

import json
from urllib.parse import parse_qs

from papayacrank.forwarding import (
    CONNECTION_HEADERS,
    CallerProtocol,
    CallerResponse,
    Dispatch,
    ForwardRequest,
    HeaderList,
    PromptPart,
    ResponseMetadata,
    StartQuery,
    drop_headers,
)
from papayacrank.kernel import Failure, Verdict
from papayacrank.transport import RequestHead

from ._signals import (
    has_leaving_header,
    read_pause_ms,
    read_rate,
    read_refusal_limit,
)

REPORT_PATH = "/v1/report"
OK = 200
REQUEST_ID = b"papayacrank-request-id"
DEADLINE_MS = b"papayacrank-deadline-ms"
API_KEY = b"x-api-key"
MODEL = b"papayacrank-model"
# Number of prompt tokens and maximum number of output tokens.
TOKEN_COUNT = b"papayacrank-token-count"
# Comma-separated parts of the prompt, each as ID:TOKENS.
PROMPT_PREFIX = b"papayacrank-prompt-prefix"
# Estimate of the number of output tokens; also forwarded to the server.
LENGTH_HINT = b"papayacrank-length-hint"
LAST_EVENT_ID = b"last-event-id"
# Request id of the caller's attempt that brought the first event of a stream.
RESUMES = b"resumes"
# Signature that a server adds to each of its own responses.
SERVER_SEAL = b"papayacrank-server-seal"
NOT_EXECUTED = b"papayacrank-not-executed"
WEIGHT_VERSIONS = b"papayacrank-weight-versions"
TENANT = b"papayacrank-tenant"
EXPECT_INSTANCE = b"papayacrank-expect-instance"
# ID of the responding server.
INSTANCE_ID = b"papayacrank-instance-id"
EXPECT_VERSION = b"papayacrank-expect-version"
URGENCY = b"papayacrank-request-urgency"
CACHE_SALT = b"papayacrank-cache-salt"
KV_FETCH = b"papayacrank-kv-fetch"
KV_SAVE = b"papayacrank-kv-save"
# Marks a request that an instance passes on to another one, which must not pass it on.
RELAYED = b"papayacrank-relayed"
# Number of servers that may have run such a request; absent if none.
PRIOR_RUNS = b"papayacrank-prior-runs"
HOST = b"host"
RETRY_AFTER = b"retry-after"
CONTENT_ENCODING = b"content-encoding"
CONTENT_TYPE = b"content-type"
EVENT_STREAM = "text/event-stream"
MISDIRECTED = 421
# Statuses that promise a client that the request has not run and never will.
PROMISES_NOT_RUN = frozenset({408, MISDIRECTED, 429, 503})
MS_PER_SECOND = 1_000
# Longer numbers exceed the integers of messages between processes.
MAX_DIGITS = 15

# Headers that are set anew for a request that is passed on to another instance.
_RELAY_REPLACES = CONNECTION_HEADERS | frozenset(
    {DEADLINE_MS, RELAYED, PRIOR_RUNS, b"content-length", b"expect"}
)
# Headers that only the system may set, and connection-specific or framing headers.
_NOT_FORWARDED = CONNECTION_HEADERS | frozenset(
    {
        API_KEY,
        DEADLINE_MS,
        TENANT,
        EXPECT_INSTANCE,
        EXPECT_VERSION,
        URGENCY,
        CACHE_SALT,
        KV_FETCH,
        KV_SAVE,
        LAST_EVENT_ID,
        RELAYED,
        PRIOR_RUNS,
        b"papayacrank-kv-hold",
        b"papayacrank-kv-backup",
        b"papayacrank-pin-ms",
        b"kv-from",
        b"papayacrank-kv-from",
        b"proxy-authorization",
        b"content-length",
        b"expect",
    }
)


class PlatformCallerProtocol(CallerProtocol):
    """Header format of the platform."""

    def read_request(self, head: RequestHead) -> ForwardRequest | Failure:
        """Parse the head of a request, or return the reason for its refusal."""
        known: dict[bytes, str] = {}
        for name, value in head.headers:
            if name == REQUEST_ID and name in known:
                return _bad_request("the request id is given twice")
            known.setdefault(name, value.decode("latin-1"))
        prompt_tokens, output_tokens = _read_token_count(known.get(TOKEN_COUNT))
        is_relayed = RELAYED in known
        prior_runs = _read_number(known.get(PRIOR_RUNS)) if is_relayed else None
        return ForwardRequest(
            known.get(REQUEST_ID, ""),
            head.method,
            head.target,
            known.get(HOST, "").rsplit(":", 1)[0].lower(),
            head.target.split("?", 1)[0],
            drop_headers(head.headers, _NOT_FORWARDED),
            _read_number(known.get(DEADLINE_MS)),
            known.get(API_KEY),
            known.get(MODEL),
            prompt_tokens,
            output_tokens,
            _read_parts(known.get(PROMPT_PREFIX)),
            known.get(LAST_EVENT_ID),
            known.get(RESUMES),
            is_relayed,
            _read_number(known.get(LENGTH_HINT)),
            prior_runs or 0,
        )

    def target_headers(self, request: ForwardRequest, dispatch: Dispatch) -> HeaderList:
        """Return the headers of the request that is sent to a target."""
        added = (
            (DEADLINE_MS, dispatch.deadline_ms),
            (EXPECT_INSTANCE, dispatch.target_name),
            (TENANT, dispatch.workspace),
            (URGENCY, dispatch.urgency),
            (CACHE_SALT, dispatch.cache_salt),
            (EXPECT_VERSION, dispatch.weights_version),
            (KV_FETCH, dispatch.fetch_from),
            (KV_SAVE, dispatch.save_to),
            (LAST_EVENT_ID, dispatch.resume_after or request.resume_after),
        )
        return [
            *request.headers,
            *(
                (name, str(value).encode())
                for name, value in added
                if value is not None
            ),
        ]

    def relay_headers(
        self, head: RequestHead, remaining_ms: int, prior_runs: int
    ) -> HeaderList:
        """Return the headers of the caller with the remaining time and the mark."""
        headers = drop_headers(head.headers, _RELAY_REPLACES)
        if head.find(DEADLINE_MS) is not None:
            headers.append((DEADLINE_MS, str(remaining_ms).encode()))
        if prior_runs:
            headers.append((PRIOR_RUNS, str(prior_runs).encode()))
        return [*headers, (RELAYED, b"1")]

    def read_response(self, status: int, headers: HeaderList) -> ResponseMetadata:
        """Parse the head of the response of a target."""
        pairs = [(n.decode("latin-1"), v.decode("latin-1")) for n, v in headers]
        known = {name: value.decode("latin-1") for name, value in headers}
        succeeded = 200 <= status < 300
        identified = REQUEST_ID in known and SERVER_SEAL in known
        return ResponseMetadata(
            known.get(REQUEST_ID),
            not_run=NOT_EXECUTED in known,
            wrong_target=status == MISDIRECTED,
            is_valid=CONTENT_ENCODING not in known and (identified or not succeeded),
            is_event_stream=known.get(CONTENT_TYPE, "")
            .lower()
            .startswith(EVENT_STREAM),
            target_name=known.get(INSTANCE_ID),
            weights_version=_read_number(known.get(WEIGHT_VERSIONS)),
            is_leaving=has_leaving_header(pairs),
            pause_ms=read_pause_ms(status, pairs),
            rate=read_rate(pairs),
            refusal_limit=read_refusal_limit(pairs),
            promises_not_run=status in PROMISES_NOT_RUN,
        )

    def build_start_query(self, target_name: str) -> StartQuery | None:
        """Return the request for the report of a server."""
        headers = [(b"host", b"server"), (EXPECT_INSTANCE, target_name.encode())]
        return StartQuery("GET", REPORT_PATH, headers)

    def read_start(self, status: int, body: bytes) -> int | None:
        """Return the start time in the report of a server, None if it has none."""
        try:
            report = json.loads(body) if status == OK else None
        except ValueError:
            return None
        started_ms = report.get("born") if isinstance(report, dict) else None
        is_number = isinstance(started_ms, int) and not isinstance(started_ms, bool)
        return started_ms if is_number else None

    def build_failure(self, failure: Failure, request_id: str) -> CallerResponse:
        """Return the response that reports a failure."""
        body = {
            "error": failure.code,
            "message": failure.message,
            "not_run": failure.verdict is Verdict.NOT_RUN,
        }
        headers = [(b"content-type", b"application/json")]
        if request_id:
            headers.append((REQUEST_ID, request_id.encode("latin-1")))
        if failure.retry_after_ms is not None:
            seconds = f"{failure.retry_after_ms / MS_PER_SECOND:.3f}"
            headers.append((RETRY_AFTER, seconds.encode()))
        return CallerResponse(failure.status, headers, json.dumps(body).encode())

    def build_addresses(self, addresses: list[str], keep_ms: int) -> CallerResponse:
        """Return the response with the addresses that a caller can connect to."""
        body = {"addresses": addresses, "ttl_s": keep_ms / MS_PER_SECOND}
        headers = [(b"content-type", b"application/json")]
        return CallerResponse(200, headers, json.dumps(body).encode())

    def read_failure_domain(self, head: RequestHead) -> str:
        """Return the zone of a caller that requests addresses, empty if not given."""
        query = parse_qs(head.target.partition("?")[2])
        return query.get("zone", [""])[0]


def _read_number(text: str | None) -> int | None:
    text = (text or "").strip()
    is_number = text.isascii() and text.isdigit() and len(text) <= MAX_DIGITS
    return int(text) if is_number else None


def _read_token_count(text: str | None) -> tuple[int | None, int | None]:
    if text is None:
        return None, None
    first, _, second = text.partition(",")
    return _read_number(first), _read_number(second)


def _read_parts(text: str | None) -> tuple[PromptPart, ...]:
    parts = []
    for entry in (text or "").split(","):
        name, _, tokens = entry.strip().partition(":")
        count = _read_number(tokens)
        if not name or count is None:
            return ()
        parts.append(PromptPart(name, count))
    return tuple(parts)


def _bad_request(message: str) -> Failure:
    return Failure("bad_request", Verdict.NOT_RUN, message, 400)
