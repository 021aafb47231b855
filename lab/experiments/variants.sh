#!/usr/bin/env bash
# Ranks variants of the decision module in the lab, each against the module as it is, paired over the same days.
#   lab/experiments/variants.sh [-s SEEDS] [-o DIR] NAME=VALUE ...
# NAME is a constant of a module in src/balancer. Each variant is built in a folder of its own under DIR; its programs stay there,
# the simulator's adapter among them. Prints, for each variant, the mean score over all days and the paired difference.
set -euo pipefail
cd "$(dirname "$0")/../.."
seeds=1..20
out=$(mktemp -d)
while getopts s:o: option; do
    case $option in
        s) seeds=$OPTARG ;;
        o) out=$OPTARG ;;
        *) exit 2 ;;
    esac
done
shift $((OPTIND - 1))
scenarios="calm busy overload hang fast_errors pauses shared_slow zone_skew churn release mixed_random cold_start"
jobs=$(nproc)

build() { # FOLDER NAME VALUE
    mkdir -p "$1"
    git archive HEAD | tar -x -C "$1"
    if [ -n "${2:-}" ]; then
        local files
        files=$(grep -lE "constexpr [A-Za-z_:]+ $2[ {=]" "$1"/src/balancer/*.{h,cpp}) || { echo "no constant $2" >&2; exit 2; }
        sed -i -E "s/(constexpr [A-Za-z_:]+ $2)( = |\{)[^;}]*/\1\2$3/" $files
    fi
    cmake -S "$1" -B "$1/build" -DCMAKE_BUILD_TYPE=Release -DOCHREHUB_LAB=ON >/dev/null
    cmake --build "$1/build" -j"$jobs" --target ochrehub_lab ochrehub_adapter >/dev/null
}
play() { # FOLDER
    for scenario in $scenarios; do
        "$1/build/ochrehub_lab" simulate "$scenario" --seeds "$seeds" --jobs "$jobs" --quiet \
            --json "$1/$scenario.json" >/dev/null 2>&1 || true # a bound missed is part of the ranking
    done
}
score() { # FOLDER: mean over all days
    for scenario in $scenarios; do
        "$1/build/ochrehub_lab" figure score "$1/$scenario.json"
    done | awk '{ sum += $1; n += 1 } END { printf "%.4f", sum / n }'
}

build "$out/base"
play "$out/base"
base=$(score "$out/base")
printf '%-28s %8s %9s\n' variant score against
printf '%-28s %8s\n' "as it is" "$base"
for variant in "$@"; do
    folder="$out/${variant//=/_}"
    build "$folder" "${variant%%=*}" "${variant#*=}"
    play "$folder"
    it=$(score "$folder")
    printf '%-28s %8s %+9.4f\n' "$variant" "$it" "$(awk "BEGIN { print $it - $base }")"
done
