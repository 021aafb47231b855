#!/usr/bin/env bash
# How fast virtual time runs: speed.sh BUILD. Calls a second of one core at 3 nodes and 13 servers, best and median of
# five; then the big day, with its time and memory.
set -euo pipefail
lab=$1/ochrehub_lab
echo "3 nodes, 13 servers, load 0.75, 20 days in one thread, five times:"
for _ in 1 2 3 4 5; do
    "$lab" simulate busy --seeds 1..20 --jobs 1 2>/dev/null | grep -o '[0-9]* calls a second of one core'
done | sort -n
echo "200 nodes, 5,000 servers, 100,000 requests a second for 30 s:"
if [ -x /usr/bin/time ]; then
    /usr/bin/time -f '%e s, %M KB' "$lab" simulate scale --jobs 1 2>&1 | grep -E 'calls|^[0-9.]+ s,'
else
    "$lab" simulate scale --jobs 1 2>/dev/null | grep calls
fi
