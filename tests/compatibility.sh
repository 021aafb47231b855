#!/usr/bin/env bash
# Data written by an earlier build is read by this one: compatibility.sh PROGRAM [FIXTURES]. compatibility/README.md says what
# the fixtures are. They are copied, as the program goes on writing to them.
set -euo pipefail
PROGRAM=$1
HERE=$(cd "$(dirname "$0")" && pwd)
FIXTURES=${2:-$HERE/compatibility}
WORK=$(mktemp -d)
trap 'stop_all; rm -rf "$WORK"' EXIT
export TZ=UTC
. "$HERE/compatibility_lib.sh"
cp -r "$FIXTURES"/{coordinator1,coordinator2,documents,audit.log} "$WORK"
lock_addresses

# The audit: the chain is whole, and ends with the stop of the process that wrote it.
audit_is_whole() { "$PROGRAM" audit verify "$WORK/audit.log" >"$WORK/found" || fail "audit.log: damaged" "$WORK/found"; }
audit_is_whole
lines=$(wc -l <"$WORK/audit.log")
[ "$lines" -eq 10 ] || fail "audit.log: 10 lines were written, there are $lines"

# The node's copy of the documents in force, and the handover file: with no coordinator up a node knows both.
port=$(free_port)
admin=$(free_port)
node_file "$port" "$admin" "${COORDINATORS[0]}" "$WORK" >"$WORK/node.toml"
cp "$FIXTURES/node.hands" "$WORK/ochrehub-127.0.0.1-$port.hands"
touch "$WORK/ochrehub-127.0.0.1-$port.hands"  # a process that ended more than a minute ago does not count
start_node "$admin"
# s2 was taken out at the admin address, s3 by document "hand"; s1 was taken out and put back.
for shown in 'app_cluster_size 3' 'ochrehub_rules_in_force{document="hand"} 1' 'ochrehub_rules_in_force{document="headers"} 4' \
    'ochrehub_rules_acted{document="hand",how="[a-z]*"} 1' 'ochrehub_rules_acted{document="headers",how="[a-z]*"} 4' \
    'app_cluster_unhealthy 2'; do
    within 10 call_shows GET "$admin" /ops/stats "^$shown" || fail "the node does not show $shown" "$WORK/node.err"
done
# Putting s2 back shows that it was the handover file that had it out.
call_shows PUT "$admin" /ops/servers/up/s2 '200 OK' || fail "s2 is not out" "$WORK/node.err"
within 10 call_shows GET "$admin" /ops/stats '^app_cluster_unhealthy 1' || fail "s2 was not put back" "$WORK/node.err"
end_all
# The new process began a chain of its own behind the old one's.
audit_is_whole
[ "$(wc -l <"$WORK/audit.log")" -gt "$lines" ] || fail "audit.log: nothing was added"

# members_are_known SNAPSHOT: both coordinators know all members, and have a snapshot up to this entry. While an election is under way
# the status is refused, so it is taken again until there is one.
members_are_known() {
    fleet keepers --json >"$WORK/found" || return 1
    for shown in "\"snapshot\":$1,\"trusted\":true" '"number":1,"address":"127.83.14.1:20171","voter":true' \
        '"number":2,"address":"127.83.14.2:20172","voter":true' '"number":3,"address":"127.83.14.3:20173","voter":true' \
        '"machines":["duty","views","list","migration","rules","quota"]'; do
        [ "$(grep -oF "$shown" "$WORK/found" | wc -l)" -eq 2 ] || return 1
    done
}

# Two of three coordinators: a snapshot and a log each. They have a leader, hold what was written, and go on from there.
for number in 1 2; do
    "$PROGRAM" keeper verify "$WORK/coordinator$number" --cluster compatibility >"$WORK/found" ||
        fail "coordinator$number: damaged" "$WORK/found"
    grep -q '^snapshot-' "$WORK/found" || fail "coordinator$number: has no snapshot" "$WORK/found"
done
start_coordinators -- 1 2
within 20 members_are_known 200 || fail "fleet keepers shows other members or another snapshot" "$WORK/found"
coordinator_state >"$WORK/coordinator_state"
diff "$FIXTURES/coordinator_state" "$WORK/coordinator_state" || fail "the coordinators do not hold what was written"
printf '[[partner]]\nname = "dealers"\nrate = 500\nburst = 600\n' >"$WORK/budgets.toml"
printf '[[floor]]\npartner = "dealers"\nsite = "north"\nrate = 20\nburst = 60\n' >>"$WORK/budgets.toml"
fleet quota set "$WORK/budgets.toml" >"$WORK/found" || fail "nothing can be written" "$WORK/found"
fleet quota show dealers --json | grep -q '"version":102,.*"rate":5E2' || fail "what was written is not there"
end_all

# The same cluster earlier, without a snapshot: members as they were given at the first start, and all entries in the log.
rm -r "$WORK"/coordinator[12]
cp -r "$FIXTURES"/without_snapshot/coordinator[12] "$WORK"
start_coordinators -- 1 2
within 20 members_are_known 0 || fail "fleet keepers shows other members or another snapshot" "$WORK/found"
within 20 fleet quota show dealers --json || fail "no answer from the coordinators"
fleet quota show dealers --json >"$WORK/found" || fail "no answer from the coordinators"
grep -q '"version":1,.*"rate":4E2,.*"frozen":true,.*"site":"north"' "$WORK/found" || fail "the log's entries are not there" "$WORK/found"
end_all
