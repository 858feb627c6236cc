#!/usr/bin/env bash
# Measures the path with each part in a process of its own: stand-ins, one node and the callers.
# Arguments are passed to `fescuelock-load run path`. Ports 7100 to 7499 and 19001 to 19006 of
# loopback must be free.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --locked --quiet

work=$(mktemp -d)
pids=()
stop() {
    kill "${pids[@]}" 2>/dev/null || true
    wait 2>/dev/null || true
    rm -rf "$work"
}
trap stop EXIT

bin=target/release
"$bin/fescuelock-load" sample-rules >"$work/sample.rules"
"$bin/fescuelock-standin" --rules "$work/sample.rules" --first-token-ms 0 --token-gap-ms 0 \
    --vm node-1=127.0.0.1:7201 >"$work/standin.log" &
pids+=($!)
sed 's/^zone = .*/zone = zone-0/' examples/settings/node-1.ini >"$work/node.ini"
TOKIO_WORKER_THREADS=4 "$bin/fescuelockd" --settings "$work/node.ini" 2>"$work/node.log" &
pids+=($!)
sleep 1
"$bin/fescuelock" rules apply --wait "$work/sample.rules" >"$work/apply.log"
"$bin/fescuelock-load" run path --node-callers 127.0.0.1:7101 --node-operators 127.0.0.1:7201 \
    --engine 127.0.0.1:19001 "$@"
"$bin/fescuelock" bills
