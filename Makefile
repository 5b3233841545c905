.PHONY: build test lint run
build:
	cargo build --release --locked
test:
	.ci/known-red KNOWN-RED.txt cargo test --workspace --locked
lint:
	cargo fmt --all --check
	cargo clippy --workspace --all-targets --locked -- -D warnings
# The platform's variables (GW_CONFIG and the others) tell the program what it needs.
run: build
	exec target/release/onyxrock serve
