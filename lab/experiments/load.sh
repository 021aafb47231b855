#!/usr/bin/env bash
# Requests served a second through one node on one core: load.sh BUILD [OTHER_NODE [PAIRS]]. The generator has two cores, the
# stand-in server that answers at once four. With another node's program the two take turns, and the ratios are printed
# pair by pair. First comes the generator against the server itself.
set -euo pipefail
lab=$1/ochrehub_lab
here=$1/ochrehub
other=${2:-}
pairs=${3:-5}
dir=$(mktemp -d)
pids=()
trap 'kill "${pids[@]}" 2>/dev/null || true; rm -rf "$dir"' EXIT

taskset -c 4-7 "$lab" serve calm --plain 4 --for 600 >"$dir/serve" &
pids+=($!)
until grep -q 'answers at once' "$dir/serve"; do sleep 0.1; done
server=$(sed -n 's/^a server that answers at once: //p' "$dir/serve")
listen=127.77.3.1:$((20000 + RANDOM % 20000))
members=$(for i in $(seq 12); do
    printf '%s{"id":"s-%d","host_port":"%s","locality":"a","flavor":"m","cell":0,"phase":"in_service","size":1.0,"up_since_ms":0}' \
        "$([ "$i" = 1 ] || echo ,)" "$i" "$server"
done)
class() { printf '{"Name":"%s","Effect":"%s","OnTime":%s,"GiveUp":%s,"Gain":1.0,"LateWorth":0.5,"Stream":false%s}' "$@"; }
cat >"$dir/config.json" <<END
{"name":"n0","listen":"$listen","discovery":"127.77.3.2:9","seed":"1","limits":{"cores":1.0,"memory_mb":192,"sockets":4096},
 "known":{"revision":1,"complete":true,"members":[$members]},
 "settings":{"Balancers":1,"Azs":["a"],"Locality":"a","Flavors":["m"],"Discovery":"push",
  "Services":[$(class stock-check free 150 600 ""),$(class price-look free 200 500 ""),$(class place-order single_shot 600 2500 ""),$(class order-change guarded 600 1200 ',"DedupScope":"all","Window":6000')],
  "Limits":{"Probes":false,"Cancel":true,"RetryAfter":true,"MaxAttempts":5,"MaxRetryAfter":1200.0,"ConnIdle":10000.0,"ConnectTimeout":1000.0},
  "LoadReport":{"How":"none"},"Safety":{"Cold":8000.0,"ColdFrom":0.3,"OverloadFactor":3.0,"TipAfter":1500.0,"GraceToAnswer":8.0}}}
END

once() { # NODE: served a second
    GW_CONFIG="$dir/config.json" taskset -c 0 "$1" 2>/dev/null &
    local node=$!
    for _ in $(seq 100); do
        (exec 3<>"/dev/tcp/${listen%:*}/${listen#*:}") 2>/dev/null && break
        sleep 0.05
    done
    taskset -c 1,2 "$lab" load calm --to "$listen" --rate ${RATE:-110000} --for 4 --connections 128 --quiet >"$dir/out" || true
    kill -9 "$node" 2>/dev/null
    wait "$node" 2>/dev/null || true
    sed -n 's/.* sent, \([0-9]*\) served.*/\1/p' "$dir/out" | awk '{ print int($1 / 4) }'
}

echo "the generator against the server itself:"
taskset -c 1,2 "$lab" load calm --to "$server" --rate 60000 --for 4 --connections 64 --quiet
echo "through the node, requests a second:"
if [ -z "$other" ]; then
    for _ in $(seq "$pairs"); do once "$here"; done
    exit
fi
for _ in $(seq "$pairs"); do
    a=$(once "$here")
    b=$(once "$other")
    echo "$a $b $(awk "BEGIN { printf \"%.3f\", $a / $b }")"
done | tee "$dir/pairs"
sort -k3n "$dir/pairs" | awk '{ r[NR] = $3 } END { print "median ratio " r[int((NR + 1) / 2)] }'
