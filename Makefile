# On a fresh clone each of these works alone.
PYTHON = .venv/bin/python

.PHONY: all demo group-demo scale lint test clean

all: .venv/rehearsal.txt

# What serve needs comes with deploy/build, which makes .venv anew for other pins; all else on top of it.
.venv/rehearsal.txt: requirements.txt requirements-rehearsal.txt deploy/build
	sh deploy/build
	$(PYTHON) -m pip -q install -r requirements-rehearsal.txt
	cp requirements-rehearsal.txt $@

demo: all
	$(PYTHON) -m pepperusher rehearse examples/rehearsals/demo.toml --report demo.html

group-demo: all
	$(PYTHON) -m pepperusher rehearse examples/rehearsals/group-demo.toml --report group-demo.html

# 5,000 hollow proxies and 9 control machines on this machine, all scenes: minutes, some 5 GB and every core.
scale: all
	$(PYTHON) -m pepperusher capacity scene --size 5000 --controls 9 --seed 1

# The format, and the rules that find names which do not resolve (pyproject.toml).
lint: all
	.venv/bin/ruff format --check -q .
	.venv/bin/ruff check -q .

# They mostly wait: half as many again as eight cores.
test: all
	$(PYTHON) -m pytest -q -n 12 --dist worksteal -p no:cacheprovider tests

clean:
	rm -rf .venv demo.html group-demo.html
