#!/usr/bin/env bash
# The glossary names only what exists: glossary.sh ROOT [PAGE]. In each table whose header has the columns "code's term" and "file",
# a row's term must be found as a whole word in the row's file (a term that ends with "/" is a directory, and the file is the same).
# Both stand in backquotes.
set -euo pipefail
cd "$1"
page=${2:-docs/glossary.md}
[ -e "$page" ] || { echo "$page: no such page"; exit 1; }
rows=$(awk '
    # the cells of a row, without the spaces around them
    function cells(line, out,    count, i) {
        count = split(line, out, "|")
        for (i = 1; i <= count; ++i) gsub(/^[ \t]+|[ \t]+$/, "", out[i])
        return count
    }
    !/^\|/ { term = file = 0; next }
    !term {
        count = cells($0, cell)
        for (i = 1; i <= count; ++i) {
            if (cell[i] == "code\047s term") term = i
            if (cell[i] == "file") file = i
        }
        if (!term || !file) term = file = 0
        width = count
        next
    }
    /^\|[-| ]+$/ { next }
    {
        if (cells($0, cell) != width) print NR "\t?\t?"
        else print NR "\t" cell[term] "\t" cell[file]
    }
' "$page")
[ -n "$rows" ] || { echo "$page: no rows"; exit 1; }
bad=0
complain() {
    echo "$page:$1: $2"
    bad=1
}
while IFS=$'\t' read -r line term file; do
    if [[ ! $term =~ ^\`[^\`]+\`$ || ! $file =~ ^\`[^\`]+\`$ ]]; then
        complain "$line" "no row with a term and a file in backquotes"
        continue
    fi
    term=${term//\`/}
    file=${file//\`/}
    if [[ $term == */ ]]; then
        [ "$term" = "$file" ] && [ -d "$file" ] || complain "$line" "$term: no such directory"
    elif [ ! -f "$file" ]; then
        complain "$line" "$file: no such file"
    elif ! grep -qwF -- "$term" "$file"; then
        complain "$line" "$term is not in $file"
    fi
done <<<"$rows"
exit "$bad"
