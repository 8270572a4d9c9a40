#!/usr/bin/env bash
# Plays the fault soak: `meta/soak.sh FIRST LAST [JOBS]` for a range of seeds, `meta/soak.sh fresh
# COUNT [JOBS]` for seeds that are drawn now, `meta/soak.sh regression [JOBS]` for all that failed
# once. Keeps the records of a failed seed in build/soak/SEED.
set -eu
cd "$(dirname "$0")/.."
build=${BUILD_DIRECTORY:-build}
case ${1:-} in
regression)
    seeds=$(sed -n 's/^\([0-9]\+\) .*/\1/p' tests/soak/regression_seeds.txt)
    jobs=${2:-2}
    ;;
fresh)
    seeds=$(for _ in $(seq "$2"); do echo $((RANDOM * 32768 + RANDOM)); done)
    jobs=${3:-2}
    ;;
*)
    seeds=$(seq "${1:?first seed}" "${2:?last seed}")
    jobs=${3:-2}
    ;;
esac

play() {
    # Seeds that run at the same time use ports of their own.
    local seed=$1 place=$2 folder="$build/soak/$1"
    mkdir -p "$folder"
    if "$build/tests/soak/fault-soak" --seed "$seed" --first-port $((25000 + 700 * (place % 8))) \
        --keep "$folder" >"$folder/output.txt" 2>&1; then
        echo "seed $seed passed: $(tail -n 1 "$folder/output.txt")"
        rm -r "$folder"
    else
        echo "seed $seed FAILED: $(grep -m 3 BROKEN "$folder/output.txt" || tail -n 1 "$folder/output.txt")"
        return 1
    fi
}
export -f play
export build
printf '%s\n' "$seeds" | awk '{ print $1, NR }' | xargs -P "$jobs" -L 1 bash -c 'play "$0" "$1"'
