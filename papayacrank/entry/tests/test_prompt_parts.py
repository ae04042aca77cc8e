"""Tests of the names of prompt parts."""

from papayacrank.cache import hash_prompt
from papayacrank.entry._prompt_parts import (
    MAX_MESSAGE_PARTS,
    PREFIX_LENGTHS,
    name_shared_parts,
)
from papayacrank.quarantine import MAX_PARTS_PER_REQUEST
from papayacrank.targets import encode_tokens, render_prompt

BLOCK_TOKENS = 4


def name(messages, workspace="team-a", model="sample"):
    """Return the names of the parts of a prompt."""
    tokens = encode_tokens(render_prompt(messages))
    blocks = hash_prompt(workspace, model, "1", tokens, BLOCK_TOKENS)
    return name_shared_parts(model, messages, blocks)


def say(*texts):
    """Build messages of a user."""
    return [{"role": "user", "content": text} for text in texts]


def list_messages(names):
    """Return the names of messages."""
    return {item for item in names if item.startswith("message-")}


def test_message_has_one_name_wherever_it_stands():
    """Guards against a deadly message that each conversation and caller hides anew."""
    first = name(say("deadly", "one"))
    second = name(say("something before", "deadly", "two"), workspace="team-b")
    shared = list_messages(first) & list_messages(second)
    assert len(shared) == 1
    assert not shared & set(name(say("deadly", "one"), model="other"))


def test_last_message_is_no_part():
    """Guards against refusals of what belongs to one request only."""
    assert list_messages(name(say("only"))) == set()
    assert len(list_messages(name(say("first", "last")))) == 1


def test_shared_beginning_of_one_message_is_named():
    """Guards against a deadly beginning without a message of its own."""
    head = "x" * 16 * BLOCK_TOKENS
    first, second = (name(say(head + tail * 40)) for tail in "ab")
    assert set(first) & set(second)
    assert set(first) != set(second)


def test_names_are_bounded_and_do_not_depend_on_what_follows():
    """Guards against unbounded messages, and names that differ between requests."""
    texts = [f"text {number} " * 90 for number in range(40)]
    long, longer = name(say(*texts, "a")), name(say(*texts, "b", "c"))
    assert len(long) == MAX_PARTS_PER_REQUEST == len(set(long))
    assert set(long) == set(longer)
    assert len(list_messages(long)) == MAX_MESSAGE_PARTS


def test_prefix_lengths_grow_by_half_or_a_third():
    """Guards against long prompts whose deadly part lies behind all named prefixes."""
    assert PREFIX_LENGTHS[:8] == (1, 2, 3, 4, 6, 8, 12, 16)
    assert PREFIX_LENGTHS[-1] >= 1_000


def test_message_without_text_is_named():
    """Guards against an internal error on a message without content."""
    names = name([{"role": "assistant", "content": None}, *say("question")])
    assert len(list_messages(names)) == 1
