"""Tests that the pages in docs/ are consistent with the code."""

import importlib.util
import re
from pathlib import Path

import pytest

import papayacrank

ROOT = Path(papayacrank.__file__).parents[1]
DOCS = ROOT / "docs"


def load_generator():
    """Import docs/generate.py."""
    spec = importlib.util.spec_from_file_location("generate", DOCS / "generate.py")
    module = importlib.util.module_from_spec(spec)
    spec.loader.exec_module(module)
    return module


@pytest.mark.parametrize("page", ["events", "settings"])
def test_generated_pages_are_current(page):
    """Guards against generated pages that are outdated."""
    expected = getattr(load_generator(), f"render_{page}")()
    assert (DOCS / f"{page}.md").read_text(encoding="utf-8") == expected


def test_links_between_pages_resolve():
    """Guards against links to files that do not exist."""
    broken = []
    for page in [ROOT / "README.md", *DOCS.rglob("*.md")]:
        for link in re.findall(r"\]\(([^)#:]+)(?:#[^)]*)?\)", page.read_text()):
            if not (page.parent / link).exists():
                broken.append((page.name, link))
    assert broken == []


def test_only_the_events_module_gets_a_logger():
    """Guards against log lines without an event number."""
    offenders = [
        path.name
        for path in Path(papayacrank.__file__).parent.rglob("*.py")
        if "get_logger(" in path.read_text() and path.name != "_events.py"
    ]
    assert offenders == ["test_docs.py"]


def test_code_avoids_synonyms_that_the_glossary_excludes():
    """Guards against two terms for the same concept in the code."""
    table = (DOCS / "glossary.md").read_text(encoding="utf-8").split("\n\n")[2]
    cells = [line.split("|")[3] for line in table.splitlines()[2:]]
    excluded = {word.strip() for cell in cells for word in cell.split(",")} - {""}
    assert {"zone", "tenant", "backend"} <= excluded
    words = "|".join(sorted(excluded | {word.capitalize() for word in excluded}))
    # Matches a part of an identifier in snake_case or CapWords, but not "astimezone".
    pattern = re.compile(rf"(?<![a-z])({words})s?(?![a-z])")
    # The platform adapter is exempt: it translates the platform's terms.
    package = Path(papayacrank.__file__).parent
    offenders = [
        (path.name, match.group())
        for path in package.rglob("*.py")
        if path.name != "test_docs.py" and package / "platform" not in path.parents
        for match in pattern.finditer(
            path.read_text(encoding="utf-8").replace("time zone", "")
        )
    ]
    assert offenders == []
