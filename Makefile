PYTHON ?= python3.11
VENV := .venv
BIN := $(VENV)/bin
LAYOUT ?= utility

.PHONY: install test lint types unit quickstart up bench bench-fleet fuzz

install: $(VENV)/.installed

$(VENV)/.installed: pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --editable '.[dev]'
	touch $@

test: install lint types unit

lint: install
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .

types: install
	$(BIN)/mypy

unit: install
	$(BIN)/pytest

quickstart: install
	$(BIN)/python -m devtools.quickstart --layout $(LAYOUT)

up: install
	$(BIN)/python -m devtools.up --layout $(LAYOUT)
