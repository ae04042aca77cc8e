"""Tests of the assembly of the output from several attempts."""

from hypothesis import given
from hypothesis import strategies as st

from papayacrank.targets import Delivery, ResumeStep, StreamAssembler

OUTPUT = [f" t{i:02d}" for i in range(30)]
ATTEMPT = st.tuples(st.integers(0, 30), st.integers(0, 30))


@given(st.lists(ATTEMPT, max_size=10))
def test_delivered_tokens_are_the_output_whatever_the_attempts(attempts):
    """Guards against repeated or skipped tokens when attempts overlap."""
    assembler = StreamAssembler(max_output_tokens=30)
    delivered = []
    for first, count in attempts:
        for offset in range(first, min(first + count, len(OUTPUT))):
            if assembler.accept(offset, OUTPUT[offset]) is Delivery.DELIVER:
                delivered.append(OUTPUT[offset])
    assert delivered == OUTPUT[: len(delivered)]
    assert assembler.resume_point.offset == len(delivered)
    assert assembler.resume_point.text == "".join(delivered)
    complete = assembler.finish(len(OUTPUT)) is Delivery.DELIVER
    assert complete == (len(delivered) == len(OUTPUT))


def test_other_text_at_a_delivered_offset_is_a_conflict():
    """Guards against mixing the outputs of two engines."""
    assembler = StreamAssembler(max_output_tokens=3)
    assert assembler.accept(0, " a") is Delivery.DELIVER
    assert assembler.accept(0, " a") is Delivery.DUPLICATE
    assert assembler.accept(0, " b") is Delivery.CONFLICT
    assert assembler.accept(-1, " a") is Delivery.GAP
    assert assembler.accept(2, " c") is Delivery.GAP
    assert assembler.finish(0) is Delivery.CONFLICT


def test_output_beyond_its_limit_is_not_delivered():
    """Guards against delivering tokens that the workspace has not reserved."""
    assembler = StreamAssembler(max_output_tokens=1)
    assert assembler.accept(0, " a") is Delivery.DELIVER
    assert assembler.accept(1, " b") is Delivery.GAP
    assert assembler.finish(1) is Delivery.DELIVER
    assert assembler.next_step("engine-1", True) is ResumeStep.END_WITH_ERROR


def test_resumes_are_bounded_and_prefer_the_same_engine():
    """Guards against unlimited attempts on a broken engine."""
    assembler = StreamAssembler(max_output_tokens=9)
    steps = [assembler.next_step("engine-1", True) for _ in range(4)]
    assert steps == [
        ResumeStep.SAME_ENGINE,
        ResumeStep.OTHER_ENGINE,
        ResumeStep.OTHER_ENGINE,
        ResumeStep.END_WITH_ERROR,
    ]


def test_unusable_engine_and_non_idempotent_request_are_not_resumed():
    """Guards against a second run of a request that may run only once."""
    assembler = StreamAssembler(max_output_tokens=9)
    step = assembler.next_step("engine-1", engine_usable=False, idempotent=False)
    assert step is ResumeStep.END_WITH_ERROR
    step = assembler.next_step("engine-1", engine_usable=False)
    assert step is ResumeStep.OTHER_ENGINE
