#!/usr/bin/env bash
# 1,000 seeded days of the shipped build over all shipped scenarios but the biggest: thousand_days.sh BUILD. Prints each
# breach, if there is one, and the number of days; the status is 1 where a rule broke.
set -euo pipefail
lab=$1/ochrehub_lab
names=$("$lab" scenarios | awk '$1 != "scale" { print $1 }')
many=$(wc -w <<<"$names")
each=$(((1000 + many - 1) / many))
days=0
broken=0
for name in $names; do
    out=$("$lab" simulate "$name" --seeds "1..$each" --quiet 2>/dev/null) || true
    if grep -q '^seed' <<<"$out"; then
        broken=1
        echo "$name: $out"
    fi
    days=$((days + each))
done
echo "$days days of $many scenarios, $([ $broken = 0 ] && echo no rule broken || echo rules broken)"
exit $broken
