# Everything runs in .venv, which is made anew when a requirements file changes.
PYTHON := .venv/bin/python
CONFIG ?= example/config.json

.PHONY: build test lint run toy clean

build: .venv/made

.venv/made: requirements.txt requirements-collectd.txt requirements-lab.txt requirements-dev.txt
	rm -rf .venv
	python3 -m venv .venv
	.venv/bin/pip -q install -r requirements.txt -r requirements-collectd.txt -r requirements-lab.txt -r requirements-dev.txt
	.venv/bin/pip -q install --no-deps -e .
	cp requirements.txt .venv/requirements.txt
	touch $@

test: build
	$(PYTHON) -m pytest -q

lint: build
	.venv/bin/ruff check .
	.venv/bin/ruff format --check .
	.venv/bin/mypy

run: build
	exec env NODE_CONFIG=$(CONFIG) $(PYTHON) -m dockthread

toy: build
	exec $(PYTHON) example/toy_server.py

clean:
	rm -rf .venv .pytest_cache .mypy_cache .ruff_cache
