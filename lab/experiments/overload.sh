#!/bin/sh
# Plays the days of overload, release and outage and prints a line for each: how many seeds are back, how soon, and
# what clients did meanwhile. docs/design/overload.md holds what came of it.
#   overload.sh [LAB [FIRST..LAST [FOLDER]]]     results go to FOLDER, for `ochrehub_lab compare`
set -eu
lab=${1:-build/ochrehub_lab} seeds=${2:-1..100} folder=${3:-overload-results}
days=${DAYS:-"release_tight release_stall brownout shared_slow overload_pulse third_lost half_lost nodes_stall
nodes_restart list_empties cold_start flood_tight tenant_storm advice_long slow_clients outage_crowd outage_deaf
outage_spread outage_cold outage_twice rate_storm overload busy calm"}
mkdir -p "$folder"
"$lab" recovery --head
for day in $days; do
    # A day that does not keep what it promises is told in its line.
    "$lab" simulate "$day" --seeds "$seeds" --quiet --json "$folder/$day.json" > "$folder/$day.txt" 2>&1 || true
    "$lab" recovery "$folder/$day.json"
done
