#!/usr/bin/env bash
# Builds the harnesses with clang's libFuzzer and sanitizers, and runs each for FUZZ_SECONDS with the
# seed FUZZ_SEED. A failing input is stored in fuzz/corpus/NAME; commit it with the fix.
set -eu
cd "$(dirname "$0")/.."
build=${BUILD_DIRECTORY:-build-fuzz}
seconds=${FUZZ_SECONDS:-30}
seed=${FUZZ_SEED:-20261204}
# Thrift's generated code casts any integer to an enumeration. The compilers in use give such a value
# no special meaning (-fstrict-enums is off), and readers check the range, so this check is left out.
sanitizers="-fsanitize=address,undefined,fuzzer-no-link -fno-sanitize=enum -fno-sanitize-recover=undefined -fno-omit-frame-pointer"
cmake -S . -B "$build" -G Ninja -DCMAKE_CXX_COMPILER=clang++ -DCMAKE_BUILD_TYPE=RelWithDebInfo \
    -DJASMINEPIER_LIBFUZZER=ON -DCMAKE_CXX_FLAGS="$sanitizers" >/dev/null
targets=$(cd fuzz && ls -- *.cpp | sed -e '/^replay.cpp$/d' -e 's/\.cpp$//')
log=$(mktemp)
ninja -C "$build" -j "${FUZZ_JOBS:-4}" $(printf 'fuzz_%s ' $targets) >"$log" || { cat "$log"; rm -f "$log"; exit 1; }
rm -f "$log"
status=0
for name in $targets; do
    found=$(mktemp -d)
    # New inputs go to a temporary folder: the committed corpus stays small.
    if "$build/fuzz/fuzz_$name" -seed="$seed" -max_total_time="$seconds" -max_len=4096 -timeout=10 \
        -rss_limit_mb=2048 -artifact_prefix="fuzz/corpus/$name/failed-" \
        "$found" "fuzz/corpus/$name" >"$found.log" 2>&1; then
        echo "$name: $(grep -E '^Done' "$found.log" || tail -n 1 "$found.log")"
    else
        echo "$name: FAILED"; tail -n 40 "$found.log"; status=1
    fi
    rm -rf "$found" "$found.log"
done
exit $status
