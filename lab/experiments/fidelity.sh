#!/usr/bin/env bash
# The two worlds beside each other: fidelity.sh BUILD [SEEDS]. Served worth of each scenario in virtual time and on
# sockets, the mean over the same seeds, their difference, and the widest difference of a single seed. The seeds of a
# scenario are played side by side.
set -euo pipefail
lab=$1/ochrehub_lab
many=${2:-5}
out=$(mktemp -d)
printf '%-16s %9s %9s %10s %8s %9s\n' scenario simulate play difference widest breaches
for name in calm busy hang fast_errors pauses shared_slow node_kill release; do
    for seed in $(seq "$many"); do
        "$lab" simulate "$name" --seed "$seed" --jobs 1 --quiet --json "$out/s$seed.json" >/dev/null 2>&1 || true
        "$lab" play "$name" --seed "$seed" --quiet --json "$out/p$seed.json" >"$out/$name.$seed.log" 2>&1 &
    done
    wait || true
    for seed in $(seq "$many"); do
        echo "$("$lab" figure worth.whole "$out/s$seed.json") $("$lab" figure worth.whole "$out/p$seed.json")" \
            "$("$lab" figure breaches "$out/p$seed.json")"
    done | awk -v name="$name" '
        { s += $1; p += $2; b += $3; d = $2 - $1; if (d < 0) d = -d; if (d > w) w = d }
        END { printf "%-16s %9.4f %9.4f %+10.4f %8.4f %9d\n", name, s / NR, p / NR, (p - s) / NR, w, b }'
done
