#!/usr/bin/env bash
# Plays each seed of internal/soak/seeds.txt with the length and the options that stand beside it.
set -euo pipefail
cd "$(dirname "$0")/.."
while read -r seed length options; do
  # Comments tell the cause that a seed has found.
  case "$seed" in '#'* | '') continue ;; esac
  # shellcheck disable=SC2086 # the options are several words
  bin/mangotack-soak --seed "$seed" --for "$length" $options
done < internal/soak/seeds.txt
