#!/usr/bin/env bash
# Runs stand-ins, four entries in two zones and a mixed load on loopback while entries are killed,
# stopped and restarted and the store is down. Prints one summary line. Exits with the load's exit code,
# or with 1 when a graceful stop failed.
# Usage: scripts/soak.sh [seconds]; RATE, SEED, OUT, BASE (first port) and
# ENTRY_FLAGS (further flags of the entries) may be set.
set -euo pipefail
cd "$(dirname "$0")/.."
duration=${1:-600}
rate=${RATE:-150}
seed=${SEED:-1}
out=${OUT:-$(mktemp -d)}
bin=$out/bin
mkdir -p "$bin"
go build -o "$bin/" ./cmd/mimosawharf ./cmd/mimosawharfd ./cmd/mimosawharf-standin

base=${BASE:-7600}
platform=127.0.0.1:$base
declare -A pids
zone_of() { case $1 in *1 | *2) echo zone-a ;; *) echo zone-b ;; esac; }
# Ports of an entry: caller, operator, peer, health.
port() { echo $((base + 20 + ${1#entry-} * 10 + $2)); }

run() { # run <name> <command>...: starts a process and stores its id
  local name=$1
  shift
  "$@" >>"$out/$name.log" 2>&1 &
  pids[$name]=$!
}

finish() { # Ends only what this script started, by process id.
  local name
  for name in "${!pids[@]}"; do
    kill -CONT "${pids[$name]}" 2>/dev/null || true
    kill -KILL "${pids[$name]}" 2>/dev/null || true
  done
}
trap finish EXIT

# shellcheck disable=SC2086 # ENTRY_FLAGS holds several words
start_entry() {
  local id=$1 other peers=""
  for other in entry-1 entry-2 entry-3 entry-4; do
    [ "$other" = "$id" ] || peers+="${peers:+,}$other@$(zone_of "$other")@127.0.0.1:$(port "$other" 2)"
  done
  run "$id" "$bin"/mimosawharfd --insecure --entry-id "$id" --zone "$(zone_of "$id")" --peers "$peers" \
    --platform-address "http://$platform" --settle-time 2s ${ENTRY_FLAGS:-} \
    --caller-address "127.0.0.1:$(port "$id" 0)" --operator-address "127.0.0.1:$(port "$id" 1)" \
    --peer-address "127.0.0.1:$(port "$id" 2)" --health-address "127.0.0.1:$(port "$id" 3)"
}

ready() { # waits up to 30 s until an entry is ready
  local i
  for i in $(seq 300); do
    if curl -sf -o /dev/null "http://127.0.0.1:$(port "$1" 3)/readyz"; then return 0; fi
    sleep 0.1
  done
  echo "soak: $1 is not ready" >&2
  exit 1
}

note() { echo "$(date +%T) $*" | tee -a "$out/events.log"; }

memory() { # resident memory in MB of every process
  local name text=""
  for name in $(printf '%s\n' "${!pids[@]}" | sort); do
    text+=" $name=$(awk '/^VmRSS/ {printf "%.0f", $2 / 1024}' "/proc/${pids[$name]}/status" 2>/dev/null)"
  done
  echo "$text"
}

cli() { "$bin"/mimosawharf --operator soak --server "http://127.0.0.1:$(port entry-1 1)" "$@"; }

vms="" endpoints="" names=""
for i in 1 2 3 4 5 6 7 8; do
  zone=$([ "$i" -le 4 ] && echo zone-a || echo zone-b)
  address=127.0.0.1:$((base + i))
  vms+="${vms:+,}vm-$i@$zone@rack-$i@$address"
  endpoints+="${endpoints:+,}$address"
  names+=" vm-$i"
  run "endpoint-$i" "$bin"/mimosawharf-standin endpoint --address "$address" --run-time 20ms --long-run-time 1500ms --long-types export,survey
done
run platform "$bin"/mimosawharf-standin platform --address "$platform" --vms "$vms"
entries=""
for id in entry-1 entry-2 entry-3 entry-4; do
  start_entry "$id"
  entries+="${entries:+,}$id@127.0.0.1:$(port "$id" 0)@127.0.0.1:$(port "$id" 3)"
done
for id in entry-1 entry-2 entry-3 entry-4; do
  for i in $(seq 100); do
    if curl -s -o /dev/null "http://127.0.0.1:$(port "$id" 3)/readyz"; then break; fi
    sleep 0.1
  done
done
until cli pool put --max-unavailable-vms 2 rota; do sleep 0.5; done
cli service put --pool rota --request-type storm-call:normal --request-type week-plan:normal \
  --request-type swap:normal:once --request-type export:long:checkpointable:run=1500ms --request-type survey:long:once:run=1500ms rota
cli account put --secret s3cret --grant rota:storm-call:urgent newsroom
# shellcheck disable=SC2086 # one word for each VM
until cli vm adopt --pool rota $names 2>/dev/null; do sleep 1; done
for id in entry-1 entry-2 entry-3 entry-4; do ready "$id"; done
sleep 3

note "load starts: $duration s at $rate requests/s, seed $seed"
started=$SECONDS
"$bin"/mimosawharf-standin load --entries "$entries" --endpoints "$endpoints" --killed entry-2 --duration "${duration}s" \
  --rate "$rate" --seed "$seed" --records "$out/records" >"$out/load.log" 2>&1 &
load=$!
pids[load]=$load
at() { # at <percent>: waits until that percentage of the run has passed
  local wait=$((started + duration * $1 / 100 - SECONDS))
  [ "$wait" -le 0 ] || sleep "$wait"
}
at 5
memory_start=$(memory)
note "memory in MB:$memory_start"
at 15
note "kill entry-2 (SIGKILL)"
kill -KILL "${pids[entry-2]}"
wait "${pids[entry-2]}" 2>/dev/null || true
sleep 5
note "restart entry-2"
start_entry entry-2
at 35
note "stop entry-3 gracefully (SIGTERM)"
kill -TERM "${pids[entry-3]}"
stopped=0
wait "${pids[entry-3]}" || stopped=$?
note "entry-3 ended with exit code $stopped; restart"
start_entry entry-3
at 50
note "memory in MB:$(memory)"
at 60
# At most a minute, and at most a tenth of the run.
outage=$((duration / 10 < 60 ? duration / 10 : 60))
note "the store is down for $outage s (platform stand-in paused)"
kill -STOP "${pids[platform]}"
sleep "$outage"
kill -CONT "${pids[platform]}"
note "the store is up"
at 80
note "stop entry-4 gracefully (SIGTERM) and restart"
kill -TERM "${pids[entry-4]}"
wait "${pids[entry-4]}" || stopped=$?
start_entry entry-4
at 97
memory_end=$(memory)
note "memory in MB:$memory_end"
code=0
wait "$load" || code=$?
unset "pids[load]"
cat "$out/load.log"
cli status || true
[ "$stopped" -eq 0 ] || code=1
echo "soak: exit=$code graceful-exit=$stopped $(grep '^load:' "$out/load.log" || true) memory-start-mb:$memory_start memory-end-mb:$memory_end"
echo "logs: $out"
exit "$code"
