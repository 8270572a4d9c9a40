#!/usr/bin/env bash
# Measures processor time and memory of real control processes: N nodes (default 8) and M stand-in
# engines (default 12) on one loopback address, over 20 seconds of steady state.
set -eu
build=${BUILD_DIRECTORY:-build}
nodes=${1:-8}
engines=${2:-12}
host=127.0.21.1
pids=()
trap 'for pid in "${pids[@]}"; do kill -KILL "$pid" 2>/dev/null || true; done' EXIT
run() { "$@" >/dev/null 2>&1 & pids+=($!); }
put() { printf '%s' "$3" | "$build/jasminepierctl" --platform-host "$host" --platform-port 9000 put "$1" "$2" >/dev/null; }
run "$build/stand-in-platform" --host "$host" --port 9000
sleep 0.5
put zone zone-a '{"region":"local","state":"in_service"}'
put service assistant '{"type":"model","models":["demo"]}'
for i in $(seq "$engines"); do
    run "$build/stand-in-engine" --host "$host" --port $((9100 + i))
    put server "engine-$i" "{\"service\":\"assistant\",\"zone\":\"zone-a\",\"host\":\"$host\",\"port\":$((9100 + i))}"
done
control_pids=()
for i in $(seq "$nodes"); do
    run "$build/jasminepier-control" --node-id "node-$i" --host "$host" --gossip-port $((20000 + i)) --control-port $((21000 + i)) --entry-port $((22000 + i)) --entry-peer-port $((23000 + i)) --seeds "$host:20001,$host:20002" --platform-host "$host" --platform-port 9000
    control_pids+=($!)
    run "$build/jasminepier-entry" --node-id "node-$i" --host "$host" --control-port $((21000 + i)) --entry-port $((22000 + i)) --entry-peer-port $((23000 + i)) --platform-host "$host" --platform-port 9000
done
sleep 15
processor_ticks() { local sum=0 t; for pid in "${control_pids[@]}"; do t=$(awk '{print $14 + $15}' "/proc/$pid/stat"); sum=$((sum + t)); done; echo "$sum"; }
ticks_before=$(processor_ticks)
sleep 20
ticks_after=$(processor_ticks)
maximum_resident_kilobytes=$(for pid in "${control_pids[@]}"; do awk '/VmRSS/{print $2}' "/proc/$pid/status"; done | sort -n | tail -1)
awk -v t=$((ticks_after - ticks_before)) -v n="$nodes" -v hz="$(getconf CLK_TCK)" -v m="$maximum_resident_kilobytes" \
    'BEGIN { printf "nodes=%d control_percent_of_core=%.2f largest_resident_megabytes=%.1f\n", n, 100 * t / hz / 20 / n, m / 1000 }'
