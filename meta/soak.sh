#!/usr/bin/env bash
# Runs the fault soak: `meta/soak.sh FIRST LAST [JOBS]` for a range of seeds, `meta/soak.sh fresh
# COUNT [JOBS]` for random seeds, `meta/soak.sh regression [JOBS]` for all that failed before.
# `meta/soak.sh planned FIRST LAST [JOBS]` plays planned work only, `meta/soak.sh overlapping FIRST
# LAST [JOBS]` overlapping changes in a large fleet. Both also take `fresh COUNT` and `regression`.
# Keeps the logs of a failed seed in build/soak/SEED, or in planned-SEED and overlapping-SEED there.
# SOAK_OPTIONS are further options of the driver.
set -eu
cd "$(dirname "$0")/.."
build=${BUILD_DIRECTORY:-build}
soak_options=${SOAK_OPTIONS:-}
directory_prefix=
mode=
if [ "${1:-}" = planned ]; then
    soak_options="$soak_options --planned-work"
    directory_prefix=planned-
    mode="planned "
    shift
fi
if [ "${1:-}" = overlapping ]; then
    soak_options="$soak_options --overlapping-changes"
    directory_prefix=overlapping-
    mode="overlapping "
    shift
fi
case ${1:-} in
regression)
    seeds=$(sed -n "s/^$mode\([0-9]\+\) .*/\1/p" tests/soak/regression_seeds.txt)
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

run_seed() {
    local seed=$1 seed_directory="$build/soak/$directory_prefix$1"
    mkdir -p "$seed_directory"
    if "$build/tests/soak/fault-soak" $soak_options --seed "$seed" --keep "$seed_directory" \
        >"$seed_directory/output.txt" 2>&1; then
        echo "seed $seed passed: $(tail -n 1 "$seed_directory/output.txt")"
        rm -r "$seed_directory"
    else
        echo "seed $seed FAILED: $(grep -m 3 BROKEN "$seed_directory/output.txt" || tail -n 1 "$seed_directory/output.txt")"
        return 1
    fi
}
export -f run_seed
export build soak_options directory_prefix
printf '%s\n' "$seeds" | xargs -P "$jobs" -L 1 bash -c 'run_seed "$0"'
