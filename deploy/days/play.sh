#!/usr/bin/env bash
# Plays all days of this folder on a deployment and prints one line for each.
# usage: deploy/days/play.sh PLAYER SITE, the users' program and a site file
set -euo pipefail
player=$1
site=$2
here=$(cd "$(dirname "$0")" && pwd)
for day in "$here"/*.toml; do
  out=$("$player" run "$site" "$day" --why "own days: $(basename "$day" .toml)" 2>&1) || true
  printf '%-24s ' "$(basename "$day" .toml)"
  grep -E "^$(basename "$day" .toml) " <<<"$out" | cut -c24-200 || printf 'no result: %s\n' "$(tail -n 1 <<<"$out")"
  grep -E "^the first that is wrong|^BROKEN" <<<"$out" || true
done
