#!/usr/bin/env bash
# glossary.sh finds rows that name what does not exist: each case is a small tree with one row wrong.
set -euo pipefail
script=$(cd "$(dirname "$0")" && pwd)/glossary.sh
tree=$(mktemp -d)
trap 'rm -rf "$tree"' EXIT

fresh() {
    rm -rf "${tree:?}"/*
    mkdir -p "$tree"/{docs,src/balancer}
    echo 'class SlowStart {};' >"$tree/src/balancer/slow_start.h"
    cat >"$tree/docs/glossary.md" <<'PAGE'
# Glossary

| former word | code's term | meaning | file |
| --- | --- | --- | --- |
| warmth | `SlowStart` | growing share | `src/balancer/slow_start.h` |
| rules | `src/balancer/` | decisions | `src/balancer/` |

| another | table |
| --- | --- |
| of | no terms |
PAGE
}
row() { sed -i "6a $1" "$tree/docs/glossary.md"; }
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
fresh && rm "$tree/docs/glossary.md" && fails 'no such page'
exit 0
