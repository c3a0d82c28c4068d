#!/usr/bin/env bash
# Runs the commands of a documentation page: all its code blocks marked sh, in order, in one shell that
# exits at the first command that fails. Usage: scripts/try-page.sh <page>
set -euo pipefail
cd "$(dirname "$0")/.."
page=$1
script=$(mktemp)
trap 'rm -f "$script"' EXIT
{
  echo 'set -euo pipefail'
  # Processes that the page started are killed by their ids.
  echo 'trap '\''for p in $(jobs -p); do kill -CONT $p; kill -KILL $p; done 2>/dev/null || true'\'' EXIT'
  awk '/^```sh$/ {on = 1; next} /^```/ {on = 0} on' "$page"
} >"$script"
if bash -x "$script" 2>&1; then
  echo "try-page: every command of $page succeeded"
else
  echo "try-page: a command of $page failed"
  exit 1
fi
