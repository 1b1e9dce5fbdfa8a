# The two commands of the README are `make demo` and `make test`; each sets up
# the virtual environment it needs.

PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
READY := $(VENV)/.ready
PATHS := packages tests benchmarks platform
export PYTHONPATH := benchmarks
export PYTHONHASHSEED := 0

.PHONY: demo test lint format bench soak clean

$(READY): constraints.txt packages/endivestream/pyproject.toml packages/endivestream-cli/pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/python -m pip install --quiet --disable-pip-version-check \
	  -c constraints.txt setuptools hypothesis ruff rope hdrhistogram
	$(BIN)/python -m pip install --quiet --disable-pip-version-check \
	  --no-build-isolation -c constraints.txt \
	  -e packages/endivestream -e packages/endivestream-cli
	touch $(READY)

demo: $(READY)
	$(BIN)/python benchmarks/demo.py

test: $(READY)
	$(BIN)/python -m tests

lint: $(READY)
	$(BIN)/ruff format --check $(PATHS)
	$(BIN)/ruff check $(PATHS)

format: $(READY)
	$(BIN)/ruff format $(PATHS)
	$(BIN)/ruff check --fix $(PATHS)

bench: $(READY)
	$(BIN)/python -m capacity --output benchmarks/results/latest.json

soak: $(READY)
	$(BIN)/python -m soak 0 50
	$(BIN)/python -m soak.processes --seeds 50
	$(BIN)/python -m soak.cuts --seeds 50 --entries 4
	$(BIN)/python -m soak.versions --seeds 50
	$(BIN)/python -m soak.crashes --seeds 50
	$(BIN)/python -m soak.one_request --seeds 50
	$(BIN)/python -m soak.departures --seeds 50
	$(BIN)/python -m soak.uneven_hosts 50
	$(BIN)/python -m soak.slow_readers --seeds 50
	$(BIN)/python -m soak.target_memory --seeds 50
	$(BIN)/python -m soak.placement 0 16
	$(BIN)/python -m soak.hedging --seeds 50
	$(BIN)/python -m soak.waiting --seeds 50

clean:
	rm -rf $(VENV)
