# build: what the deployment runs; the other targets use an environment of their own for the tools.
PYTHON ?= python3
TOOLS = .ci-venv/bin

.PHONY: build test lint run clean

build:
	sh -c "$$(sed -n 's/^build = "\(.*\)"/\1/p' deploy/balancer.toml)"

.ci-venv/done: pyproject.toml
	$(PYTHON) -m venv .ci-venv
	$(TOOLS)/pip -q install --disable-pip-version-check -e .[dev]
	touch $@

test: .ci-venv/done
	$(TOOLS)/python -m unittest discover -s tests -t .

lint: .ci-venv/done
	$(TOOLS)/ruff check .
	$(TOOLS)/ruff format --check .
	$(TOOLS)/mypy
	$(TOOLS)/lint-imports --no-cache

# Needs GW_CONFIG to name a configuration file; README.md shows one.
run: build
	sh -c "$$(sed -n 's/^run = "\(.*\)"/\1/p' deploy/balancer.toml)"

clean:
	rm -rf .venv .ci-venv
