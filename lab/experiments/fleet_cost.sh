#!/usr/bin/env bash
# Requests served a second through one node on one core, with [fleet] and four peers against without, in turns; then with
# [fleet] while its port is flooded, and while its peers are stopped. fleet_cost.sh BUILD [PAIRS]
set -euo pipefail
build=$1 pairs=${2:-6} seconds=4
lab=$build/ochrehub_lab
dir=$(mktemp -d)
pids=()
trap 'kill -CONT "${pids[@]}" 2>/dev/null || true; kill -KILL "${pids[@]}" 2>/dev/null || true; wait 2>/dev/null; rm -rf "$dir"' EXIT
base=127.$((64 + RANDOM % 60)).$((RANDOM % 250)).1
port=$((20000 + RANDOM % 20000))

taskset -c 4-7 "$lab" serve calm --plain 4 --for 900 >"$dir/serve" &
pids+=($!)
until grep -q 'answers at once' "$dir/serve"; do sleep 0.1; done
server=$(sed -n 's/^a server that answers at once: //p' "$dir/serve")
sed -n '/^\[\[class\]\]/,$p' "$dir/serve" | grep -v 'of CPU' >"$dir/rest"
node_file() { # NUMBER FLEET?
    printf 'listen = "%s:%d"\ncontrol = "%s:%d"\nname = "n%d"\nnodes = 5\n' "$base" $((port + $1)) "$base" $((port + 100 + $1)) "$1"
    sed "s/127[0-9.:]*/$server/" "$dir/rest"
    [ "$2" = no ] || printf '[fleet]\nlisten = "%s:%d"\njoin = ["%s:%d", "%s:%d"]\n' "$base" $((port + $1)) "$base" $((port + 1)) "$base" $((port + 2))
}
for i in 0 1 2 3 4; do node_file $i yes >"$dir/$i.toml"; done
node_file 0 no >"$dir/alone.toml"
peers=()
for i in 1 2 3 4; do
    taskset -c 3 "$build/ochrehub" node --config "$dir/$i.toml" 2>/dev/null &
    peers+=($!)
    pids+=($!)
done

once() { # FILE: served a second, and served a second of the node's CPU
    taskset -c 0 "$build/ochrehub" node --config "$dir/$1.toml" 2>"$dir/log" &
    local node=$! ticks
    for _ in $(seq 100); do
        (exec 3<>"/dev/tcp/$base/$port") 2>/dev/null && break
        sleep 0.05
    done
    sleep 1 # they know each other
    taskset -c 1,2 "$lab" load calm --to "$base:$port" --rate "${RATE:-110000}" --for $seconds --connections 128 --quiet >"$dir/out" || true
    ticks=$(awk '{ print $14 + $15 }' "/proc/$node/stat")
    kill -KILL "$node"
    wait "$node" 2>/dev/null || true
    sed -n 's/.* sent, \([0-9]*\) served.*/\1/p' "$dir/out" | awk -v s=$seconds -v t="$ticks" '{ print int($1 / s), int($1 * 100 / t) }'
}
paired() { # NAME PAIRS: first one, then the other begins
    for i in $(seq "$2"); do
        if [ $((i % 2)) = 1 ]; then with=$(once 0) && without=$(once alone); else without=$(once alone) && with=$(once 0); fi
        echo "$with $without"
    done >"$dir/pairs"
    awk '{ printf "  %d against %d: %.3f; a second of CPU %d against %d: %.3f\n", $1, $3, $1 / $3, $2, $4, $2 / $4 }' "$dir/pairs"
    for what in '1 3 a_second' '2 4 a_second_of_CPU'; do
        read -r x y words <<<"$what"
        awk -v x="$x" -v y="$y" '{ print $x / $y }' "$dir/pairs" | sort -n |
            awk -v name="$1, ${words//_/ }" '{ r[NR] = $1 } END { printf "%s: median ratio %.3f of %d pairs\n", name, (r[int((NR + 1) / 2)] + r[int((NR + 2) / 2)]) / 2, NR }'
    done
}
paired "with against without [fleet]" "$pairs"
kill -STOP "${peers[@]}"
paired "peers stopped" $(((pairs + 1) / 2))
kill -CONT "${peers[@]}"
taskset -c 3 "$lab" flood --to "$base:$port" --rate 50000 --for 900 >"$dir/flood" &
flood=$!
pids+=($!)
sleep 1
paired "its port flooded with 50,000 datagrams a second" $(((pairs + 1) / 2))
kill -TERM "$flood"
wait "$flood" 2>/dev/null || true
cat "$dir/flood"
