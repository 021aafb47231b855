#!/usr/bin/env bash
# Membership by gossip in virtual time: what it costs and how soon it sees a death, at three sizes, without loss and with a tenth of
# the datagrams lost; then a thousand hours of ten members. members.sh BUILD [JOBS]
set -euo pipefail
lab=$1/ochrehub_lab jobs=${2:-$(nproc)}
for loss in 0 0.1; do
    "$lab" members --members 10 --loss $loss --seeds 1..200 --jobs "$jobs"
    "$lab" members --members 100 --loss $loss --seeds 1..20 --jobs "$jobs"
    "$lab" members --members 1000 --loss $loss --seeds 1..8 --jobs "$jobs"
done
"$lab" members --members 10 --loss 0.1 --for 3420 --seeds 1..1000 --jobs "$jobs"
