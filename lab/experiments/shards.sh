#!/usr/bin/env bash
# Shards: drawn days, a fault at each event of a day, which script finds which saboteur, and the table by several threads.
# shards.sh BUILD [SEEDS [THREADS]]
set -euo pipefail
build=$1 seeds=${2:-1000} threads=${3:-$(nproc)}
"$build/lab/shards/ochrehub_lab_shards_runs" days --seeds "$seeds" --threads "$threads"
"$build/lab/shards/ochrehub_lab_shards_runs" events --seeds 1 --threads "$threads"
"$build/lab/shards/ochrehub_lab_shards_runs" saboteurs --seeds 5
"$build/lab/bench/lab_shards_bench" 5 1
