#!/usr/bin/env bash
# Plays all days of a folder on a deployment, a few at a time, and prints one
# line for each.
# usage: deploy/days/play.sh PLAYER SITE [FOLDER [AT_ONCE]], the users' program,
# a site file, the folder (this one if left out) and how many days at a time.
set -euo pipefail
player=$1
site=$2
folder=${3:-$(cd "$(dirname "$0")" && pwd)}
at_once=${4:-2}

play() {
  local day=$1 name out
  name=$(basename "$day" .toml)
  out=$("$player" run "$site" "$day" --why "own days: $name" 2>&1) || true
  {
    printf '%-28s ' "$name"
    grep -A1 '^day  ' <<<"$out" | sed -n '2s/^[^ ]* *//p' | cut -c1-180 | grep . || printf 'no result: %s\n' "$(tail -n 1 <<<"$out")"
    grep -E '^the first that is wrong|^BROKEN' <<<"$out" || true
  } | flock "$lock" cat
}
export -f play
export player site
lock=$(mktemp)
export lock
trap 'rm -f "$lock"' EXIT
printf '%s\0' "$folder"/*.toml | xargs -0 -P "$at_once" -I{} bash -c 'play "$1"' _ {}
