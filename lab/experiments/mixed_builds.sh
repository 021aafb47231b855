#!/usr/bin/env bash
# Whether two builds work on each other's data and beside each other's processes, for each release: mixed_builds.sh BEFORE AFTER.
# BEFORE and AFTER are build folders with tests and lab. Prints a line for each check; takes about two minutes. Exit code 0: all
# passed; 1: one failed.
#
#   data       what one build writes (coordinators' logs and snapshots, a node's copy of documents, an audit, a handover file) is
#              read by the other, both ways; settings files are judged alike; scenarios and result files of the lab
#   processes  coordinators of both builds in one cluster with a change of leader, and commands of both; nodes of both in one fleet;
#              shard holders of both; handovers from one build to the other and back
set -euo pipefail
before=$(cd "$1" && pwd) after=$(cd "$2" && pwd)
cd "$(dirname "$0")/../.."
work=$(mktemp -d)
failures=0
result() { # STATUS NAME LOG
    if [ "$1" -eq 0 ]; then echo "passed: $2"; else echo "FAILED: $2"; tail -20 "$3"; failures=$((failures + 1)); fi
}
check() { # NAME COMMAND...
    local name=$1 status=0
    shift
    "$@" >"$work/log" 2>&1 || status=$?
    result "$status" "$name" "$work/log"
}
# picker FILE PATTERN PROGRAM...: a program in FILE that runs PROGRAM, relative to a build folder, of BEFORE or AFTER as the next letter
# (b or a) of PATTERN says; behind the end of PATTERN from its beginning again.
picker() {
    cat >"$1" <<SCRIPT
#!/usr/bin/env bash
exec 9>>"$1.count"
flock 9
n=\$(wc -c <"$1.count")
printf . >&9
exec 9>&-
pattern=$2
case \${pattern:n % \${#pattern}:1} in
b) exec "$before/$3" "\$@" ;;
a) exec "$after/$3" "\$@" ;;
esac
SCRIPT
    chmod +x "$1"
}

# Data, both ways.
data() { # WRITER READER: build folders
    rm -rf "$work/fixtures"
    TZ=UTC tests/compatibility/write.sh "$1/ochrehub" "$work/fixtures" && tests/compatibility.sh "$2/ochrehub" "$work/fixtures"
}
check "data written by BEFORE, read by AFTER" data "$before" "$after"
check "data written by AFTER, read by BEFORE" data "$after" "$before"

# Settings files: the same verdict, and the same values in force. Descriptions and texts of faults may differ.
settings_alike() {
    local file
    for file in "$work"/settings/*; do
        local verdicts=()
        for build in "$before" "$after"; do
            local code=0
            GW_CONFIG= "$build/ochrehub" check "$file" >"$work/checked.$(basename "$build")" 2>&1 || code=$?
            verdicts+=("$code $(awk '{ print $1 }' "$work/checked.$(basename "$build")" | sha256sum)")
        done
        [ "${verdicts[0]}" = "${verdicts[1]}" ] || { echo "$(basename "$file"): ${verdicts[*]}"; return 1; }
    done
    echo "$(find "$work/settings" -type f | wc -l) files"
}
mkdir "$work/settings"
sed -n '/^    listen = /,/^- Nothing/{/^    /s/^    //p;/^$/p}' docs/configuration.md >"$work/settings/example.toml"
sed 's/^listen = .*/listen = 7/; s/^\[\[server\]\]/[[servers]]/' "$work/settings/example.toml" >"$work/settings/faulty.toml"
cp deploy/ochrehub.conf "$work/settings/"
printf 'audit maybe\nfigures\nnothing 1\n' >"$work/settings/faulty.conf"
check "settings files are judged alike" settings_alike

# The lab: a scenario gives the same results on both, and each build reads the other's.
results_alike() {
    "$before/ochrehub_lab" simulate tiny --seeds 1..3 --quiet --json "$work/before.json"
    "$after/ochrehub_lab" simulate tiny --seeds 1..3 --quiet --json "$work/after.json"
    cmp "$work/before.json" "$work/after.json" || cmp <(grep -v version "$work/before.json") <(grep -v version "$work/after.json")
    "$before/ochrehub_lab" report "$work/after.json" -o "$work/page_before"
    "$after/ochrehub_lab" report "$work/before.json" -o "$work/page_after"
    "$before/ochrehub_lab" compare "$work/before.json" "$work/after.json"
    "$after/ochrehub_lab" compare "$work/before.json" "$work/after.json"
}
check "the lab's results are alike, and read by both" results_alike

# Coordinators of both builds in one cluster. A new leader is elected, of the other build where one is left of it.
coordinators() { # PATTERN: the build of coordinators 1 to 3
    rm -rf "$work/cluster"
    mkdir "$work/cluster"
    (
        WORK=$work/cluster
        . tests/compatibility_lib.sh
        trap stop_all EXIT
        lock_addresses
        for i in 0 1 2; do
            case ${1:i:1} in b) folder=$before ;; *) folder=$after ;; esac
            printf '%s\n' "$folder" >"$WORK/build$((i + 1))"
        done
        cat >"$WORK/program" <<SCRIPT
#!/usr/bin/env bash
for word in "\$@"; do
    case \$word in *coordinator[123].toml) number=\${word%.toml} number=\${number: -1} ;; esac
