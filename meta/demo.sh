#!/usr/bin/env bash
# Builds the programs, starts a small deployment on loopback, sends one call of each kind, takes a
# zone out and back with the operator tool, and stops everything again, also when interrupted.
set -eu
source_directory=$(cd "$(dirname "$0")/.." && pwd)
build=${BUILD_DIRECTORY:-$source_directory/build}
[ -n "${JASMINEPIER_SKIP_BUILD:-}" ] || { cmake -S "$source_directory" -B "$build" -G Ninja >/dev/null && ninja -C "$build" >/dev/null; }
host=${DEMO_HOST:-127.0.0.1}
base_port=${BASE_PORT:-17000}
log_directory=$(mktemp -d)
pids=()
stop_all() {
    # Ignores further interrupts, so that the cleanup completes.
    trap '' INT TERM
    for pid in "${pids[@]}"; do kill -TERM "$pid" 2>/dev/null || true; done
    # Entry processes drain for as long as callers cache addresses; the demo does not wait for the drain.
    for _ in $(seq 20); do
        running=0
        for pid in "${pids[@]}"; do kill -0 "$pid" 2>/dev/null && running=1; done
        [ "$running" = 0 ] && break
        sleep 0.1
    done
    for pid in "${pids[@]}"; do kill -KILL "$pid" 2>/dev/null || true; wait "$pid" 2>/dev/null || true; done
    rm -rf "$log_directory"
}
trap stop_all EXIT
trap 'exit 130' INT
trap 'exit 143' TERM
start() { local name=$1; shift; "$@" >"$log_directory/$name.log" 2>&1 & pids+=($!); }
ctl() { "$build/jasminepierctl" --platform-host "$host" --platform-port "$base_port" "$@"; }
put() { printf '%s' "$3" | ctl put "$1" "$2" >/dev/null; }
# Prints a command and executes it.
show() { echo "\$ jasminepierctl $*"; ctl "$@"; }
version() { sed -n 's/.*at version \([0-9]*\)$/\1/p'; }

start platform "$build/stand-in-platform" --host "$host" --port "$base_port"
for i in 1 2 3; do
    start "engine-$i" "$build/stand-in-engine" --host "$host" --port $((base_port + 100 + i))
    start "service-$i" "$build/stand-in-service" --host "$host" --port $((base_port + 200 + i))
done
for _ in $(seq 50); do curl -sf "http://$host:$base_port/objects/zone" >/dev/null && break; sleep 0.1; done

api_key_digest=$("$build/jasminepierctl" key-digest demo-key)
put service assistant '{"type":"model","models":["demo"]}'
put service shop '{"type":"plain","non_repeatable_prefixes":["/orders"]}'
put secret event-id '{"key":"0123456789abcdef0123456789abcdef"}'
zones=(zone-a zone-b zone-c)
for i in 1 2 3; do
    zone=${zones[$((i - 1))]}
    put zone "$zone" '{"region":"local","state":"in_service"}'
    put server "engine-$i" "{\"service\":\"assistant\",\"zone\":\"$zone\",\"host\":\"$host\",\"port\":$((base_port + 100 + i))}"
    put server "shop-$i" "{\"service\":\"shop\",\"zone\":\"$zone\",\"host\":\"$host\",\"port\":$((base_port + 200 + i))}"
    put node "node-$i" "{\"zone\":\"$zone\",\"host\":\"$host\",\"gossip_port\":$((base_port + 300 + i)),\"control_port\":$((base_port + 400 + i)),\"entry_port\":$((base_port + 500 + i)),\"entry_peer_port\":$((base_port + 600 + i))}"
done
echo "== a customer and the example presets"
show customer create demo --key-digest "$api_key_digest"
for preset in ordinary peak maintenance; do
    show preset create "$preset" --file "$source_directory/docs/presets/$preset.json"
done
show preset activate ordinary
for i in 1 2 3; do
    start "control-$i" "$build/jasminepier-control" --node-id "node-$i" --zone "${zones[$((i - 1))]}" --host "$host" --gossip-port $((base_port + 300 + i)) --control-port $((base_port + 400 + i)) --entry-port $((base_port + 500 + i)) --entry-peer-port $((base_port + 600 + i)) --seeds "$host:$((base_port + 301)),$host:$((base_port + 302))" --metrics-port $((base_port + 700 + i)) --platform-host "$host" --platform-port "$base_port"
    start "entry-$i" "$build/jasminepier-entry" --host "$host" --entry-port $((base_port + 500 + i)) --control-port $((base_port + 400 + i)) --entry-peer-port $((base_port + 600 + i)) --node-id "node-$i" --platform-host "$host" --platform-port "$base_port"
done
for i in 1 2 3; do
    for _ in $(seq 100); do curl -sf "http://$host:$((base_port + 500 + i))/ready" >/dev/null && break; sleep 0.1; done
done

entry="http://$host:$((base_port + 501))"
authorization="Authorization: Bearer demo-key"
send_question() {
    curl -s -D "$log_directory/headers" -H "$authorization" "$entry/v1/chat/completions" \
        -d '{"model":"demo","messages":[{"role":"user","content":"Which screws? tokens=8"}]}'
    echo
}
echo "== addresses of the entry VMs"; curl -s "$entry/v1/entry-addresses"; echo
echo "== streamed proposal (last events)"
curl -sN -H "$authorization" -H 'Jasminepier-Work-Kind: proposal' "$entry/v1/chat/completions" \
    -d '{"model":"demo","stream":true,"messages":[{"role":"user","content":"Design a pergola. tokens=40"}]}' | tail -6
echo "== short question"; send_question
echo "== record of its routing decision"
show --api-key demo-key request show "$(sed -n 's/^X-Request-Id: \([0-9a-f-]*\).*/\1/p' "$log_directory/headers")"
echo "== stock check"; curl -s -H "$authorization" "$entry/v1/services/shop/stock/beam-14"; echo
echo "== one order, sent twice through two entry VMs with the same key"
for i in 1 2; do
    curl -s -H "$authorization" -H 'Idempotency-Key: order-4711' "http://$host:$((base_port + 500 + i))/v1/services/shop/orders" -d '{"part":"beam-14"}'; echo
done
echo "== executions counted by the service"
for i in 1 2 3; do curl -s "http://$host:$((base_port + 200 + i))/stand-in/count"; echo; done
echo "== entry VMs and backend servers"; show node list; show server list
echo "== zone-a out of service, a question meanwhile, and back"
show zone out zone-a | tee "$log_directory/out"
show wait --revision "$(version <"$log_directory/out")" --timeout-seconds 20
send_question
show zone in zone-a
echo "== the peak preset; a second operator who saw an older version is refused"
show preset activate peak
show preset activate maintenance --if-version 1 || echo "exit status $?"
show preset list
echo "== metrics of one entry process (extract)"
curl -s "$entry/metrics" | grep -E '^jasminepier_(requests_total|time_to_first_token_seconds_(sum|count))' || true
echo "== decision log"; grep -h 'event=route' "$log_directory"/entry-*.log || true
