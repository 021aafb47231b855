#!/usr/bin/env bash
# A node with a quarter of a core that is asked for more than it can do, by clients that give up and close: what it serves in time
# meanwhile, and how soon it is back once that is over. Each request says how long its client
# waits; servers answer at once.
#   exhaust.sh BUILD [OTHER_NODE [PAIRS]]     with another node's program the two take turns
# GIVE_UP_MS (150), STORM: of what the node does at most, so many times (4), CAPACITY: found first where not given
set -euo pipefail
lab=$1/ochrehub_lab
other=${2:-}
pairs=${3:-3}
give_up=${GIVE_UP_MS:-150}
core=${CORE:-0} gen=${GEN:-1-3}
dir=$(mktemp -d)
pids=()
trap 'kill "${pids[@]}" 2>/dev/null || true; rm -rf "$dir"' EXIT

taskset -c 4-7 "$lab" serve calm --plain 4 --for 900 >"$dir/serve" &
pids+=($!)
# It shares its core, as nodes do: so the generator can ask for many times what it can do.
for _ in $(seq "${SPIN:-3}"); do
    taskset -c "$core" sh -c 'while :; do :; done' &
    pids+=($!)
done
until grep -q 'answers at once' "$dir/serve"; do sleep 0.1; done
server=$(sed -n 's/^a server that answers at once: //p' "$dir/serve")
listen=127.77.4.1:$((20000 + RANDOM % 20000))
members=$(for i in $(seq 12); do
    printf '%s{"id":"s-%d","host_port":"%s","locality":"a","flavor":"m","cell":0,"phase":"in_service","size":1.0,"up_since_ms":0}' \
        "$([ "$i" = 1 ] || echo ,)" "$i" "$server"
done)
class() { printf '{"Name":"%s","Effect":"%s","OnTime":%s,"GiveUp":%s,"Gain":1.0,"LateWorth":0.5,"Stream":false%s}' "$@"; }
cat >"$dir/config.json" <<END
{"name":"n0","listen":"$listen","discovery":"127.77.4.2:9","seed":"1","limits":{"cores":1.0,"memory_mb":192,"sockets":16384},
 "known":{"revision":1,"complete":true,"members":[$members]},
 "settings":{"Balancers":1,"Azs":["a"],"Locality":"a","Flavors":["m"],"Discovery":"push",
  "Services":[$(class stock-check free 150 600 ""),$(class price-look free 200 500 ""),$(class place-order single_shot 600 2500 ""),$(class order-change guarded 600 1200 ',"DedupScope":"all","Window":6000')],
  "Limits":{"Probes":false,"Cancel":true,"RetryAfter":true,"MaxAttempts":5,"MaxRetryAfter":1200.0,"ConnIdle":10000.0,"ConnectTimeout":1000.0},
  "LoadReport":{"How":"none"},"Safety":{"Cold":8000.0,"ColdFrom":0.3,"OverloadFactor":3.0,"TipAfter":1500.0,"GraceToAnswer":8.0}}}
END

with_node() { # NODE ARGS...: a load on a fresh node
    GW_CONFIG="$dir/config.json" taskset -c "$core" "$1" 2>/dev/null &
    local node=$!
    for _ in $(seq 100); do
        (exec 3<>"/dev/tcp/${listen%:*}/${listen#*:}") 2>/dev/null && break
        sleep 0.05
    done
    taskset -c "$gen" "$lab" load calm --to "$listen" --loops 3 --quiet "${@:2}" >"$dir/out" || true
    awk '{ printf "%.2f s of CPU in the node\n", ($14 + $15) / 100 }' "/proc/$node/stat" >>"$dir/out"
    kill -9 "$node" 2>/dev/null
    wait "$node" 2>/dev/null || true
}

if [ -z "${CAPACITY:-}" ]; then
    with_node "${other:-$1/ochrehub}" --rate 110000 --for 3 --connections 64
    CAPACITY=$(sed -n 's/.* sent, \([0-9]*\) served.*/\1/p' "$dir/out" | awk '{ print int($1 / 3) }')
fi
echo "capacity: $CAPACITY requests a second; clients wait for $give_up ms"
# A storm of 3 s, then 5 s at a quarter of what it does at most: half of what it does of requests that come one by one.
once() {
    with_node "$1" --rate $((CAPACITY / ${AFTER:-4})) --storm-rate "$(awk "BEGIN { print int($CAPACITY * $2) }")" --storm-for 3 \
        --for 8 --give-up-ms "$give_up" --connections "${CONNECTIONS:-1500}"
    [ -z "${KEEP:-}" ] || cp "$dir/out" "$KEEP.$2.$(basename "$(dirname "$1")")"
    # Back: the first of four quarters of a second in a row of which 95% are served, p99 under half of the wait.
    awk -v wait="$give_up" -v name="$3" -v times="$2" '
        / of CPU in the node/ { cpu = $1 }
        /^slice/ { n = $2 * 4; due[n] = $4; served[n] = $6; p99[n] = $12; last = n }
        END {
            for (n = 2; n < 12; ++n) { storm += served[n]; asked += due[n] }
            for (n = 12; n + 3 <= last - 1; ++n) {
                good = 1
                for (i = n; i < n + 4; ++i) good = good && served[i] >= 0.95 * due[i] && p99[i] < wait / 2
                if (good) { back = sprintf("%.2f s", (n - 12) / 4); break }
            }
            for (n = 12; n < last; ++n) { after += served[n]; due_after += due[n] }
            printf "%-6s %sx: served in time %d a second of %d, back in %s, %.3f of what was due after, %.1f s of CPU\n",
                name, times, storm / 2.5, asked / 2.5, back ? back : "never", after / due_after, cpu
        }' "$dir/out"
}
for _ in $(seq "$pairs"); do
    for times in ${STORM:-2 4}; do
        [ -z "$other" ] || once "$other" "$times" before
        once "$1/ochrehub" "$times" now
    done
done
