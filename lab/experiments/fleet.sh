#!/usr/bin/env bash
# The fleet's scenarios on real processes and in virtual time, the same seeds in both: fleet.sh BUILD [SEEDS [AT_ONCE [SCENARIO...]]]
# Rigs run side by side, each with addresses of its own. Figures of each world, then pages under BUILD/fleet.
set -uo pipefail
build=$1 seeds=${2:-20} at_once=${3:-6}
shift $(($# < 3 ? $# : 3))
scenarios=("$@")
[ ${#scenarios[@]} -gt 0 ] || scenarios=(kill trouble pause halves unheard deaf)
out=$build/fleet
mkdir -p "$out"
for scenario in "${scenarios[@]}"; do
    for seed in $(seq 1 "$seeds"); do echo "$scenario $seed"; done
done | xargs -P "$at_once" -L 1 bash -c \
    '"$0/ochrehub_lab" fleet "$1" --seed "$2" --quiet --json "$0/fleet/$1-$2.json" >"$0/fleet/$1-$2.txt" 2>&1' "$build"
for scenario in "${scenarios[@]}"; do
    files=()
    for seed in $(seq 1 "$seeds"); do files+=("$out/$scenario-$seed.json"); done
    echo "== $scenario, processes"
    "$build/ochrehub_lab" report "${files[@]}" -o "$out/$scenario" | cut -c1-160
    echo "== $scenario, virtual"
    "$build/ochrehub_lab" fleet "$scenario" --world virtual --seeds "1..$seeds"
done
