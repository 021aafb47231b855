#!/usr/bin/env bash
# Writes the fixtures of tests/compatibility.sh with the program of an earlier build: write.sh PROGRAM FOLDER.
# README.md beside this file says what they hold and which commit wrote them.
set -euo pipefail
PROGRAM=$1
FOLDER=$2
WORK=$(mktemp -d)
trap 'stop_all; rm -rf "$WORK"' EXIT
. "$(cd "$(dirname "$0")/.." && pwd)/compatibility_lib.sh"

lock_addresses
start_coordinators --new -- 1 2 3

printf '[[partner]]\nname = "dealers"\nrate = 400\nburst = 600\n' >"$WORK/budgets.toml"
printf '[[floor]]\npartner = "dealers"\nsite = "north"\nrate = 20\nburst = 60\n' >>"$WORK/budgets.toml"
fleet quota set "$WORK/budgets.toml"
fleet quota freeze dealers
fleet migrate start rates --shards 4
stop_all
mkdir "$WORK/without_snapshot"
cp -r "$WORK"/coordinator[12] "$WORK/without_snapshot"
start_coordinators -- 1 2 3

listen=$(free_port)
admin=$(free_port)
node_file "$listen" "$admin" "${COORDINATORS[0]}" "$WORK" >"$WORK/node.toml"
start_node "$admin"

# Versions of documents, one of them a return to an earlier one; entries enough for a snapshot; then some entries behind it.
propose() { fleet rules propose "$1" "$WORK/$1" --mode strict --without-permit keep; }
printf 'kind servers\nsource hand\nserver s3 out\n' >"$WORK/hand"
propose hand
for desk in retail wholesale; do
    printf 'kind headers\nset x-desk %s\nremove x-debug\n' "$desk" >"$WORK/headers"
    propose headers
done
fleet rules back headers
for _ in $(seq 100); do fleet quota set "$WORK/budgets.toml" >/dev/null; done
ls "$WORK"/coordinator1/snapshot-* >/dev/null
printf 'kind headers\nset x-desk wholesale\nremove x-debug\n' >"$WORK/headers"
propose headers

# Server s1 was taken out and put back, s2 is out.
call PUT "$admin" /ops/servers/down/s1 >/dev/null
call PUT "$admin" /ops/servers/down/s2 >/dev/null
call PUT "$admin" /ops/servers/up/s1 >/dev/null
within 10 call_shows GET "$admin" /ops/stats 'app_cluster_unhealthy 2'
sleep 1.5  # a renewal, behind which the node has what it acts on in its file
coordinator_state >"$WORK/coordinator_state"
stop_all

# Two of three coordinators are a majority.
mkdir -p "$FOLDER"
rm -rf "$FOLDER"/{without_snapshot,coordinator1,coordinator2,coordinator_state,documents,audit.log,node.hands}
cp -r "$WORK"/{without_snapshot,coordinator1,coordinator2,coordinator_state,documents,audit.log} "$FOLDER"
cp "$WORK/ochrehub-127.0.0.1-$listen.hands" "$FOLDER/node.hands"
