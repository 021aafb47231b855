# What the scripts of the second review share: the stand-ins' world, nodes as the deploy file starts them, the record,
# and the end of every process that was started. Sourced; needs $here, the case's folder.
set -u
root=$(cd "$here/../.." && pwd)
peer=$root/build/review-2/peer
TROUBLE=${TROUBLE:-1}
BEGAN=$(date +%s.%N)
export BEGAN
for needed in "$peer" "$root/build/ochrehub" "$root/deploy/ochrehub.conf"; do
    [ -e "$needed" ] || { echo "missing: $needed (the deploy file's build, then review/build-2.sh)"; exit 2; }
done
temporary=$(mktemp -d) || exit 2
started=()
end_all() {
    for pid in ${started[@]+"${started[@]}"}; do kill -KILL "$pid" 2>/dev/null; done
    for pid in ${started[@]+"${started[@]}"}; do wait "$pid" 2>/dev/null; done
    rm -rf "$temporary"
}
trap end_all EXIT
trap 'exit 2' INT TERM

log=$temporary/events
: >"$log"
note() { printf '%8.3f script: %s\n' "$(awk -v now="$(date +%s.%N)" -v began="$BEGAN" 'BEGIN { print now - began }')" "$*" >>"$log"; }
cannot_run() {
    note "could not run: $*"
    write_record "could not run: $*"
    exit 2
}
# The record begins with the verdict; behind it what was sent, answered and run, by time.
write_record() {
    { echo "$*"; echo "TROUBLE=$TROUBLE"; sort -s -n -k 1,1 "$log"; } >"$here/record.txt"
}

# start_world OPTION...: web boxes and discovery.
start_world() {
    "$peer" world --log "$log" --ready "$temporary/ready" "$@" 2>/dev/null &
    started+=("$!")
    for _ in $(seq 200); do [ -e "$temporary/ready" ] && break; sleep 0.05; done
    [ -e "$temporary/ready" ] || cannot_run "the stand-ins did not start"
    discovery=$(sed -n 1p "$temporary/ready")
    members=$(sed -n 2p "$temporary/ready")
}

# start_nodes COUNT: nodes of one tier by the deploy file's `run`; their ports in `ports`, their processes in `nodes`.
start_nodes() {
    local i count=$1
    mapfile -t ports < <("$peer" ports --count "$count")
    nodes=()
    for ((i = 0; i < count; ++i)); do
        rm -rf "$temporary/tmp-$i"
        mkdir "$temporary/tmp-$i"
        node_config "n$i" "${ports[i]}" "$i" "$count" >"$temporary/n$i.json"
        (
            cd "$root" || exit 2
            export GW_NAME="n$i" GW_LISTEN="127.0.0.1:${ports[i]}" GW_DISCOVERY="127.0.0.1:$discovery"
            export GW_CONFIG="$temporary/n$i.json" TMPDIR="$temporary/tmp-$i"
            exec /bin/sh -c 'exec build/ochrehub -f deploy/ochrehub.conf' >"$temporary/n$i.log" 2>&1
        ) &
        nodes+=("$!")
        started+=("$!")
    done
    for ((i = 0; i < count; ++i)); do
        "$peer" ready --port "${ports[i]}" || cannot_run "node n$i is not ready: $(tail -n 1 "$temporary/n$i.log")"
    done
    note "nodes ready: ${ports[*]}"
}

# Ends the nodes, whatever they do.
kill_nodes() {
    local pid
    for pid in "${nodes[@]}"; do
        kill -0 "$pid" 2>/dev/null || cannot_run "a node ended by itself"
        kill -KILL "$pid"
        wait "$pid" 2>/dev/null
    done
    note "nodes ended"
}

# As a small deployment has it: classes, limits and rules of the users' example of the settings.
node_config() { # NAME PORT ME COUNT
    cat <<END
{"name":"$1","listen":"127.0.0.1:$2","discovery":"127.0.0.1:$discovery","seed":"8c1f30d27a5be96$3",
 "limits":{"cores":1.0,"memory_mb":192,"sockets":1024},
 "known":{"revision":41,"complete":true,"members":$members},
 "settings":{"Balancers":$4,"Me":$3,"Azs":["shah-alam","cyberjaya","seremban"],"Locality":"shah-alam",
  "Flavors":["fast-box","std-box"],"Discovery":"ask","Family":"proxy","Granularity":2.0,"OverShareWorth":0.05,
  "Accounts":[{"Name":"kayuh-utama","QuotaRps":94.0,"Share":0.55},{"Name":"pedal-selatan","QuotaRps":78.0,"Share":0.45}],
  "Services":[
   {"Name":"stock-check","Effect":"free","DedupScope":"all","Window":5000.0,"OnTime":150.0,"GiveUp":600.0,"Gain":5.0,
    "LateWorth":0.5,"Stream":false},
   {"Name":"place-order","Effect":"single_shot","DedupScope":"all","Window":5000.0,"OnTime":600.0,"GiveUp":2500.0,
    "Gain":8.0,"LateWorth":0.3,"Stream":false}],
  "Limits":{"Probes":true,"Peers":false,"Cancel":true,"SecondCopies":false,"RetryAfter":true,"MaxAttempts":5,
   "MaxRetryAfter":1200.0,"MostHeld":20000,"ConnIdle":10000.0,"ConnectTimeout":75.0,"StreamsPerConn":1},
  "LoadReport":{"How":"answers","Columns":["queue","latency_ms","qps"]},
  "Prices":{"CrossZone":0.02,"Handshake":0.02,"Probe":0.03,"Waste":0.05},
  "Safety":{"AskWithin":10000.0,"StopSendingWithin":2000.0,"Cold":8200.0,"ColdFrom":0.3,"OverloadFactor":3.0,
   "TipAfter":1500.0,"GraceToAnswer":8.0}}}
END
}
