"""Tests of cost models, speed factors and expected lengths of responses."""

import math
import random

import msgspec
import pytest

from papayacrank.costs import (
    MAX_FACTOR,
    PRIOR_FIRST_STEP_MS,
    PRIOR_PREFILL_TOKENS_PER_MS,
    PRIOR_SERVICE_TIME_MS,
    CostModel,
    OutputLengths,
    Work,
    queued_events,
)
from papayacrank.messages import ServiceCost, TargetCost

from .builders import build_target, median

FACTORS = {"e1": 0.7, "e2": 1.0, "e3": 1.4, "e4": 1.0}


def build_model(factors=FACTORS):
    """Return a cost model that knows of the targets but has no observations."""
    model = CostModel()
    model.retain([build_target(int(name[1:])) for name in factors])
    return model


def draw_work(rng, **fields):
    """Return the work of a random request."""
    work = Work(
        "llm",
        prefill_tokens=rng.randrange(300, 9_000),
        queued_tokens=rng.choice([0, 0, rng.randrange(8_000)]),
        running=rng.randrange(10),
    )
    return type(work)(
        **{f: getattr(work, f) for f in work.__dataclass_fields__} | fields
    )


def true_ms(work, factor):
    """Return the time of a request at a simulated engine."""
    tokens = work.prefill_tokens + 0.6 * work.queued_tokens
    return factor * (12 + work.running + tokens / 80)


def teach(model, count, seed=1, factors=FACTORS, noise=0.15):
    """Record random requests at all targets."""
    rng = random.Random(seed)
    for _ in range(count):
        for name, factor in factors.items():
            work = draw_work(rng)
            elapsed_ms = true_ms(work, factor) * math.exp(rng.gauss(0, noise))
            model.observe(name, work, elapsed_ms)
    return model


def ratio(model, slow="e3", fast="e1"):
    """Return how much slower one target is believed to be."""
    return model.factor(slow) / model.factor(fast)


def test_expectations_are_the_priors_before_the_first_observation():
    """Guards against decisions that a restart changes."""
    work = Work("llm", prefill_tokens=900, queued_tokens=450, running=5)
    expected = build_model().expect("e1", work)
    queue_ms = 450 / PRIOR_PREFILL_TOKENS_PER_MS
    own_ms = 900 / PRIOR_PREFILL_TOKENS_PER_MS
    assert expected.queue_ms == pytest.approx(queue_ms)
    assert expected.first_event_ms == pytest.approx(
        PRIOR_FIRST_STEP_MS + own_ms + queue_ms
    )
    plain = Work("llm", is_engine=False, running=3, slots=6)
    expected = build_model().expect("p1", plain)
    assert expected.first_event_ms == pytest.approx(1.5 * PRIOR_SERVICE_TIME_MS)
    assert build_model().longest_ms("e1", work) == 0


@pytest.mark.parametrize("seed", range(5))
def test_twenty_requests_a_target_give_times_within_a_fifth(seed):
    """Guards against learning that is slower than a roll-out."""
    model = teach(build_model(), 20, seed)
    rng = random.Random(100 + seed)
    errors = []
    for _ in range(200):
        name, work = rng.choice(list(FACTORS)), draw_work(rng)
        wanted_ms = true_ms(work, FACTORS[name])
        errors.append(abs(model.expect(name, work).first_event_ms / wanted_ms - 1))
    assert median(errors) <= 0.2
    assert ratio(model) > 1.5


def test_plain_service_times_follow_route_and_target():
    """Guards against one service time for all routes of all services."""
    model = build_model()
    rng = random.Random(1)
    for _ in range(60):
        for name, factor in FACTORS.items():
            for route, service_ms in (("short", 20), ("long", 90)):
                work = Work("llm", route, is_engine=False, running=0, slots=6)
                noise = math.exp(rng.gauss(0, 0.2))
                model.observe(name, work, service_ms * factor * noise)
    short = model.expect("e2", Work("llm", "short", False, slots=6)).total_ms
    long = model.expect("e2", Work("llm", "long", False, slots=6)).total_ms
    assert short == pytest.approx(20, rel=0.25)
    assert long == pytest.approx(90, rel=0.25)


def test_equal_targets_have_nearly_equal_factors():
    """Guards against noise that is taken for a difference in speed."""
    model = teach(build_model(), 40, factors=dict.fromkeys(FACTORS, 1.0), noise=0.3)
    assert model.factors.widest_spread < 1.05


def test_broken_off_attempt_is_a_lower_bound():
    """Guards against targets that look fast because callers leave."""
    model = teach(build_model(), 20)
    before, work = model.factor("e3"), Work("llm", prefill_tokens=4_000)
    model.observe("e3", work, 5, has_event=False)
    assert model.factor("e3") == before
    model.observe("e3", work, 2_000, has_event=False)
    assert model.factor("e3") > before


def test_route_on_which_all_attempts_are_broken_off_is_learned():
    """Guards against timeouts that stay too short because no attempt is complete."""
    model = build_model()
    work = Work("llm", "slow", is_engine=False, slots=6)
    for _ in range(20):
        for name in FACTORS:
            model.observe(name, work, 300, has_event=False)
    assert model.longest_ms("e1", work) > 300


def test_one_outlier_moves_a_factor_little():
    """Guards against a target that loses its work by one stalled connection."""
    model = teach(build_model(), 20)
    before, work = model.factor("e2"), Work("llm", prefill_tokens=4_000)
    expected_ms = model.expect("e1", work).first_event_ms
    model.observe("e2", work, 60_000)
    assert model.factor("e2") < 1.15 * before
    assert model.expect("e1", work).first_event_ms == pytest.approx(
        expected_ms, rel=0.1
    )


