.PHONY: cases known-red rollout-table demo test measure compare measure-tables measure-costs soak slopes binary lint ablate

PYTHON := .venv/bin/python

demo: .venv/.ready
	@$(PYTHON) -m loadtool demo

# The tests of crowds run alone, one at a time, after the others.
test: .venv/.ready
	@status=0; \
	$(PYTHON) -m pytest -n 4 --dist loadgroup --ignore tests/crowds || status=1; \
	$(PYTHON) -m pytest tests/crowds || status=1; \
	exit $$status

# Randomised runs of faults, e.g. make soak SEED=1 SEEDS=10 DURATION=40 SIZE=6, on the stand-ins of
# the users' platform; ON=product: on the product's own.
SEED ?= 1
SEEDS ?= 1
DURATION ?= 40
SIZE ?= 6
ON ?= platform
soak: .venv/.ready
	@$(PYTHON) -m loadtool soak --on $(ON) --seed $(SEED) --seeds $(SEEDS) --duration $(DURATION) --size $(SIZE)

# Runs every entry of KNOWN-RED.txt, also the commands that are not part of the test run.
TIMES ?= 1
known-red: .venv/.ready
	@$(PYTHON) -m tools.known_red_run --times $(TIMES)

# The cases of the reviews, real processes against one rule each, e.g. make cases CASES="6 7" TIMES=5
CASES ?=
cases: .venv/.ready
	@$(PYTHON) -m tools.cases --times $(TIMES) $(CASES)

# One run, e.g. make measure DEPLOYMENT=riegos POLICY=random SEED=2 SECONDS=40
DEPLOYMENT ?= tengri
POLICY ?= affinity
SECONDS ?= 40
measure: .venv/.ready
	@$(PYTHON) -m loadtool measure $(DEPLOYMENT) --policy $(POLICY) --seed $(SEED) --seconds $(SECONDS)

# Two results, or folders of results, beside each other: make compare A=results/tengri/random B=...
compare: .venv/.ready
	@$(PYTHON) -m loadtool compare $(A) $(B)

# Processor time of a routing decision and of relaying a chunk.
measure-costs: .venv/.ready
	@$(PYTHON) -m loadtool costs

# Both deployments, every policy, three seeds, two runs at a time; about 12 minutes.
JOBS ?= 2
TABLE_SECONDS ?= 32
measure-tables: .venv/.ready
	@$(PYTHON) -m loadtool tables --jobs $(JOBS) --seconds $(TABLE_SECONDS)

# Seeded roll-outs of the core alone, in virtual time, e.g. make rollout-table SEED=7 COUNT=1000
COUNT ?= 1000
DESIGN ?= capped
rollout-table: .venv/.ready
	@$(PYTHON) -m loadtool rollouts --seed $(SEED) --count $(COUNT) --design $(DESIGN)

slopes: .venv/.ready
	@$(PYTHON) -m loadtool slopes

binary: .venv/.ready
	@$(PYTHON) -m tools.binary

lint: .venv/.ready
	@$(PYTHON) -m black --check -q rhubarbbend platform standins loadtool tools tests
	@$(PYTHON) -m ruff check -q rhubarbbend platform standins loadtool tools tests
	@$(PYTHON) -m mypy

.venv/.ready: requirements-dev.txt
	@python3 -m venv .venv
	@$(PYTHON) -m pip install -q --disable-pip-version-check -r requirements-dev.txt
	@touch $@

# What each mechanism is worth, e.g. make ablate BENCH=... SITE=... WORK=/a/folder
SEEDS_OF_DAYS ?= 1-2
ablate: .venv/.ready
	@$(PYTHON) -m tools.ablate --bench $(BENCH) --site $(SITE) --work $(WORK) --seeds $(SEEDS_OF_DAYS) --out $(WORK)/ablation.json
