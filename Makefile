# The door to everything; each target works on a fresh clone with Python 3.11.

VENV ?= .venv
PYTHON ?= python3
BIN = $(VENV)/bin
RUN = PYTHONPATH=$(CURDIR) $(BIN)/python

.PHONY: all demo test lint format lock binary binary-check measure guards experiment

all: lint test

$(VENV)/installed: requirements-dev.lock
	test -x $(BIN)/python || $(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --disable-pip-version-check --require-hashes -r requirements-dev.lock
	touch $@

$(VENV)/binary-installed: $(VENV)/installed requirements-binary.lock
	$(BIN)/pip install --quiet --disable-pip-version-check --require-hashes -r requirements-binary.lock
	touch $@

lint: $(VENV)/installed
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .

format: $(VENV)/installed
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .

test: $(VENV)/installed
	$(RUN) tools/verdict.py

demo: $(VENV)/installed
	$(RUN) -m knapweedrock demo --for 20

measure: $(VENV)/installed
	$(RUN) tools/measure.py $(EXPERIMENTS)

binary: $(VENV)/binary-installed
	$(RUN) tools/binary.py

binary-check: binary
	$(RUN) -m behave features/binary

guards: $(VENV)/installed
	$(RUN) tools/guards.py $(GUARDS)

experiment: $(VENV)/installed
	$(RUN) tools/experiment.py
