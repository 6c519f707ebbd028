# VENV may name an existing environment with the dependencies installed; only
# the default one is created here.
VENV ?= .venv
PY := PYTHONPATH=src $(VENV)/bin/python
SOURCES := src tests features scripts deploy

.PHONY: demo test lint format unit behave bench soak soak-faults

ifeq ($(origin VENV),file)
$(VENV)/.installed: pyproject.toml constraints.txt
	python3 -m venv $(VENV)
	$(VENV)/bin/pip install -q -c constraints.txt -e '.[dev]'
	touch $@
endif

demo: $(VENV)/.installed
	$(PY) -m bramleydyke.demo
	$(PY) -m bramleydyke.demo.direct

test: lint
	$(MAKE) -j2 --output-sync=target unit behave

lint: $(VENV)/.installed
	$(VENV)/bin/ruff format --check $(SOURCES)
	$(VENV)/bin/ruff check $(SOURCES)

format: $(VENV)/.installed
	$(VENV)/bin/ruff format $(SOURCES)
	$(VENV)/bin/ruff check --fix $(SOURCES)

unit: $(VENV)/.installed
	$(PY) -m pytest

behave: $(VENV)/.installed
	$(PY) -m behave --no-capture --format progress features

bench: $(VENV)/.installed
	$(PY) -m bramleydyke.bench

soak: $(VENV)/.installed
	HISTORIES=$${HISTORIES:-50000} $(PY) -m pytest tests/history
	MAX_STATES=$${MAX_STATES:-50000} $(PY) -m pytest tests/interleavings

soak-faults: $(VENV)/.installed
	$(PY) tests/soak/soak.py --seed $${SEED:-1} --runs $${RUNS:-50} --jobs $${JOBS:-4}
