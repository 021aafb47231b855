#!/bin/sh
# 1: the rule was broken, 0: it held, 2: the case could not run. TROUBLE=0: without the disruption.
here=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$here/../.." && pwd)
[ -x "$root/build/ochrehub" ] && [ -x "$root/build-review/slow_at_stop" ] || exit 2
exec "$root/build-review/slow_at_stop" "$root" "$here"
