#!/usr/bin/env bash
# site_names.sh finds a planted name, and takes no other word for one: each case is a small tree.
set -euo pipefail
here=$(cd "$(dirname "$0")" && pwd)
tree=$(mktemp -d)
trap 'rm -rf "$tree"' EXIT

fresh() {
    rm -rf "${tree:?}"/*
    mkdir -p "$tree"/{src/http,include/ochrehub,deploy/sites,tests}
    cat >"$tree/deploy/sites/port.toml" <<'SITE'
name = "port-side"   # the site
[net]
zones = ["weir", "a", "north-quay"]
[[tier]]
name = "port-web"
[[tier.kind]]
name = "crane"
[[class]]
name = "unload"
[[tenant]]
name = "red-star"
[[trouble]]
name = "hang"
SITE
    printf '# given\ngiven-class\n' >"$tree/tests/site_names.txt"
    echo 'figures on' >"$tree/deploy/ochrehub.conf"
    printf '// As the port-side has it, "weir".\n#include "http/crane.h"\n' >"$tree/src/http/a.cpp"
    echo 'open("a"); log("hang"); int unload = crane(weir); see("the weir", "port-side-by", "unload/all");' >>"$tree/src/http/a.cpp"
}
finds() { # WHERE NAME
    if out=$("$here/site_names.sh" "$tree"); then echo "not found: $1 $2"; exit 1; fi
    grep -qxF "$1: $2 is a name of one deployment" <<<"$out" || { echo "expected '$1' and '$2' but came '$out'"; exit 1; }
}

fresh && "$here/site_names.sh" "$tree"
fresh && printf '\nif (name == "port-side") f();\n' >>"$tree/src/http/a.cpp" && finds src/http/a.cpp:5 port-side
fresh && echo 'f("/unload");' >"$tree/src/b.cpp" && finds src/b.cpp:1 unload
fresh && echo 'f("x", "weir"); // one zone' >"$tree/include/ochrehub/b.h" && finds include/ochrehub/b.h:1 weir
fresh && echo 'f("/v1/given-class?x=1");' >"$tree/src/b.cpp" && finds src/b.cpp:1 given-class
fresh && echo 'f("port-web.crane");' >"$tree/src/b.cpp" && finds src/b.cpp:1 port-web
fresh && echo 'f("http://red-star");' >"$tree/src/b.cpp" && finds src/b.cpp:1 red-star
fresh && printf '# red-star pays\nrewrite_class crane\n' >"$tree/deploy/ochrehub.conf" && finds deploy/ochrehub.conf:2 crane
fresh && echo 'run = "exec x --zone north-quay"' >"$tree/deploy/balancer.toml" && finds deploy/balancer.toml:1 north-quay
broken() { # WORDS
    if out=$("$here/site_names.sh" "$tree" 2>&1); then echo "passed: $1"; exit 1; fi
    grep -qF "$1" <<<"$out" || { echo "expected '$1' but came '$out'"; exit 1; }
}
fresh && echo 'name = "x"' >"$tree/deploy/sites/none.toml" && broken 'none.toml: hardly a name'
fresh && rm "$tree"/deploy/sites/* && broken 'no site files'
