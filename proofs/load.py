"""Load generator that records the outcome of each request as the caller sees it."""

import http.client
import random
import threading
import time
from dataclasses import dataclass, field

from papayacrank.testing import Deployment, HttpResponse, expected_output

THINK_TIME_S = 0.02
RETRY_DELAY_S = 0.1
MAX_CLAIM_ATTEMPTS = 40


@dataclass(slots=True)
class RequestOutcomes:
    """Outcomes of the requests of one workspace, as the callers saw them.

    Parameters
    ----------
    complete : int
        Number of complete responses, with the expected text or another.
    mismatches : list of str
        Complete responses whose text differs from the expected one.
    statuses : list of int
        HTTP statuses of refusals and failures.
    connection_errors : int
        Number of requests whose connection broke.
    """

    complete: int = 0
    mismatches: list[str] = field(default_factory=list)
    statuses: list[int] = field(default_factory=list)
    connection_errors: int = 0


class Callers:
    """Threads that send completion and claim requests until they are stopped.

    Parameters
    ----------
    deployment : Deployment
        System under test.
    seed : int
        Seed of the prompts and of the random choices.
    completion_threads, claim_threads : int
        Number of threads that send each kind of request.

    Attributes
    ----------
    completions_ : dict of str to RequestOutcomes
        Outcomes of the completions by workspace.
    claims_ : dict of str to str
        Outcome of each claim by idempotency key.
    """

    def __init__(
        self,
        deployment: Deployment,
        seed: int,
        completion_threads: int = 4,
        claim_threads: int = 2,
    ):
        self.deployment = deployment
        self.seed = seed
        self.completion_threads = completion_threads
        self.claim_threads = claim_threads
        self.completions_ = {"team-a": RequestOutcomes(), "team-b": RequestOutcomes()}
        self.claims_: dict[str, str] = {}
        self._stopping = threading.Event()
        self._lock = threading.Lock()
        self._threads: list[threading.Thread] = []

    def start(self) -> "Callers":
        """Start the threads."""
        for number in range(self.completion_threads):
            self._start_thread(self._complete_until_stopped, number)
        for number in range(self.claim_threads):
            self._start_thread(self._claim_until_stopped, number)
        return self

    def stop(self, timeout_s: float = 60.0) -> None:
        """Stop the threads once their requests in flight have ended."""
        self._stopping.set()
        for thread in self._threads:
            thread.join(timeout_s)
            assert not thread.is_alive(), (
                "a request did not complete before the timeout"
            )

    def _start_thread(self, run, number: int) -> None:
        thread = threading.Thread(target=run, args=(number,), daemon=True)
        self._threads.append(thread)
        thread.start()

    def _complete_until_stopped(self, number: int) -> None:
        rng = random.Random(f"{self.seed}-{number}")
        workspace = ("team-a", "team-b")[number % 2]
        address = rng.choice(self.deployment.entry_addresses)
        while not self._stopping.is_set():
            if not self._complete_once(rng, workspace, address):
                address = rng.choice(self.deployment.entry_addresses)
                time.sleep(RETRY_DELAY_S)
            time.sleep(THINK_TIME_S)

    def _complete_once(self, rng, workspace: str, address: str) -> bool:
        prompt = f"level {rng.randrange(3)} " * 200 + str(rng.random())
        tokens = rng.randrange(1, 30)
        outcomes = self.completions_[workspace]
        response = self._attempt(
            lambda: self.deployment.complete(address, workspace, prompt, tokens)
        )
        with self._lock:
            if response is None:
                outcomes.connection_errors += 1
            elif response.status != 200:
                outcomes.statuses.append(response.status)
            else:
                outcomes.complete += 1
                self._compare(outcomes, response, prompt, tokens)
        return response is not None and response.status == 200

    @staticmethod
    def _compare(
        outcomes: RequestOutcomes, response: HttpResponse, prompt: str, tokens: int
    ) -> None:
        expected, _ = expected_output([{"role": "user", "content": prompt}], tokens)
        text = response.json()["choices"][0]["message"]["content"]
        if text != "".join(expected):
            outcomes.mismatches.append(f"{text!r} instead of {''.join(expected)!r}")

    def _claim_until_stopped(self, number: int) -> None:
        rng = random.Random(f"{self.seed}-claim-{number}")
        sequence = 0
        while not self._stopping.is_set():
            sequence += 1
            key = f"claim-{number}-{sequence}"
            outcome = self._claim_once(rng, key)
            with self._lock:
                self.claims_[key] = outcome
            time.sleep(THINK_TIME_S)

    def _claim_once(self, rng, key: str) -> str:
        """Retry one claim under its idempotency key until its outcome is known.

        Returns
        -------
        str
            ``"ran"``, ``"not-run"`` or ``"may-have-run"``.
        """
        verdict = "not-run"
        for _ in range(MAX_CLAIM_ATTEMPTS):
            address = rng.choice(self.deployment.entry_addresses)
            response = self._attempt(
                lambda address=address: self.deployment.claim(address, "team-a", key)
            )
            if response is not None and response.status == 200:
                return "ran"
            verdict = (
                "may-have-run" if response is None else read_verdict(response, verdict)
            )
            if response is not None and read_code(response) == "action_unknown":
                return verdict
            time.sleep(RETRY_DELAY_S)
        return verdict

    @staticmethod
    def _attempt(send) -> HttpResponse | None:
        try:
            return send()
        except (OSError, http.client.HTTPException):
            return None


def read_code(response: HttpResponse) -> str:
    """Return the error code of a refusal or failure."""
    return response.json()["error"]["code"]


def read_verdict(response: HttpResponse, previous: str) -> str:
    """Return the verdict of a refusal.

    "not-run" covers this request only: if the connection of an earlier attempt broke,
    that request may have run under the same key.
    """
    verdict = response.json()["error"]["verdict"]
    if verdict == "not-run" and previous == "may-have-run":
        return previous
    return verdict


def check_claims(callers: Callers, service: str = "service-1") -> dict[str, int]:
    """Check each claim against the service's journal; return counts by outcome."""
    journal = [e["body"] for e in callers.deployment.fleet.journal(service)]
    outcomes = {"ran": 0, "not-run": 0, "may-have-run": 0}
    allowed = {"ran": (1, 1), "not-run": (0, 0), "may-have-run": (0, 1)}
    for key, outcome in callers.claims_.items():
        times = sum(f'"{key}"' in body for body in journal)
        minimum, maximum = allowed[outcome]
        assert minimum <= times <= maximum, (
            f"{key}: outcome {outcome}, but it ran {times} times"
        )
        outcomes[outcome] += 1
    return outcomes
