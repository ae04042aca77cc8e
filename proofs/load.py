"""Callers that follow route answers, and what they saw."""

import http.client
import random
import threading
import time
from dataclasses import dataclass, field

from papayacrank.testing import Deployment, HttpResponse, expected_output

THINK_TIME_S = 0.02
RETRY_PAUSE_S = 0.1
MAX_CLAIM_TRIES = 40


@dataclass(slots=True)
class Seen:
    """What one kind of requests came to, as the callers saw it.

    Parameters
    ----------
    whole : int
        Complete answers.
    wrong : list of str
        Answers with another text than expected.
    statuses : list of int
        Statuses of refusals and failures.
    broken : int
        Requests whose connection broke.
    """

    whole: int = 0
    wrong: list[str] = field(default_factory=list)
    statuses: list[int] = field(default_factory=list)
    broken: int = 0


class Callers:
    """Threads that send completions and claims until they are stopped.

    Parameters
    ----------
    deployment : Deployment
        System under test.
    seed : int
        Seed of prompts and choices.
    completers, claimers : int
        Threads of each kind.
    """

    def __init__(
        self, deployment: Deployment, seed: int, completers: int = 4, claimers: int = 2
    ):
        self.deployment = deployment
        self.seed = seed
        self.completers = completers
        self.claimers = claimers
        self.completions_ = {"team-a": Seen(), "team-b": Seen()}
        self.claims_: dict[str, str] = {}
        self._stopping = threading.Event()
        self._guard = threading.Lock()
        self._threads: list[threading.Thread] = []

    def start(self) -> "Callers":
        """Start the threads."""
        for number in range(self.completers):
            self._spawn(self._complete_until_stopped, number)
        for number in range(self.claimers):
            self._spawn(self._claim_until_stopped, number)
        return self

    def stop(self, timeout_s: float = 60.0) -> None:
        """Let the requests in flight end."""
        self._stopping.set()
        for thread in self._threads:
            thread.join(timeout_s)
            assert not thread.is_alive(), "a caller got no answer"

    def _spawn(self, run, number: int) -> None:
        thread = threading.Thread(target=run, args=(number,), daemon=True)
        self._threads.append(thread)
        thread.start()

    def _complete_until_stopped(self, number: int) -> None:
        source = random.Random(f"{self.seed}-{number}")
        workspace = ("team-a", "team-b")[number % 2]
        address = source.choice(self.deployment.entry_addresses)
        while not self._stopping.is_set():
            if not self._complete_once(source, workspace, address):
                address = source.choice(self.deployment.entry_addresses)
                time.sleep(RETRY_PAUSE_S)
            time.sleep(THINK_TIME_S)

    def _complete_once(self, source, workspace: str, address: str) -> bool:
        prompt = f"level {source.randrange(3)} " * 200 + str(source.random())
        tokens = source.randrange(1, 30)
        seen = self.completions_[workspace]
        answer = self._attempt(
            lambda: self.deployment.complete(address, workspace, prompt, tokens)
        )
        with self._guard:
            if answer is None:
                seen.broken += 1
            elif answer.status != 200:
                seen.statuses.append(answer.status)
            else:
                seen.whole += 1
                self._compare(seen, answer, prompt, tokens)
        return answer is not None and answer.status == 200

    @staticmethod
    def _compare(seen: Seen, answer: HttpResponse, prompt: str, tokens: int) -> None:
        expected, _ = expected_output([{"role": "user", "content": prompt}], tokens)
        text = answer.json()["choices"][0]["message"]["content"]
        if text != "".join(expected):
            seen.wrong.append(f"{text!r} instead of {''.join(expected)!r}")

    def _claim_until_stopped(self, number: int) -> None:
        source = random.Random(f"{self.seed}-claim-{number}")
        serial = 0
        while not self._stopping.is_set():
            serial += 1
            key = f"claim-{number}-{serial}"
            outcome = self._claim_once(source, key)
            with self._guard:
                self.claims_[key] = outcome
            time.sleep(THINK_TIME_S)

    def _claim_once(self, source, key: str) -> str:
        """Repeat one claim under its key until its outcome is known.

        Returns
        -------
        str
            ``"ran"``, ``"not-run"`` or ``"may-have-run"``.
        """
        last = "not-run"
        for _ in range(MAX_CLAIM_TRIES):
            address = source.choice(self.deployment.entry_addresses)
            answer = self._attempt(
                lambda address=address: self.deployment.claim(address, "team-a", key)
            )
            if answer is not None and answer.status == 200:
                return "ran"
            last = "may-have-run" if answer is None else read_verdict(answer, last)
            if answer is not None and read_code(answer) == "action_unknown":
                return last
            time.sleep(RETRY_PAUSE_S)
        return last

    @staticmethod
    def _attempt(send) -> HttpResponse | None:
        try:
            return send()
        except (OSError, http.client.HTTPException):
            return None


def read_code(answer: HttpResponse) -> str:
    """Return the code of a refusal or failure."""
    return answer.json()["error"]["code"]


def read_verdict(answer: HttpResponse, previous: str) -> str:
    """Return the verdict of a refusal.

    "Not run" speaks of this request alone: after an attempt whose connection broke,
    an earlier request under the key may have run.
    """
    verdict = answer.json()["error"]["verdict"]
    if verdict == "not-run" and previous == "may-have-run":
        return previous
    return verdict


def check_claims(callers: Callers, service: str = "service-1") -> dict[str, int]:
    """Check every claim against the journal of the service; return the outcomes."""
    journal = [e["body"] for e in callers.deployment.fleet.journal(service)]
    outcomes = {"ran": 0, "not-run": 0, "may-have-run": 0}
    allowed = {"ran": (1, 1), "not-run": (0, 0), "may-have-run": (0, 1)}
    for key, outcome in callers.claims_.items():
        times = sum(f'"{key}"' in body for body in journal)
        least, most = allowed[outcome]
        assert least <= times <= most, f"{key}: {outcome}, but ran {times} times"
        outcomes[outcome] += 1
    return outcomes
