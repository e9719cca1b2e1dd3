.PHONY: demo test measure compare chaos slopes binary lint

PYTHON := .venv/bin/python

demo: .venv/.ready
	@$(PYTHON) -m loadtool demo

test: .venv/.ready
	@$(PYTHON) -m pytest -n 6

# A randomised run of faults: make chaos SEED=1 DURATION=60
SEED ?= 1
DURATION ?= 60
chaos: .venv/.ready
	@$(PYTHON) -m loadtool chaos --seed $(SEED) --duration $(DURATION)

slopes: .venv/.ready
	@$(PYTHON) -m loadtool slopes

binary: .venv/.ready
	@$(PYTHON) -m tools.binary

lint: .venv/.ready
	@$(PYTHON) -m black --check -q rhubarbbend standins loadtool tools tests
	@$(PYTHON) -m ruff check -q rhubarbbend standins loadtool tools tests
	@$(PYTHON) -m mypy

.venv/.ready: requirements-dev.txt
	@python3 -m venv .venv
	@$(PYTHON) -m pip install -q --disable-pip-version-check -r requirements-dev.txt
	@touch $@
