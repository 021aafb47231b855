#!/usr/bin/env bash
# False deaths a member and hour, with and without pauses and one-sided cuts, beside the same core without Lifeguard's parts and the
# last call; then messages at three sizes. false_deaths.sh BUILD [JOBS [SEEDS]]
set -euo pipefail
lab=$1/ochrehub_lab jobs=${2:-$(nproc)} seeds=${3:-100}
cell() { "$lab" members "$@" --for 300 --jobs "$jobs" | sed -nE 's/.*a member sends ([0-9.]+).*known to all after ([0-9.]+) s \(worst ([0-9.]+).*hour ([0-9.]+) \(([0-9]+) in ([0-9]+) hours.*/\4 (\5 in \6 h)  known \2 s, worst \3  sends \1/p'; }
for size in 100 1000; do
    many=$((size == 100 ? seeds : (seeds + 9) / 10))
    for trouble in "" "--pauses 60 --one-sided 10"; do
        for loss in 0 0.1 0.3; do
            for core in "" --plain; do
                # shellcheck disable=SC2086
                printf '%-5s loss %-4s %-27s %-8s %s\n' "$size" "$loss" "${trouble:-calm}" "${core:-as it is}" \
                    "$(cell --members "$size" --loss "$loss" --seeds "1..$many" $trouble $core)"
            done
        done
    done
done
for size in 10 100 1000; do
    printf '%-5s messages: %s\n' "$size" "$(cell --members "$size" --seeds 1..10)"
done
