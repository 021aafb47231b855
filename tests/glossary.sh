#!/usr/bin/env bash
# The glossary names only what exists: glossary.sh ROOT [PAGE]. In each table whose header has the columns "code's term" and "file",
# a row's term must be found as a whole word in the row's file (a term that ends with "/" is a directory, and the file is the same).
# In each table with the columns "today's name" and "directory" (what is still to be renamed) the name must be found as a whole word
# in a file of the directory, C++ line comments aside; a section "Not renamed yet" must have such a row. All stand in backquotes.
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
    function end_section() {
        if (section && !names) print section "\tname\t?\t?"
        section = 0
    }
    /^#/ { end_section() }
    /^## Not renamed yet/ { section = NR; names = 0 }
    !/^\|/ { term = file = 0; next }
    !term {
        count = cells($0, cell)
        for (i = 1; i <= count; ++i) {
            if (cell[i] == "code\047s term") { term = i; kind = "term" }
            if (cell[i] == "today\047s name") { term = i; kind = "name" }
            if (cell[i] == "file" || cell[i] == "directory") { file = i; place = cell[i] }
        }
        if (!term || !file || (kind == "term") != (place == "file")) term = file = 0
        width = count
        next
    }
    /^\|[-| ]+$/ { next }
    {
        if (kind == "name") ++names
        if (cells($0, cell) != width) print NR "\t" kind "\t?\t?"
        else print NR "\t" kind "\t" cell[term] "\t" cell[file]
    }
    END { end_section() }
' "$page")
grep -q "^[0-9]*	term	" <<<"$rows" || { echo "$page: no rows"; exit 1; }
bad=0
complain() {
    echo "$page:$1: $2"
    bad=1
}
# whether a file of the directory has the word outside of C++ line comments
stands_in() {
    local file
    while IFS= read -r file; do
        case $file in
        *.h | *.cpp) sed 's://.*::' "$file" ;;
        *) cat "$file" ;;
        esac | grep -wF -- "$1" >/dev/null && return 0
    done < <(grep -rlwF -- "$1" "$2" || true)
    return 1
}
while IFS=$'\t' read -r line kind term file; do
    if [[ ! $term =~ ^\`[^\`]+\`$ || ! $file =~ ^\`[^\`]+\`$ ]]; then
        complain "$line" "no row with a $kind and a $([ "$kind" = term ] && echo file || echo directory) in backquotes"
        continue
    fi
    term=${term//\`/}
    file=${file//\`/}
    if [[ $term == */ ]]; then
        [ "$term" = "$file" ] && [ -d "$file" ] || complain "$line" "$term: no such directory"
    elif [ "$kind" = name ]; then
        if [ ! -d "$file" ]; then
            complain "$line" "$file: no such directory"
        elif ! stands_in "$term" "$file"; then
            complain "$line" "$term is not in $file any more"
        fi
    elif [ ! -f "$file" ]; then
        complain "$line" "$file: no such file"
    elif ! grep -qwF -- "$term" "$file"; then
        complain "$line" "$term is not in $file"
    fi
done <<<"$rows"
exit "$bad"
