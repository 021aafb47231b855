#!/usr/bin/env bash
# glossary.sh finds rows that name what does not exist: each case is a small tree with one row wrong.
set -euo pipefail
script=$(cd "$(dirname "$0")" && pwd)/glossary.sh
tree=$(mktemp -d)
trap 'rm -rf "$tree"' EXIT

fresh() {
    rm -rf "${tree:?}"/*
    mkdir -p "$tree"/{docs,src/balancer,src/base}
    echo 'struct Place {};  // a Spot' >"$tree/src/base/place.h"
    echo 'class SlowStart {};' >"$tree/src/balancer/slow_start.h"
    cat >"$tree/docs/glossary.md" <<'PAGE'
# Glossary

| former word | code's term | meaning | file |
| --- | --- | --- | --- |
| warmth | `SlowStart` | growing share | `src/balancer/slow_start.h` |
| rules | `src/balancer/` | decisions | `src/balancer/` |

## Not renamed yet

| today's name | meaning | directory |
| --- | --- | --- |
| `Place` | where | `src/base/` |

## More

| another | table |
| --- | --- |
| of | no terms |
PAGE
}
row() { sed -i "6a $1" "$tree/docs/glossary.md"; }
name() { sed -i "12a $1" "$tree/docs/glossary.md"; }
fails() {
    if out=$("$script" "$tree"); then echo "not found: $1"; exit 1; fi
    grep -qF "$1" <<<"$out" || { echo "expected '$1' but came '$out'"; exit 1; }
}

fresh && "$script" "$tree"
fresh && row '| a | `Slow` | part of a word | `src/balancer/slow_start.h` |' &&
    fails 'docs/glossary.md:7: Slow is not in src/balancer/slow_start.h'
fresh && row '| a | `SlowStart` | a file that has gone | `src/rules.cpp` |' && fails ':7: src/rules.cpp: no such file'
fresh && row '| a | `src/rules/` | a directory that has gone | `src/rules/` |' && fails ':7: src/rules/: no such directory'
fresh && row '| a | `src/balancer/` | two directories | `src/` |' && fails ':7: src/balancer/: no such directory'
fresh && row '| a | SlowStart | no backquotes | `src/balancer/slow_start.h` |' && fails ':7: no row with a term and a file'
fresh && row '| a | `SlowStart` | `src/balancer/slow_start.h` |' && fails ':7: no row with a term and a file'
fresh && sed -i '3,6d' "$tree/docs/glossary.md" && fails 'no rows'
fresh && name '| `Room` | renamed | `src/base/` |' && fails ':13: Room is not in src/base/ any more'
fresh && name '| `Plac` | part of a word | `src/base/` |' && fails ':13: Plac is not in src/base/ any more'
fresh && name '| `Spot` | in a comment alone | `src/base/` |' && fails ':13: Spot is not in src/base/ any more'
fresh && name '| `SlowStart` | elsewhere | `src/base/` |' && fails ':13: SlowStart is not in src/base/ any more'
fresh && name '| `Place` | a directory that has gone | `src/room/` |' && fails ':13: src/room/: no such directory'
fresh && name '| Place | no backquotes | `src/base/` |' && fails ':13: no row with a name and a directory'
fresh && name '| `Place` | `src/base/` |' && fails ':13: no row with a name and a directory'
fresh && sed -i "s/today's name/name/" "$tree/docs/glossary.md" && fails ':8: no row with a name and a directory'
fresh && rm "$tree/docs/glossary.md" && fails 'no such page'
exit 0
