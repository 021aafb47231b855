#!/usr/bin/env bash
# Checks that dependencies in src/ point downwards: layering.sh SRC. A folder is a module that src/CMakeLists.txt declares (below
# fleet/ each folder is one). A module links only modules declared above it, and its files include only their own module and
# what it links, directly or transitively. The decision core (balancer/) includes only itself and include/ochrehub.
set -euo pipefail
cd "$1"
awk '
    # name of the module and all words of its declaration, over as many lines as that takes
    /ochrehub_module\(/ && !/function\(/ { text = ""; open = 1 }
    open { text = text " " $0 }
    open && /\)[ \t]*$/ {
        open = 0
        sub(/.*ochrehub_module\(/, "", text)
        count = split(text, words, /[ \t()]+/)
        name = words[1]
        sub(/\//, "_", name)
        modules = modules " " name
        reach[name, name] = 1
        for (i = 2; i <= count; ++i) {
            if (words[i] !~ /^ochrehub_/ || words[i] ~ /^ochrehub_proto_/) continue
            to = substr(words[i], 10)
            if (!((to, to) in reach)) { print "CMakeLists.txt: " name " links " to ", which is not above it"; bad = 1 }
            split(modules, known, " ")
            for (k in known) if ((to, known[k]) in reach) reach[name, known[k]] = 1
        }
    }
    END {
        while (("find . -mindepth 2 -name \"*.[hc]*\" | sort" | getline file) > 0) {
            split(file, parts, "/")
            module = parts[2] == "fleet" ? parts[2] "_" parts[3] : parts[2]
            core = module == "balancer"  # built by the top CMakeLists.txt, below all modules
            if (!core && !((module, module) in reach)) { print file ": is in no module"; bad = 1; continue }
            for (line = 1; (getline text < file) > 0; ++line) {
                if (text !~ /^[ \t]*#[ \t]*include[ \t]*"/) continue
                split(text, quoted, "\"")
                split(quoted[2], path, "/")
                if (path[1] == "ochrehub") continue  # the public interface of the decision core
                if (core && path[1] == "balancer") continue
                to = path[1] == "fleet" ? path[1] "_" path[2] : path[1]
                if (!((module, to) in reach)) {
                    print file ":" line ": " module " includes " quoted[2] ", which it does not link"
                    bad = 1
                }
            }
            ++files
        }
        if (files == 0) { print "no files"; bad = 1 }
        exit bad
    }
' CMakeLists.txt
