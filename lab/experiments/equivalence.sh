#!/usr/bin/env bash
# Whether two builds decide alike: equivalence.sh BEFORE AFTER [SEEDS [JOBS]]. BEFORE and AFTER are build folders
# with the lab. Plays every scenario of the decision core and of the cores under src/fleet in virtual time on both
# builds and compares a hash of every event and all its actions; of the first run that differs it prints the first
# event that was decided otherwise. Exit code 0: all alike; 1: a difference; 2: a program failed.
set -euo pipefail
before=$1/equivalence after=$2/equivalence seeds=${3:-10} jobs=${4:-$(nproc)}
scratch=$(mktemp -d)
trap 'rm -rf "$scratch"' EXIT
runs=0 events=0
for program in "$before"/equivalence_*; do
    name=$(basename "$program")
    "$program" hash "$seeds" "$jobs" >"$scratch/before" || exit 2
    "$after/$name" hash "$seeds" "$jobs" >"$scratch/after" || exit 2
    if ! cmp -s "$scratch/before" "$scratch/after"; then
        read -r scenario seed _ < <(diff "$scratch/before" "$scratch/after" | sed -n 's/^[<>] //p')
        "$program" trace "$scenario" "$seed" "$scratch/trace_before" || exit 2
        "$after/$name" trace "$scenario" "$seed" "$scratch/trace_after" || exit 2
        echo "$name: scenario $scenario, seed $seed differs; the first decision that does (before, after):"
        diff "$scratch/trace_before" "$scratch/trace_after" | sed -n '2p;/^>/{p;q}' | cut -c1-2000
        echo "$(diff "$scratch/before" "$scratch/after" | grep -c '^<') of $(wc -l <"$scratch/before") runs differ"
        exit 1
    fi
    runs=$((runs + $(wc -l <"$scratch/before")))
    events=$((events + $(awk '{ n += $3 } END { print n }' "$scratch/before")))
    echo "$name: $(wc -l <"$scratch/before") runs alike, $(awk '{ n += $3 } END { print n }' "$scratch/before") events"
done
[ "$runs" -gt 0 ] || { echo "no programs in $before"; exit 2; }
echo "alike: $runs runs, $events events"