def test_factors_are_limited():
    """Guards against a target that never gets a request again."""
    model = teach(build_model(), 40, factors=FACTORS | {"e4": 50.0})
    assert model.factor("e4") <= MAX_FACTOR * 1.001


def test_restart_with_another_release_is_learned_in_a_few_requests():
    """Guards against the speed of an earlier release, and against forgetting it."""
    model = teach(build_model(), 40)
    slow = ratio(model)
    targets = [build_target(int(name[1:])) for name in FACTORS]
    targets[2] = msgspec.structs.replace(targets[2], born_ms=5, release="v2")
    model.retain(targets)
    model.factors.refresh("llm")
    assert 1.0 < ratio(model) <= slow
    teach(model, 6, factors=FACTORS | {"e3": 0.7})
    assert ratio(model) < 1.25


def test_new_target_has_the_speed_of_its_service():
    """Guards against a new target that gets too much or no work."""
    model = teach(build_model(), 20)
    known = [build_target(int(name[1:])) for name in FACTORS]
    model.retain([*known, build_target(9)])
    assert model.factor("e9") == 1.0
    model.retain(known[:2])
    assert model.factors.samples("e3") == 0
    assert model.factor("e3") == 1.0


def test_reports_bring_another_process_to_the_same_factors():
    """Guards against instances that each have to learn alone."""
    teacher, alone, learner = teach(build_model(), 30), build_model(), build_model()
    report = teacher.take_report(1, 10_000)
    learner.apply(report.targets, report.services)
    assert ratio(learner) == 1.0
    for model in (alone, learner):
        teach(model, 2, seed=5)
    wanted = ratio(teacher)
    assert abs(ratio(learner) - wanted) < abs(ratio(alone) - wanted)
    work = Work("llm", prefill_tokens=4_000)
    assert learner.expect("e2", work).first_event_ms == pytest.approx(
        teacher.expect("e2", work).first_event_ms, rel=0.15
    )


def test_reports_are_bounded_and_only_of_changes():
    """Guards against load messages that grow with the fleet or never end."""
    factors = {f"e{n}": 0.5 + n / 100 for n in range(1, 101)}
    model = teach(build_model(factors), 4, factors=factors)
    report = model.take_report(1, 10_000)
    assert 0 < len(report.targets) <= 32
    assert len(msgspec.msgpack.encode(report.targets)) < 1_000
    assert not model.take_report(1, 10_100).is_new
    for at_ms in range(11_000, 16_000, 1_000):
        model.take_report(1, at_ms)
    assert not model.take_report(1, 20_000).is_new


def test_unusable_values_of_other_processes_are_ignored():
    """Guards against expectations spoiled by a faulty or newer process."""
    model = teach(build_model(), 20)
    before, work = ratio(model), Work("llm", prefill_tokens=4_000)
    expected_ms = model.expect("e2", work).first_event_ms
    bad = {"e1": TargetCost(-1.0, 5), "e3": TargetCost(math.nan, 5)}
    bad |= {"e2": TargetCost(math.inf, 5), "unknown": TargetCost(2.0, 5)}
    services = [
        ServiceCost("llm", 9, {"f0": 1.0, "later": 3.0}),
        ServiceCost("llm", 9, {f"f{i}": math.nan for i in range(5)}),
        ServiceCost("till", 9, {"rlookup": math.nan}),
    ]
    model.apply(bad, services)
    assert ratio(model) == pytest.approx(before)
    assert model.expect("e2", work).first_event_ms == pytest.approx(expected_ms)


def test_urgent_requests_are_expected_to_overtake():
    """Guards against the wait of patient requests expected for urgent ones."""
    model, rng = build_model(), random.Random(1)
    for _ in range(60):
        for name, factor in FACTORS.items():
            work = draw_work(rng, queued_tokens=20_000, urgency=rng.choice([0, 6]))
            share = 0.1 if work.urgency == 0 else 1.0
            tokens = work.prefill_tokens + share * work.queued_tokens
            model.observe(name, work, factor * (12 + tokens / 80))
    urgent, patient = (
        model.expect("e2", Work("llm", urgency=rank, queued_tokens=20_000)).queue_ms
        for rank in (0, 6)
    )
    assert urgent < 0.5 * patient


def test_request_waits_for_a_slot():
    """Guards against full engines that look as fast as those with a free slot."""
    assert queued_events(11, 600, 12) == 0
    assert queued_events(12, 600, 12) == pytest.approx(600 / 144)
    model = build_model()
    for _ in range(40):
        model.observe_events("e1", Work("llm", running=3), 50, 500)
    free, full = (
        model.expect("e1", Work("llm", running=12, queued_events=events))
        for events in (0, 10)
    )
    assert full.queue_ms - free.queue_ms == pytest.approx(100, rel=0.3)


def test_output_lengths_follow_what_callers_state():
    """Guards against limits, which callers seldom use up, taken for lengths."""
    lengths = OutputLengths()
    assert lengths.expect("r", None, None) == 0
    assert lengths.expect("r", 100, 40) == 40
    for _ in range(50):
        lengths.observe("r", 200, None, 20)
    assert lengths.expect("r", 100, None) == pytest.approx(10, rel=0.1)
    assert lengths.expect("r", 100, 40) == 40
    lengths.observe("r", 10, 5, 10_000)
    assert lengths.expect("r", 10, 5) <= 10
