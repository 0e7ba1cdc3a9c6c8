#!/usr/bin/env bash
# Runs one deployment on loopback for about 10 s, injects faults and checks its guarantees.
set -euo pipefail
cd "$(dirname "$0")/.."
deployment=${DEPLOYMENT:-ke-central}
here=examples/$deployment
work=$(mktemp -d)
trap 'kill $(jobs -p) 2>/dev/null || true; wait 2>/dev/null || true; rm -rf "$work"' EXIT

prefix=${deployment%%-*}
product=bin/mangotack
standin="bin/mangotack-standin --settings $here/standin.json"
centres=(a b c)
leaving=$([ "$prefix" = ke ] && echo menu-03 || echo float-03)
straggler=$([ "$prefix" = ke ] && echo menu-05 || echo float-05)
control=127.0.1.101:7200

start_entry() { # NUMBER
  local n=$1 centre=$((($1 - 1) % 3))
  sed -e "s/\"entry-1\"/\"entry-$n\"/" -e "s/\"$prefix-a\"/\"$prefix-${centres[$centre]}\"/" \
    -e "/\"calls\"\|\"control\"/s/127.0.1.101/127.0.$((centre + 1)).10$n/" "$here/entry.json" >"$work/entry-$n.json"
  $product serve --settings "$work/entry-$n.json" 2>"$work/entry-$n.log" &
  entry_pid[$n]=$!
}
operator() { MANGOTACK_TOKEN=$prefix-operator-token $product "$@"; }
owner() { MANGOTACK_TOKEN=$prefix-owner-token $product "$@"; }
until_ok() { # COMMAND...
  for _ in $(seq 100); do "$@" >/dev/null 2>&1 && return; sleep 0.1; done
  echo "demo: gave up on: $*" >&2
  return 1
}

declare -A entry_pid
$standin serve &
for n in 1 2 3 4 5 6; do start_entry "$n"; done
until_ok operator publish --entry $control "$here/services.json"
operator publish --entry $control "$here/contracts.json" >/dev/null
owner publish --entry $control --wait "$here/approvals.json" | tail -2
sleep 2

$standin load --for 12s --tally "$work/tally.json" --entries 127.0.1.101:7100,127.0.2.102:7100,127.0.3.103:7100 &
load=$!
sleep 1
operator mark --entry $control --leaving --wait $leaving | tail -1
$standin endpoint $leaving --leaving
$standin endpoint $straggler --slower 10
sleep 1
operator amend --entry $control --version 1 --wait "$here/amended.json" | tee "$work/force"
force=$(sed -n 's/^in force everywhere after //p' "$work/force")
$standin log --out
sleep 3
$standin log
{ kill -9 "${entry_pid[5]}"; wait "${entry_pid[5]}" || true; } 2>/dev/null
start_entry 7
wait $load
budget=$(sed -n 's/.*"probes": \([0-9]*\).*/\1/p' "$here/entry.json")
$standin verdict --tally "$work/tally.json" --force "${force:-0s}" --controls 127.0.1.101:7200,127.0.2.102:7200,127.0.3.103:7200,127.0.1.104:7200,127.0.3.106:7200,127.0.1.107:7200 --budget $((budget * 12))
