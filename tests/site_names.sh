#!/usr/bin/env bash
# What ships knows no deployment by name: site_names.sh ROOT. Names are those of the site files in deploy/sites/ and of
# tests/site_names.txt. One that is a word by itself (a zone called "weir") counts where it is a whole literal or a whole
# value, since code may have the word too; one with a hyphen wherever it stands whole. Comments are prose.
set -euo pipefail
cd "$1"
shopt -s nullglob
sites=(deploy/sites/*.toml)
[ "${#sites[@]}" -gt 0 ] || { echo "deploy/sites: no site files"; exit 1; }
# Sections that have no name of the deployment's own: troubles, which are the bench's.
names=$(awk '
    FNR == 1 { section = "" }
    /^[ \t]*\[/ { section = $0; gsub(/[][ \t]|#.*/, "", section); next }
    /^[ \t]*name[ \t]*=/ && section != "trouble" { split($0, quoted, "\""); print quoted[2]; ++count[FILENAME] }
    /^[ \t]*zones[ \t]*=/ {
        n = split($0, quoted, "\"")
        for (i = 2; i <= n; i += 2) { print quoted[i]; ++count[FILENAME] }
    }
    END { for (i = 1; i < ARGC; ++i) if (count[ARGV[i]] < 4) { print ARGV[i] ": hardly a name" >"/dev/stderr"; exit 1 } }
' "${sites[@]}")
names+=$'\n'$(grep -v '^#' tests/site_names.txt)
find src include deploy -path deploy/sites -prune -o -type f -print | sort | names=$names awk '
    BEGIN {
        n = split(ENVIRON["names"], all, "\n")
        for (i = 1; i <= n; ++i) {
            if (all[i] ~ /-/) joined[all[i]]
            else if (length(all[i]) > 2) plain[all[i]]  # a zone called "a" is no word to look for
        }
    }
    function found(name) { print file ":" line ": " name " is a name of one deployment"; bad = 1 }
    {
        file = $0
        config = file ~ /^deploy\//
        ++files
        for (line = 1; (getline text < file) > 0; ++line) {
            if (config) sub(/(^|[ \t])#.*/, "", text)
            else sub(/(^|[ \t;{}])\/\/.*/, "", text)
            # Words that hyphens join are one: "up-order-web" is not "order-web".
            rest = text
            while (match(rest, /[A-Za-z0-9_]+(-[A-Za-z0-9_]+)*/)) {
                word = substr(rest, RSTART, RLENGTH)
                rest = substr(rest, RSTART + RLENGTH)
                if (word in joined) found(word)
                else if (config && (word in plain)) found(word)
            }
            if (config) continue
            quotes = split(text, quoted, "\"")
            for (i = 2; i < quotes; i += 2) {
                sub(/^\//, "", quoted[i])  # a class stands first in a path
                if (quoted[i] in plain) found(quoted[i])
            }
        }
        close(file)
    }
    END { if (files == 0) { print "no files"; bad = 1 } exit bad }
'
