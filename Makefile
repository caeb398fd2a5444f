PYTHON ?= python3.11
VENV := .venv
BIN := $(VENV)/bin
LAYOUT ?= utility

.PHONY: install test lint types unit known-red quickstart up bench bench-fleet fuzz soak

install: $(VENV)/.installed

$(VENV)/.installed: pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --editable '.[dev]'
	touch $@

test: install lint types known-red unit

lint: install
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .

types: install
	$(BIN)/mypy

unit: install
	$(BIN)/pytest

# Cases that are known to fail, with command, seed and issue; no test is skipped.
known-red:
	@if [ -f KNOWN-RED.txt ]; then cat KNOWN-RED.txt; fi

quickstart: install
	$(BIN)/python -m devtools.quickstart --layout $(LAYOUT)

up: install
	$(BIN)/python -m devtools.up --layout $(LAYOUT)

# Every number of the requests: decisions on virtual time, then real processes.
bench: install
	$(BIN)/python -m devtools.bench_quotas
	$(BIN)/python -m devtools.bench_overload
	$(BIN)/python -m devtools.bench_balancing
	$(BIN)/python -m devtools.bench_calls

bench-fleet: install
	$(BIN)/python -m devtools.bench_memory
	$(BIN)/python -m devtools.bench_control
	$(BIN)/python -m devtools.bench_fleet $(if $(BASE),--base $(BASE))

SEED ?= 1
STEPS ?= 20000

fuzz: install
	$(BIN)/python -m devtools.fuzz_quotas --seed $(SEED) --steps $(STEPS)
	$(BIN)/python -m devtools.fuzz_hosting --seed $(SEED) --steps $(STEPS)
	$(BIN)/python -m devtools.fuzz_entry --seed $(SEED) --steps $(STEPS)
	$(BIN)/python -m devtools.fuzz_fleet --seed $(SEED) --steps $(STEPS)

RUNS ?= 1

# Sidecars as real processes under random faults; each run takes about half a minute.
soak: install
	$(BIN)/python -m devtools.soak --seed $(SEED) --runs $(RUNS)
