# Shared by compatibility.sh and compatibility/write.sh: starts coordinators and nodes of a program on free loopback ports.
# Sets no options; expects PROGRAM, and WORK, a folder of the caller's.

processes=()
stop_all() {
    for process in "${processes[@]}"; do kill "$process" 2>/dev/null || true; done
    for process in "${processes[@]}"; do wait "$process" 2>/dev/null || true; done
    processes=()
}
# The same where all is expected to be well: each ends with status 0.
end_all() {
    local process status
    for process in "${processes[@]}"; do kill "$process" || fail "a process has ended by itself"; done
    for process in "${processes[@]}"; do
        status=0
        wait "$process" || status=$?
        [ "$status" -eq 0 ] || fail "a process ended with status $status"
    done
    processes=()
}

fail() {
    echo "$1"
    [ -z "${2:-}" ] || cat "$2"
    exit 1
}

# A port below the range from which the kernel gives out ports by itself, on which nothing listens now.
free_port() {
    local port
    while :; do
        port=$((20000 + RANDOM % 10000))
        (: <"/dev/tcp/127.0.0.1/$port") 2>/dev/null || break
    done
    echo "$port"
}

# within SECONDS COMMAND...: repeats the command until it succeeds.
within() {
    local end=$((SECONDS + $1))
    shift
    until "$@" >/dev/null 2>&1; do
        [ "$SECONDS" -lt "$end" ] || return 1
        sleep 0.1
    done
}

# call METHOD PORT PATH: one HTTP request to a node's admin address; prints the response.
call() {
    exec 9<>"/dev/tcp/127.0.0.1/$2" || return 1
    printf '%s %s HTTP/1.1\r\nHost: node\r\nConnection: close\r\n\r\n' "$1" "$3" >&9
    cat <&9
    exec 9>&-
}
call_shows() { call "$1" "$2" "$3" | grep -q -- "$4"; }

# Three coordinators. Their addresses are in their logs, so tests that start them from the fixtures use these, and wait for each other.
COORDINATORS=(127.83.14.1:20171 127.83.14.2:20172 127.83.14.3:20173)
lock_addresses() {
    exec 8>"${TMPDIR:-/tmp}/ochrehub-compatibility.lock"
    flock -w 120 8 || fail "the coordinators' addresses are in use by another run of this test"
}

# coordinator_file NUMBER FOLDER: a snapshot after as few entries as may be set.
coordinator_file() {
    cat <<TOML
[keeper]
number = $1
listen = "${COORDINATORS[$1 - 1]}"
folder = "$2"
cluster = "compatibility"
snapshot_entries = 100
TOML
    for i in 1 2 3; do printf '[[member]]\nnumber = %s\naddress = "%s"\n' "$i" "${COORDINATORS[$i - 1]}"; done
}

# node_file PORT ADMIN_PORT COORDINATOR_ADDRESS FOLDER: FOLDER takes the audit and the documents in force.
node_file() {
    cat <<TOML
listen = "127.0.0.1:$1"
control = "127.0.0.1:$2"
name = "compatibility"
[[class]]
name = "read"
effect = "free"
[[server]]
name = "s1"
address = "127.0.0.1:9"
[[server]]
name = "s2"
address = "127.0.0.1:10"
[[server]]
name = "s3"
address = "127.0.0.1:11"
[health]
probes = false  # nothing listens at the servers' addresses, and only what was stored may make them unavailable
[keepers]
ask = ["$3"]
cluster = "compatibility"
folder = "$4/documents"
lease_ms = 1000
[audit]
on = true
file = "$4/audit.log"
TOML
}

fleet() { "$PROGRAM" fleet "$@" --config "$WORK/coordinator1.toml"; }

# start_coordinators OPTIONS... -- NUMBERS...: by $WORK/coordinatorNUMBER.toml and on $WORK/coordinatorNUMBER; until one leads.
start_coordinators() {
    local options=()
    while [ "$1" != -- ]; do
        options+=("$1")
        shift
    done
    shift
    for number in "$@"; do
        coordinator_file "$number" "$WORK/coordinator$number" >"$WORK/coordinator$number.toml"
        "$PROGRAM" keeper --config "$WORK/coordinator$number.toml" "${options[@]}" 2>"$WORK/coordinator$number.err" 8>&- &
        processes+=($!)
    done
    within 30 fleet keepers || fail "no coordinator leads" "$WORK/coordinator1.err"
}

# start_node ADMIN_PORT: by $WORK/node.toml; until its admin address answers.
start_node() {
    TMPDIR="$WORK" "$PROGRAM" node --config "$WORK/node.toml" 2>"$WORK/node.err" 8>&- &
    processes+=($!)
    within 20 call_shows GET "$1" /ops/stats app_cluster_size || fail "the node does not start" "$WORK/node.err"
}

# What a coordinator holds, one query a line, each with its answer in JSON. Left out is what depends on which sessions are open.
coordinator_state() {
    local query
    for query in "quota show dealers" "rules show headers" "rules show hand" "rules history headers" "migrate status"; do
        # shellcheck disable=SC2086
        within 20 fleet $query || fail "$query: no answer"  # an election may be under way
        # shellcheck disable=SC2086
        echo "$query: $(fleet $query --json | sed -E 's/"nodes":\[[^]]*\]/"nodes":[]/; s/"sessions":\[[^]]*\]/"sessions":[]/')"
    done
}
