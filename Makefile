# build: what the deployment runs; the other targets use an environment of their own for the tools.
PYTHON ?= python3
TOOLS = .ci-venv/bin

KIT ?= ../given/kit

.PHONY: build test lint run sites clean

build:
	sh -c "$$(sed -n 's/^build = "\(.*\)"/\1/p' deploy/balancer.toml)"

.ci-venv/done: pyproject.toml
	$(PYTHON) -m venv .ci-venv
	$(TOOLS)/pip -q install --disable-pip-version-check -e .[dev]
	touch $@

# The files of the tests, some at a time and those that take longest first; each prints what it has when it ends.
ABREAST ?= 4
LONG = coldstart maintenance_service chance_faults policies_histories policies_service coldstart_service
FILES = $(LONG:%=tests/test_%.py) $(filter-out $(LONG:%=tests/test_%.py),$(sort $(wildcard tests/test_*.py)))

test: .ci-venv/done
	$(MAKE) --no-print-directory -k -j$(ABREAST) --output-sync=target $(FILES:%.py=run/%)

run/tests/%:
	$(TOOLS)/python -m tests.known_red tests.$*

lint: .ci-venv/done
	$(TOOLS)/ruff check .
	$(TOOLS)/ruff format --check .
	$(TOOLS)/mypy
	$(TOOLS)/lint-imports --no-cache

# Needs GW_CONFIG to name a configuration file; README.md shows one.
run: build
	sh -c "$$(sed -n 's/^run = "\(.*\)"/\1/p' deploy/balancer.toml)"

# What the bench's kit lays beside a site file, so that our own sites under deploy/sites can be played.
sites:
	cp $(KIT)/sites/wire.json $(KIT)/sites/real.json $(KIT)/more/mass/other/unlock.txt deploy/sites/
	chmod u+w deploy/sites/*

clean:
	rm -rf .venv .ci-venv
