# Two commands do all set-up on a fresh Debian machine.
.PHONY: demo test build packages format lint sanitize

build/packages.stamp: tools/packages.sh
	bash tools/packages.sh
	mkdir -p build && touch $@

build: build/packages.stamp
	cmake --preset release >/dev/null
	cmake --build --preset release

test: build
	bash tools/known_red.sh
	ctest --test-dir build/release --output-on-failure -j 2

demo: build
	build/release/bin/gcw-lab run scenarios/demo.json --seed 1

format: build/packages.stamp
	bash tools/format.sh --check

lint: build/packages.stamp
	cmake --preset release >/dev/null
	bash tools/lint.sh

sanitize: build/packages.stamp
	bash tools/sanitize.sh
