PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
READY := $(VENV)/.ready

$(READY): requirements.txt requirements-dev.txt pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --disable-pip-version-check -r requirements-dev.txt
	$(BIN)/pip install --quiet --disable-pip-version-check --no-deps -e .
	touch $(READY)

.PHONY: setup demo test lint format check bench capacity
setup: $(READY)

demo: $(READY)
	$(BIN)/pondpin-demo

test: $(READY)
	$(BIN)/python -m pondpin.tests

lint: $(READY)
	$(BIN)/ruff check pondpin
	$(BIN)/ruff format --check pondpin
	$(BIN)/mypy --strict pondpin

format: $(READY)
	$(BIN)/ruff format pondpin
	$(BIN)/ruff check --fix pondpin
