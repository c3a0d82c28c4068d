#!/usr/bin/env bash
# Counts the jobs in log files that did not complete, and those for which mimosawharf explain names no cause.
# Usage: scripts/explain-share.sh <log-file>...
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o bin/mimosawharf ./cmd/mimosawharf
jobs=$(grep -h '"msg":"front: request","method":"POST"' "$@" | grep -o '"job":"[0-9a-f]*"' | cut -d'"' -f4 | sort -u)
completed=$(grep -h '"msg":"shard: job ended"' "$@" | grep '"state":"completed"' | grep -o '"job":"[0-9a-f]*"' | cut -d'"' -f4 | sort -u)
total=0 unexplained=0
for job in $(comm -23 <(echo "$jobs") <(echo "$completed")); do
  total=$((total + 1))
  cause=$(bin/mimosawharf explain "$job" "$@" | tail -n 1)
  case $cause in
    "cause: "*) ;;
    *) unexplained=$((unexplained + 1)); echo "$job: $cause" ;;
  esac
done
echo "$total jobs not completed, $unexplained without a cause"
