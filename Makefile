# Tasks of the repository. CONFIG names the configuration that `make run` starts with.
CONFIG ?= deploy/example-config.json

.PHONY: build test lint run sites fleet measure-held measure-cores measure-room measure-handover measure-store measure-peers

# The day that `make fleet` plays.
DAY ?= fault-injection/days/lesson.kdl

build:
	cargo build --release --locked

test:
	.ci/test
	cargo test -p reedwalk-multicore --features loom --locked

lint:
	cargo fmt --all -- --check
	cargo clippy --workspace --all-targets --locked -- -D warnings
	RUSTDOCFLAGS='-D warnings' cargo doc --workspace --no-deps --locked

run: build
	target/release/reedwalk serve --config $(CONFIG)

# Lays beside our own deployments what the bench wants there. The kit is not part of the repository.
KIT ?= ../given/kit
sites:
	@if [ -d $(KIT)/sites ]; then \
		install -m 644 $(addprefix $(KIT)/sites/,real.json wire.json unlock.txt) deploy/sites/ && \
		echo 'deploy/sites: ready to be played'; \
	else \
		echo 'deploy/sites: the kit is not at $(KIT): these deployments can not be played here' >&2; exit 1; \
	fi

# What a request costs the decision module while others are held: rows for 10, 100 and 1,000.
measure-held: build
	cargo run --release --locked --example held
	cargo run --release --locked -p reedwalk-benchmarks --bin measure-held

# The gain of several cores and what is lost in judgement; some minutes, best alone on the machine.
measure-cores: build
	cargo run --release --locked -p reedwalk-benchmarks --bin measure-cores

# Memory that a front end holds for each who connects and asks nothing.
measure-room: build
	cargo run --release --locked -p reedwalk-benchmarks --bin measure-room

# What clients meet while one process takes over from another, 25 times under load; some 40 s.
measure-handover: build
	cargo run --release --locked -p reedwalk-benchmarks --bin measure-handover

# One day of a fleet of real processes: a table, what struck, and charts in target/fleet.
fleet: build
	cargo run --release --locked -p reedwalk-fault-injection --bin reedwalk-fleet -- $(DAY)

# What it is worth that front ends know each other, at 20, 100 and 300 of them; some 10 minutes, alone on the machine.
measure-peers: build
	cargo run --release --locked -p reedwalk-benchmarks --bin measure-peers

# What a shared store adds to a request, and what it costs when it fails; some 5 minutes.
measure-store: build
	cargo run --release --locked -p reedwalk-benchmarks --bin measure-store
