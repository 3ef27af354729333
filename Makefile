# Tasks of the repository. CONFIG is the configuration that `make run` starts with.
CONFIG ?= deploy/example-config.json

.PHONY: build test lint run sites scenario measure-held measure-cores measure-room measure-handover measure-store measure-peers

# The scenario that `make scenario` runs.
SCENARIO ?= fault-injection/scenarios/failing_engine.kdl

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

# Copies the bench's files beside the deployments in deploy/sites. The kit is not part of the repository.
KIT ?= ../given/kit
sites:
	@if [ -d $(KIT)/sites ]; then \
		install -m 644 $(addprefix $(KIT)/sites/,real.json wire.json unlock.txt) deploy/sites/ && \
		echo 'deploy/sites: ready to be played'; \
	else \
		echo 'deploy/sites: the kit is not at $(KIT): these deployments can not be played here' >&2; exit 1; \
	fi

# CPU time of a request in the scheduler while 10, 100 and 1,000 others are queued.
measure-held: build
	cargo run --release --locked --example held
	cargo run --release --locked -p reedwalk-benchmarks --bin measure-held

# Throughput gained by several cores, and decision quality lost; takes some minutes, best alone on the machine.
measure-cores: build
	cargo run --release --locked -p reedwalk-benchmarks --bin measure-cores

# Memory that a gateway holds for each client that connects and sends no request.
measure-room: build
	cargo run --release --locked -p reedwalk-benchmarks --bin measure-room

# What clients observe during 25 hot restarts under load; takes some 40 s.
measure-handover: build
	cargo run --release --locked -p reedwalk-benchmarks --bin measure-handover

# Runs one fault-injection scenario with real processes: a table, the faults that took effect, charts in target/scenarios.
scenario: build
	cargo run --release --locked -p reedwalk-fault-injection --bin run-scenario -- $(SCENARIO)

# What gossip gains, at 20, 100 and 300 gateways; takes some 10 minutes, alone on the machine.
measure-peers: build
	cargo run --release --locked -p reedwalk-benchmarks --bin measure-peers

# Latency that the shared store adds to a request, healthy and failing; takes some 5 minutes.
measure-store: build
	cargo run --release --locked -p reedwalk-benchmarks --bin measure-store
