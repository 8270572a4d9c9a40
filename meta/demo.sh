#!/usr/bin/env bash
# Builds the programs, starts a small deployment on loopback, sends one call of each kind and stops
# everything again.
set -eu
top=$(cd "$(dirname "$0")/.." && pwd)
build=${BUILD_DIRECTORY:-$top/build}
[ -n "${JASMINEPIER_SKIP_BUILD:-}" ] || { cmake -S "$top" -B "$build" -G Ninja >/dev/null && ninja -C "$build" >/dev/null; }
base=${BASE_PORT:-17000}
logs=$(mktemp -d)
pids=()
stop_all() {
    # Entry processes first, so that they can finish their streams; each is given time to drain.
    for pid in "${pids[@]}"; do kill -TERM "$pid" 2>/dev/null || true; done
    for pid in "${pids[@]}"; do
        for _ in $(seq 50); do kill -0 "$pid" 2>/dev/null || break; sleep 0.1; done
        kill -KILL "$pid" 2>/dev/null || true
        wait "$pid" 2>/dev/null || true
    done
    rm -rf "$logs"
}
trap stop_all EXIT
start() { local name=$1; shift; "$@" >"$logs/$name.log" 2>&1 & pids+=($!); }
put() { printf '%s' "$3" | "$build/jasminepierctl" --platform-port "$base" put "$1" "$2" >/dev/null; }

start platform "$build/stand-in-platform" --port "$base"
for i in 1 2 3; do
    start "engine-$i" "$build/stand-in-engine" --port $((base + 100 + i))
    start "service-$i" "$build/stand-in-service" --port $((base + 200 + i))
done
for _ in $(seq 50); do curl -sf "http://127.0.0.1:$base/objects/zone" >/dev/null && break; sleep 0.1; done

digest=$("$build/jasminepierctl" key-digest demo-key)
put customer demo "{\"api_key_sha256\":\"$digest\",\"default_work_kind\":\"question\"}"
put service assistant '{"type":"model","models":["demo"]}'
put service shop '{"type":"plain","non_repeatable_prefixes":["/orders"]}'
put secret event-id '{"key":"0123456789abcdef0123456789abcdef"}'
zones=(zone-a zone-b zone-c)
for i in 1 2 3; do
    zone=${zones[$((i - 1))]}
    put zone "$zone" '{"region":"local","state":"in_service"}'
    put server "engine-$i" "{\"service\":\"assistant\",\"zone\":\"$zone\",\"host\":\"127.0.0.1\",\"port\":$((base + 100 + i))}"
    put server "shop-$i" "{\"service\":\"shop\",\"zone\":\"$zone\",\"host\":\"127.0.0.1\",\"port\":$((base + 200 + i))}"
    put node "node-$i" "{\"zone\":\"$zone\",\"host\":\"127.0.0.1\",\"gossip_port\":$((base + 300 + i)),\"control_port\":$((base + 400 + i)),\"entry_port\":$((base + 500 + i)),\"entry_peer_port\":$((base + 600 + i))}"
done
for i in 1 2 3; do
    start "control-$i" "$build/jasminepier-control" --node-id "node-$i" --zone "${zones[$((i - 1))]}" --gossip-port $((base + 300 + i)) --control-port $((base + 400 + i)) --entry-port $((base + 500 + i)) --entry-peer-port $((base + 600 + i)) --seeds "127.0.0.1:$((base + 301)),127.0.0.1:$((base + 302))" --platform-port "$base"
    start "entry-$i" "$build/jasminepier-entry" --entry-port $((base + 500 + i)) --control-port $((base + 400 + i))
done
for i in 1 2 3; do
    for _ in $(seq 100); do curl -sf "http://127.0.0.1:$((base + 500 + i))/ready" >/dev/null && break; sleep 0.1; done
done

entry="http://127.0.0.1:$((base + 501))"
authorization="Authorization: Bearer demo-key"
echo "== addresses of the entry VMs"; curl -s "$entry/v1/entry-addresses"; echo
echo "== streamed proposal (last events)"
curl -sN -H "$authorization" -H 'Jasminepier-Work-Kind: proposal' "$entry/v1/chat/completions" \
    -d '{"model":"demo","stream":true,"messages":[{"role":"user","content":"Design a pergola. tokens=40"}]}' | tail -6
echo "== short question"
curl -s -H "$authorization" "$entry/v1/chat/completions" \
    -d '{"model":"demo","messages":[{"role":"user","content":"Which screws? tokens=8"}]}'; echo
echo "== stock check"; curl -s -H "$authorization" "$entry/v1/services/shop/stock/beam-14"; echo
echo "== one order, sent twice through two entry VMs with the same key"
for i in 1 2; do
    curl -s -H "$authorization" -H 'Idempotency-Key: order-4711' "http://127.0.0.1:$((base + 500 + i))/v1/services/shop/orders" -d '{"part":"beam-14"}'; echo
done
echo "== executions counted by the service"
for i in 1 2 3; do curl -s "http://127.0.0.1:$((base + 200 + i))/stand-in/count"; echo; done
echo "== decision log"; grep -h 'event=route' "$logs"/entry-*.log || true
