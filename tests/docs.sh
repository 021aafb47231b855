#!/usr/bin/env bash
# The docs name every setting of the operators' file with its default: docs.sh PROGRAM DOCS.
set -euo pipefail
settings=$( ("$1" check /dev/null || true) | grep -E "^(rewrite|audit|figures)")  # without GW_CONFIG: status 1
[ "$(grep -c . <<<"$settings")" -ge 11 ]
while read -r name value source; do
    row=$(grep -F "| \`$name\` |" "$2") || { echo "no row for $name"; exit 1; }
    default=${row##*| }
    [ "$value" = unset ] && value=" |" || value="\`$value\` |"
    # Without rewrites there is no Forwarded either; where there are, it is on.
    [ "$name" = rewrite_forwarded ] && value='`on` |'
    [ "$default" = "${value# }" ] || { echo "$name: the docs say $default, the program $value"; exit 1; }
done <<<"$settings"
