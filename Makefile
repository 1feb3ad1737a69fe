PYTHON ?= python3
BIN := .venv/bin
PACKAGES := $(sort $(wildcard packages/*/pyproject.toml)) platform/pyproject.toml
ARGS ?=

.PHONY: setup demo test bench-marks lint format scenarios docs soak clean

setup: .venv/.ready

# Hatchling comes first so that the workspace builds without a second download.
.venv/.ready: constraints.txt requirements-dev.txt $(PACKAGES)
	test -x $(BIN)/python || $(PYTHON) -m venv .venv
	$(BIN)/pip install -q -c constraints.txt -r requirements-dev.txt
	$(BIN)/pip install -q -c constraints.txt --no-build-isolation \
		$(foreach package,$(PACKAGES),-e $(dir $(package)))
	touch $@

demo: setup
	@$(BIN)/cornelspan demo $(ARGS)

test: setup
	$(BIN)/pytest $(ARGS)

lint: setup
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .
	$(BIN)/lint-imports

format: setup
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .

scenarios: setup
	$(BIN)/cornelspan scenario run scenarios $(ARGS)

docs: setup
	$(BIN)/python -m cornelspan_cli.settings_page > docs/SETTINGS.md
	$(BIN)/python tools/import_diagram.py > docs/PACKAGES.md

soak: setup
	$(BIN)/pytest -m soak $(ARGS)

clean:
	rm -rf .venv .pytest_cache .ruff_cache
