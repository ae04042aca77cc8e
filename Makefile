PYTHON ?= python3.11
VENV := .venv
BIN := $(VENV)/bin
STAMP := $(VENV)/.installed

.PHONY: demo test lint prove bench clean

$(STAMP): requirements.lock pyproject.toml
	test -x $(BIN)/python || $(PYTHON) -m venv $(VENV)
	$(BIN)/python -m pip install --quiet -r requirements.lock
	$(BIN)/python -m pip install --quiet --no-deps --no-build-isolation -e .
	touch $@

lint: $(STAMP)
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .

test: lint
	$(BIN)/python -m pytest -n 4 -m "not prove"

prove: $(STAMP)
	timeout 600 $(BIN)/python -m pytest -m prove -n 4

demo: $(STAMP)
	$(BIN)/python examples/demo.py

bench: $(STAMP)
	$(BIN)/python -m papayacrank.replay bench

clean:
	rm -rf $(VENV) build *.egg-info