done
[ "\$1" = keeper ] || exec "\${COMMANDS:-$after}/ochrehub" "\$@"
exec "\$(cat "$WORK/build\$number")/ochrehub" "\$@"
SCRIPT
        chmod +x "$WORK/program"
        PROGRAM=$WORK/program
        start_coordinators --new -- 1 2 3
        leader() { fleet keepers --json | grep -oE '"leader":[0-9]+' | head -1 | grep -oE '[0-9]+$'; }
        budgets() { printf '[[partner]]\nname = "dealers"\nrate = %s\nburst = 600\n' "$1" >"$WORK/budgets.toml"; }
        rate_is() { fleet quota show dealers --json | grep -q "\"rate\":$1"; }
        rate=100 folders=
        for round in 1 2; do
            for commands in "$before" "$after"; do
                export COMMANDS=$commands
                rate=$((rate + 100))
                budgets "$rate"
                within 20 fleet quota set "$WORK/budgets.toml" || fail "nothing can be written, round $round"
                within 20 rate_is "$((rate / 100))E2" || fail "what was written is not there, round $round"
            done
            [ "$round" = 1 ] || break
            first=$(leader)
            echo "leader $first, of $(cat "$WORK/build$first")"
            kill "${processes[first - 1]}"
            wait "${processes[first - 1]}" || fail "the leader ended with an error"
            other_leads() { now=$(leader) && [ -n "$now" ] && [ "$now" != "$first" ]; }
            within 30 other_leads || fail "no other leader"
            echo "then $now, of $(cat "$WORK/build$now")"
            unset "processes[first-1]"
            "$PROGRAM" keeper --config "$WORK/coordinator$first.toml" 2>>"$WORK/coordinator$first.err" 8>&- &
            processes+=($!)
        done
        for number in 1 2 3; do
            other=$before
            [ "$(cat "$WORK/build$number")" = "$before" ] && other=$after
            folders="$folders $number:$other"
        done
        end_all
        # Each folder is whole for the other build too.
        for pair in $folders; do
            "${pair#*:}/ochrehub" keeper verify "$WORK/coordinator${pair%%:*}" --cluster compatibility || fail "coordinator ${pair%%:*}: damaged"
        done
    )
}
for pattern in bba aab; do check "coordinators $pattern (b: BEFORE, a: AFTER), with a change of leader" coordinators "$pattern"; done

# Nodes with [fleet] of both builds in one group, with faults between them.
picker "$work/node" ba ochrehub
check "nodes of both builds in one fleet" "$after/ochrehub_lab" fleet small --quiet --node "$work/node"
# Shard holders of both builds, and coordinators of both.
picker "$work/keeper" bab ochrehub
picker "$work/holder" ba lab/shards/ochrehub_lab_shards_node
check "shard holders of both builds" "$after/lab/shards/ochrehub_lab_shards_processes" --program "$work/keeper" --node "$work/holder"
# Handovers: the run starts a process, one that dies, and two that take over from the one before.
for pattern in bbab aaba; do
    picker "$work/takeover-$pattern" "$pattern" ochrehub
    check "handovers $pattern" "$after/tests/takeover_run" "$work/takeover-$pattern" tests/exchanges/config.json
done

rm -rf "$work"
[ "$failures" -eq 0 ]
