#!/usr/bin/env bash
# The lab's command line: what it prints and the status it ends with. commands.sh OCHREHUB_LAB OCHREHUB
set -uo pipefail
lab=$1
node=$2
dir=$(mktemp -d)
trap 'rm -rf "$dir"' EXIT
failed=0
wants() { # STATUS PATTERN COMMAND...
    local status=$1 pattern=$2
    shift 2
    local out got
    out=$("$@" 2>&1)
    got=$?
    if [ "$got" != "$status" ] || ! grep -qE -- "$pattern" <<<"$out"; then
        echo "wanted status $status and '$pattern', got status $got from: $*"
        echo "$out" | head -5
        failed=1
    fi
}

printf 'summary = "s"\n[day]\nlength_s = 1\n[load]\nrate = 50\n[fleet]\nservers = 2\n[nodes]\ncount = 1\n' >"$dir/fine.toml"
cp "$dir/fine.toml" "$dir/missed.toml"
printf '[expect]\n"worth.whole" = ">= 2"\n' >>"$dir/missed.toml"
printf '[load]\nraet = 50\n' >"$dir/wrong.toml"
echo '{}' >"$dir/not.json"

wants 0 'SUBCOMMAND' "$lab" --help
wants 2 'subcommand is required' "$lab"
wants 0 'calls a second of one core' "$lab" simulate "$dir/fine.toml" --seeds 1..3 --jobs 2 --json "$dir/a.json"
wants 0 'calls a second of one core' "$lab" simulate "$dir/fine.toml" --seeds 1..3 --jobs 1 --json "$dir/b.json"
cmp "$dir/a.json" "$dir/b.json" || failed=1
wants 0 '^0\.[0-9]+$' "$lab" figure worth.whole "$dir/a.json"
wants 2 "no figure 'worth.hole'" "$lab" figure worth.hole "$dir/a.json"
wants 0 'index.html' "$lab" report "$dir/a.json" "$dir/b.json" -o "$dir/page"
grep -q '</html>' "$dir/page/index.html" || failed=1
wants 0 '8 members, .* wrong a minute later 0' "$lab" members --members 8 --for 5 --seeds 1..2
wants 2 'not in range' "$lab" members --members 1
wants 0 'one has died +[0-9]+ states, .* 0 promises broken' "$lab" explore --depth 3
wants 0 'worth' "$lab" compare "$dir/a.json" "$dir/b.json"
wants 2 'not.json' "$lab" compare "$dir/a.json" "$dir/not.json"
wants 1 'expected worth.whole >= 2' "$lab" simulate "$dir/missed.toml"
wants 0 '^floors: .*third last [01]\.[0-9]{4}' "$lab" simulate "$dir/fine.toml" --seeds 1..2
wants 2 'wrong.toml:2:1: load.raet: .*rate' "$lab" simulate "$dir/wrong.toml"
wants 2 'no-such' "$lab" simulate no-such-scenario
wants 2 'not FIRST..LAST' "$lab" simulate "$dir/fine.toml" --seeds 3
wants 2 'not FIRST..LAST' "$lab" simulate "$dir/fine.toml" --seeds 3..1
wants 2 '--seeds' "$lab" simulate "$dir/fine.toml" --seed 1 --seeds 1..2
wants 2 'cannot write' "$lab" simulate "$dir/fine.toml" --json "$dir/none/a.json"
wants 0 'calls a second' "$lab" simulate "$dir/fine.toml" --trace "$dir/trace.txt"
grep -q 'try-sent id=' "$dir/trace.txt" || failed=1
wants 2 '10\.0\.0\.1' "$lab" load "$dir/fine.toml" --to 10.0.0.1:80
wants 0 'node_kill' "$lab" scenarios
wants 0 'breaches' "$lab" play "$dir/fine.toml" --node "$node" --json "$dir/p.json"
wants 0 '^0$' "$lab" figure breaches "$dir/p.json"
wants 0 'GW_CONFIG' "$lab" serve "$dir/fine.toml" --for 0.2

printf 'members = 3\ninterval_ms = 200\nlength_s = 20\n[[fault]]\nkind = "kill"\nat_s = 0.2\nwho = "2"\n[expect]\nknown_s = 15\n' >"$dir/fleet.toml"
sed 's/known_s = 15/known_s = 0.1/' "$dir/fleet.toml" >"$dir/fleet_late.toml"
printf 'members = 3\n[[fault]]\nkind = "clock"\nrate = 1.01\n' >"$dir/clock.toml"
wants 0 'known .*, 1 times' "$lab" fleet "$dir/fleet.toml" --node "$node" --quiet --json "$dir/f.json"
wants 0 'index.html' "$lab" report "$dir/f.json" -o "$dir/fleet_page"
grep -q 'shows 2 as dead' "$dir/fleet_page/index.html" || failed=1
wants 0 '3 runs, 0 with a broken promise' "$lab" fleet "$dir/fleet.toml" --world virtual --seeds 1..3
wants 1 'broken: a killed one \(2\) is dead to all others within 0.1 s' "$lab" fleet "$dir/fleet_late.toml" --world virtual
wants 1 'shrunk from 1 faults' "$lab" fleet "$dir/fleet_late.toml" --world virtual --shrink
wants 2 'clock.toml:2:1: fault\[0\]|processes have one clock' "$lab" fleet "$dir/clock.toml" --node "$node"
wants 2 'fleet_wrong.toml:1:1: members' bash -c "echo 'members = 1' >'$dir/fleet_wrong.toml'; '$lab' fleet '$dir/fleet_wrong.toml'"
wants 2 'no scenario of a fleet' "$lab" fleet no-such
# However the rig ends, its processes are gone: interrupted, and killed.
for how in INT KILL; do
    "$lab" fleet "$dir/fleet.toml" --node "$node" --quiet --logs "$dir/logs_$how" >/dev/null 2>&1 &
    rig=$!
    until [ "$( (wc -l <"$dir/logs_$how/1/pids") 2>/dev/null || echo 0)" -ge 3 ]; do sleep 0.02; done
    kill -$how "$rig"
    wait "$rig" 2>/dev/null
    while read -r pid; do
        # Killed with it, they may still be on their way out; one that stays hangs this until its runner ends it.
        while [ -d "/proc/$pid" ] && grep -qs node.toml "/proc/$pid/cmdline"; do sleep 0.02; done
    done <"$dir/logs_$how/1/pids"
done
exit $failed
