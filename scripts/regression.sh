#!/usr/bin/env bash
# Scores the users' site files one after the other with their benchmark program, and prints the worth (score) of each
# day next to that of an earlier run.
# Usage: scripts/regression.sh BENCH SYSTEM OUT [EARLIER]
# OUT and EARLIER are directories with the results of each site.
set -euo pipefail
cd "$(dirname "$0")/.."
bench=$1 system=$2 out=$3 earlier=${4:-}
jobs=${JOBS:-3}
# The large site file replaces the oldest ones, those in sites/.
sites=(further/rollbesked-gw further-grown/rollbesked-gw-grown large/chalet-gate-large grown/chalet-gate-grown grown/odalaigh-gw-grown)
mkdir -p "$out"
failed=0
for site in "${sites[@]}"; do
  name=$(basename "$site")
  "$bench" score "$system/$site.toml" --jobs "$jobs" --why "${WHY:-regression}" > "$out/$name.txt" || failed=1
  # Writes one line per day: its name and its worth.
  sed -n 's/^\([a-z]*-[0-9a-f]*\)  *[0-9]*\/[0-9]*  *[0-9.-]*  *\([0-9.-]*\) .*/\1 \2/p' "$out/$name.txt" > "$out/$name.worth"
  echo "$name: $(grep -o 'GATE [a-z]*' "$out/$name.txt" || echo 'not played')"
  while read -r day worth; do
    before=$(sed -n "s/^$day //p" "$earlier/$name.worth" 2>/dev/null || true)
    printf '  %-12s %s %s\n' "$day" "$worth" "${before:+(before $before)}"
  done < "$out/$name.worth"
  grep -q 'GATE passed' "$out/$name.txt" || failed=1
done
exit $failed
