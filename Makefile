VENV ?= .venv
PY = $(VENV)/bin/python
DEPLOYMENT ?= abay
SEED ?= 1
COUNT ?= 5
SOURCES = src platform testing demo experiment bench soak

.PHONY: test lint types unit format demo fault-matrix measure-state \
	measure-decisions measure-requests measure-capacity measure-jobs \
	measure-failover measure-holds \
	soak soak-regressions

$(VENV)/.installed: requirements.txt pyproject.toml
	python3 -m venv $(VENV)
	$(PY) -m pip install -q -r requirements.txt
	$(PY) -m pip install -q --no-deps --no-build-isolation -e .
	touch $@

test: lint types unit

lint: $(VENV)/.installed
	$(PY) -m ruff format --check $(SOURCES)
	$(PY) -m ruff check $(SOURCES)
	$(PY) -m flake8 $(SOURCES)

types: $(VENV)/.installed
	$(PY) -m mypy

unit: $(VENV)/.installed
	$(PY) -m pytest

format: $(VENV)/.installed
	$(PY) -m ruff check --fix $(SOURCES)
	$(PY) -m ruff format $(SOURCES)

demo: $(VENV)/.installed
	$(PY) -m demo --deployment $(DEPLOYMENT) --seed $(SEED)

fault-matrix: $(VENV)/.installed
	$(PY) -m bench.fault_matrix

measure-state: $(VENV)/.installed
	$(PY) -m bench.state --seed $(SEED)

measure-decisions: $(VENV)/.installed
	$(PY) -m experiment --deployment $(DEPLOYMENT) --seed $(SEED)

measure-requests: $(VENV)/.installed
	$(PY) -m bench.requests --deployment $(DEPLOYMENT) --seed $(SEED)

measure-capacity: $(VENV)/.installed
	$(PY) -m bench.capacity

soak: $(VENV)/.installed
	$(PY) -m soak --first $(SEED) --count $(COUNT)

soak-regressions: $(VENV)/.installed
	$(PY) -m soak --regressions

measure-jobs: $(VENV)/.installed
	$(PY) -m bench.jobs

measure-failover: $(VENV)/.installed
	$(PY) -m bench.failover --seed $(SEED)

measure-holds: $(VENV)/.installed
	$(PY) -m bench.loop_holds
