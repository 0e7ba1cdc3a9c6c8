#!/usr/bin/env bash
# Runs the soak test with each seed of internal/soak/seeds.txt, for the duration and with the options on the same line.
set -euo pipefail
cd "$(dirname "$0")/.."
while read -r seed length options; do
  # Skips comments, which state the fault that a seed found, and empty lines.
  case "$seed" in '#'* | '') continue ;; esac
  # shellcheck disable=SC2086 # the options are several words
  bin/mangotack-soak --seed "$seed" --for "$length" $options
done < internal/soak/seeds.txt
