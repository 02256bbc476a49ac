PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
READY := $(VENV)/.ready

$(READY): requirements.txt requirements-dev.txt pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --disable-pip-version-check -r requirements-dev.txt
	$(BIN)/pip install --quiet --disable-pip-version-check --no-deps -e .
	touch $(READY)

.PHONY: setup demo test lint format check bench soak
setup: $(READY)

demo: $(READY)
	$(BIN)/pondpin-demo

test: $(READY)
	$(BIN)/python -m pondpin.tests

lint: $(READY)
	$(BIN)/ruff check pondpin spec samples
	$(BIN)/ruff format --check pondpin spec samples
	$(BIN)/mypy --strict pondpin

check: $(READY)
	$(BIN)/python -m spec

format: $(READY)
	$(BIN)/ruff format pondpin spec samples
	$(BIN)/ruff check --fix pondpin spec samples

bench: $(READY)
	for file in experiments/*.json; do $(BIN)/pondpin-load experiment $$file || exit 1; done

soak: $(READY)
	$(BIN)/python -m pondpin.soak.run --seeds=10
