#!/usr/bin/env bash
# Builds the harnesses with clang's libFuzzer and sanitizers, and runs each for FUZZ_SECONDS with the
# seed FUZZ_SEED. A failing input is stored in fuzz/corpus/NAME; commit it with the fix.
set -eu
cd "$(dirname "$0")/.."
build=${BUILD_DIRECTORY:-build-fuzz}
seconds=${FUZZ_SECONDS:-30}
seed=${FUZZ_SEED:-20261204}
# Thrift's generated code casts any integer to an enumeration. The compilers in use give a value
# that is out of range no special meaning (-fstrict-enums is off), and all readers check the range, so
# this sanitizer is disabled.
sanitizers="-fsanitize=address,undefined,fuzzer-no-link -fno-sanitize=enum -fno-sanitize-recover=undefined -fno-omit-frame-pointer"
cmake -S . -B "$build" -G Ninja -DCMAKE_CXX_COMPILER=clang++ -DCMAKE_BUILD_TYPE=RelWithDebInfo \
    -DJASMINEPIER_LIBFUZZER=ON -DCMAKE_CXX_FLAGS="$sanitizers" >/dev/null
targets=$(cd fuzz && ls -- *.cpp | sed -e '/^replay.cpp$/d' -e 's/\.cpp$//')
build_log=$(mktemp)
ninja -C "$build" -j "${FUZZ_JOBS:-4}" $(printf 'fuzz_%s ' $targets) >"$build_log" || { cat "$build_log"; rm -f "$build_log"; exit 1; }
rm -f "$build_log"
status=0
for name in $targets; do
    new_inputs=$(mktemp -d)
    # New inputs go to a temporary directory, which keeps the committed corpus small.
    if "$build/fuzz/fuzz_$name" -seed="$seed" -max_total_time="$seconds" -max_len=4096 -timeout=10 \
        -rss_limit_mb=2048 -artifact_prefix="fuzz/corpus/$name/failed-" \
        "$new_inputs" "fuzz/corpus/$name" >"$new_inputs.log" 2>&1; then
        echo "$name: $(grep -E '^Done' "$new_inputs.log" || tail -n 1 "$new_inputs.log")"
    else
        echo "$name: FAILED"; tail -n 40 "$new_inputs.log"; status=1
    fi
    rm -rf "$new_inputs" "$new_inputs.log"
done
exit $status
