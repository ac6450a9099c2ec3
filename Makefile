VENV := .venv
PYTHON := $(VENV)/bin/python
STAMP := $(VENV)/.installed

.PHONY: setup demo demo-guild test lint bench proto fuzz soak

setup: $(STAMP)

$(STAMP): requirements.txt requirements-dev.txt pyproject.toml
	test -x $(PYTHON) || python3 -m venv $(VENV)
	$(VENV)/bin/pip install --quiet --disable-pip-version-check -r requirements-dev.txt
	$(VENV)/bin/pip install --quiet --disable-pip-version-check --no-deps --editable .
	touch $(STAMP)

demo: setup
	$(PYTHON) -m demo.siamsong

demo-guild: setup
	$(PYTHON) -m demo.guild

test: setup
	$(PYTHON) -m pytest

lint: setup
	$(VENV)/bin/ruff format --check .
	$(VENV)/bin/ruff check .
	$(VENV)/bin/lint-imports
	$(PYTHON) -m agaterelay.cli.catalogue docs/EVENTS.md

bench: setup
	$(PYTHON) -m bench

proto: setup
	$(PYTHON) -m grpc_tools.protoc -I. --python_out=. --grpc_python_out=. agaterelay/proto/peer.proto

fuzz: setup
	$(PYTHON) -m pytest --hypothesis-profile=fuzz tests/core tests/adapters tests/tasks

soak: setup
	$(PYTHON) -m soak --seeds 1-50 --jobs 2
