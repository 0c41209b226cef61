# Every target sets up what it needs, so that a fresh clone needs no other step.
PYTHON ?= python3
VENV ?= .venv
BIN := $(VENV)/bin
STAMP := $(VENV)/.installed
DEV_STAMP := $(VENV)/.installed-dev
N ?= 20

.PHONY: demo test lint format bench faults soak clean

$(STAMP): requirements.lock pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/python -m pip install --quiet --requirement requirements.lock
	$(BIN)/python -m pip install --quiet --no-deps --editable .
	touch $(STAMP)

$(DEV_STAMP): $(STAMP) requirements-dev.lock
	$(BIN)/python -m pip install --quiet --requirement requirements-dev.lock
	touch $(DEV_STAMP)

demo: $(STAMP)
	$(BIN)/boragespring demo

lint: $(DEV_STAMP)
	$(BIN)/ruff format --check src
	$(BIN)/ruff check src
	$(BIN)/mypy

format: $(DEV_STAMP)
	$(BIN)/ruff format src
	$(BIN)/ruff check --fix src

test: lint
	$(BIN)/python -m pytest -n 6 -m "not alone"
	$(BIN)/python -m pytest -m alone

faults: $(DEV_STAMP)
	$(BIN)/boragespring faults --runs $(N)

soak: $(DEV_STAMP)
	$(BIN)/boragespring soak --runs $(N)

bench: $(DEV_STAMP)
	$(BIN)/boragespring bench

clean:
	rm -rf $(VENV) build src/*.egg-info
