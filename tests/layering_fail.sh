#!/usr/bin/env bash
# layering.sh finds dependencies that point upwards: each case is a small tree with one dependency wrong.
set -euo pipefail
script=$(cd "$(dirname "$0")" && pwd)/layering.sh
tree=$(mktemp -d)
trap 'rm -rf "$tree"' EXIT

fresh() {
    rm -rf "${tree:?}"/*
    mkdir "$tree"/{balancer,low,middle,high}
    cat >"$tree/CMakeLists.txt" <<'CMAKE'
function(ochrehub_module name)
endfunction()
ochrehub_module(low SOURCES a.cpp LINKS Threads::Threads)
ochrehub_module(middle SOURCES a.cpp LINKS ochrehub_low)
ochrehub_module(high
  SOURCES a.cpp
  LINKS ochrehub_middle)
CMAKE
    echo '#include "ochrehub/balancer.h"' >"$tree/balancer/balancer.cpp"
    echo '#include <vector>' >"$tree/low/a.h"
    echo '#include "low/a.h"' >"$tree/middle/a.cpp"
    printf '#include "high/b.h"\n  #  include "low/a.h"\n' >"$tree/high/a.cpp"
}
fails() {
    if out=$("$script" "$tree"); then echo "not found: $1"; exit 1; fi
    grep -qF "$1" <<<"$out" || { echo "expected '$1' but came '$out'"; exit 1; }
}

fresh && "$script" "$tree"
fresh && printf '\n#include "middle/a.h"\n' >"$tree/low/a.cpp" && fails './low/a.cpp:2: low includes middle/a.h'
fresh && echo ' # include "high/b.h"' >"$tree/middle/a.h" && fails './middle/a.h:1: middle includes high/b.h'
fresh && echo '#include "lab/model/day.h"' >"$tree/high/c.h" && fails 'high includes lab/model/day.h'
fresh && mkdir "$tree/new" && touch "$tree/new/a.cpp" && fails './new/a.cpp: is in no module'
fresh && sed -i 's/LINKS Threads::Threads/LINKS ochrehub_high/' "$tree/CMakeLists.txt" &&
    fails 'low links high, which is not above it'
nested() {
    fresh
    mkdir -p "$tree"/fleet/{under,over}
    printf 'ochrehub_module(fleet/under SOURCES a.cpp LINKS ochrehub_low)\nochrehub_module(fleet/over SOURCES a.cpp LINKS ochrehub_fleet_under)\n' >>"$tree/CMakeLists.txt"
    echo '#include "low/a.h"' >"$tree/fleet/under/a.h"
    echo '#include "fleet/under/a.h"' >"$tree/fleet/over/a.h"
}
nested && "$script" "$tree"
nested && echo '#include "fleet/over/a.h"' >>"$tree/fleet/under/a.h" &&
    fails './fleet/under/a.h:2: fleet_under includes fleet/over/a.h'
fresh && echo '#include "low/a.h"' >>"$tree/balancer/balancer.cpp" && \
    fails './balancer/balancer.cpp:2: balancer includes low/a.h, which it does not link'
rm -rf "$tree"/{balancer,low,middle,high} && fails 'no files'
