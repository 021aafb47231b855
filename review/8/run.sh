#!/usr/bin/env bash
# Does each request get its end within half a second behind its time? One node, three web boxes. One answer in five has
# no length and comes in two pieces; with trouble half of these never end.
here=$(cd "$(dirname "$0")" && pwd)
. "$here/../stand-2/common.sh"

never=0.5
[ "$TROUBLE" = 0 ] && never=0
start_world --boxes 3 --service-least 20 --service-most 60 --no-length 0.2 --piece-ms 80 --never-ends "$never"
start_nodes 1
read -r asked served _ failed _ _ late < <(
    "$peer" clients --log "$log" --to "${ports[0]}" --clients 4 --orders 0.3 --for-ms 8000 --think-ms 20 --stays-ms 3000
) || cannot_run "the clients did not end"
kill -0 "${nodes[0]}" 2>/dev/null || cannot_run "the node ended"
if [ "$late" -gt 0 ]; then
    write_record "BROKEN: $late of $asked requests had no end half a second behind their time ($served served, $failed failed)"
    exit 1
fi
[ "$served" -ge 30 ] || cannot_run "only $served of $asked requests were served"
write_record "held: all $asked requests had their end in time ($served served, $failed failed)"
exit 0
