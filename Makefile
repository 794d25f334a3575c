PYTHON ?= python3.11
VENV := .venv
BIN := $(VENV)/bin
CHECKED := src stand_ins tests bench tools

.PHONY: setup format lint types tests test demo binary

setup: $(VENV)/.installed

$(VENV)/.installed: requirements.lock
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --disable-pip-version-check --requirement requirements.lock
	touch $@

format: setup
	$(BIN)/ruff check --fix $(CHECKED)
	$(BIN)/black --quiet $(CHECKED)

lint: setup
	$(BIN)/black --check --quiet $(CHECKED)
	$(BIN)/ruff check --quiet $(CHECKED)

types: setup
	$(BIN)/mypy

tests: setup
	$(BIN)/python -m pytest

test: lint types tests

demo: setup
	PYTHONPATH=src:stand_ins/src $(BIN)/python -m goldcresthall_stand_ins.demo

binary: dist/goldcresthall.pyz

dist/goldcresthall.pyz: setup $(shell find src -name '*.py')
	$(BIN)/python tools/build_binary.py $@
