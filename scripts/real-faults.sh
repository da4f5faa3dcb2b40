#!/usr/bin/env bash
# Runs stand-ins, three nodes and a load as separate processes on loopback,
# injects faults one after the other, and lets the load tool's checker judge the
# whole run from the stand-ins' records and the answers.
#
# Each node in turn is killed and started again, paused past its lease, and
# stopped in order; the key-value service has an outage and loses replies; an
# engine is killed; a machine is reclaimed with a warning; the table is edited. All of it happens
# under load, in about three minutes. The last line is JSON. Exit code 1: a
# promise was broken, a node crashed, or a planned stop or an edit failed.
#
# Only processes that this script started are ended, by their ids.
#
# Needs curl and jq. Environment: HATCHPLANK (program), RATE (requests a second),
# MAX_TOKENS (of an answer), SEED, OUTAGE and PAUSE (seconds), LOAD_SECONDS,
# FAULTS (the faults to inject, in order), STANDIN_PORT, CALLER_PORT, PEER_PORT
# (first ports), WORK (directory for logs).
set -u
cd "$(dirname "$0")/.."

HATCHPLANK=${HATCHPLANK:-bin/hatchplank}
RATE=${RATE:-100}
MAX_TOKENS=${MAX_TOKENS:-48}
SEED=${SEED:-1}
OUTAGE=${OUTAGE:-30}
PAUSE=${PAUSE:-15}
LOAD_SECONDS=${LOAD_SECONDS:-160}
FAULTS=${FAULTS:-"edit kill edit pause outage lost_replies edit stop engine_kill reclaim"}
STANDIN_PORT=${STANDIN_PORT:-17100}
CALLER_PORT=${CALLER_PORT:-18080}
PEER_PORT=${PEER_PORT:-17080}
WORK=${WORK:-$(mktemp -d)}

ZONES=(marousi piraeus koropi)
NODE_COUNT=${#ZONES[@]}
KEY_VALUE=http://127.0.0.1:$STANDIN_PORT
WEIGHT_STORE=http://127.0.0.1:$((STANDIN_PORT + 1))
MACHINE_LIST=http://127.0.0.1:$((STANDIN_PORT + 2))
ADMIN_TOKEN=example-schools-admin
CALLER_TOKEN=example-saronikos-caller
MODELS=saronikos-dossier-gymnasium-14b,saronikos-dossier-primary-32b,saronikos-reply-english-8b,saronikos-reply-greek-14b
EVENTS=$WORK/events.jsonl

declare -a node_pids=()
standin_pid=
load_pid=
crashes=0
failed_stops=0
stops=
edit_count=0
failed_edits=0
edits=
mkdir -p "$WORK"
: >"$EVENTS"

say() { echo "$(date +%T) $*" >&2; }

end_all() {
  for pid in "$load_pid" "${node_pids[@]}" "$standin_pid"; do
    [ -n "$pid" ] && kill -CONT "$pid" 2>/dev/null && kill -KILL "$pid" 2>/dev/null
  done
  wait 2>/dev/null
}
trap end_all EXIT

address_of() { echo "127.0.0.1:$((CALLER_PORT + $1))"; }

# note KIND NODE writes an event of a node for the checker.
note() {
  printf '{"at":"%s","kind":"%s","node":"%s"}\n' "$(date -u +%Y-%m-%dT%H:%M:%S.%NZ)" "$1" "$(address_of "$2")" >>"$EVENTS"
}

# await SECONDS COMMAND... waits until the command succeeds.
await() {
  local limit=$((SECONDS + $1))
  shift
  until "$@" >/dev/null 2>&1; do
    [ $SECONDS -ge $limit ] && return 1
    sleep 0.1
  done
}

is_ready() { curl -fsS -m 2 "http://$(address_of "$1")/readyz"; }

start_node() {
  note starting "$1"
  "$HATCHPLANK" serve --settings examples/schools/settings.yaml --zone "${ZONES[$1]}" \
    --callers "$(address_of "$1")" --peers "127.0.0.1:$((PEER_PORT + $1))" \
    --key-value "$KEY_VALUE" --machine-list "$MACHINE_LIST" --weight-store "$WEIGHT_STORE" \
    >>"$WORK/node$1.log" 2>&1 &
  node_pids[$1]=$!
  await 30 is_ready "$1" || say "node $1 is not ready after 30 s"
  note ready "$1"
}

# check_alive counts a node that ended by itself.
check_alive() {
  kill -0 "${node_pids[$1]}" 2>/dev/null && return
  say "node $1 has crashed"
  crashes=$((crashes + 1))
}

control() { curl -fsS -m 5 -H 'Content-Type: application/json' -X POST "$1" -d "$2" >/dev/null || say "control call failed: $1"; }

kill_each() {
  for node in $(seq 0 $((NODE_COUNT - 1))); do
    say "kill -9 node $node"
    check_alive "$node"
    note killed "$node"
    kill -KILL "${node_pids[$node]}"
    wait "${node_pids[$node]}" 2>/dev/null
    sleep 1
    start_node "$node"
    sleep 2
  done
}

pause_each() {
  for node in $(seq 0 $((NODE_COUNT - 1))); do
    say "pause node $node for $PAUSE s"
    check_alive "$node"
    note paused "$node"
    kill -STOP "${node_pids[$node]}"
    sleep "$PAUSE"
    kill -CONT "${node_pids[$node]}"
    note resumed "$node"
    sleep 3
  done
}

outage() {
  say "key-value outage for $OUTAGE s"
  control "$KEY_VALUE/control/faults" '{"outage":true}'
  sleep "$OUTAGE"
  control "$KEY_VALUE/control/faults" '{}'
  sleep 3
}

lost_replies() {
  say "the key-value service loses 30 % of its replies for 10 s"
  control "$KEY_VALUE/control/faults" '{"lost_replies":0.3}'
  sleep 10
  control "$KEY_VALUE/control/faults" '{}'
}

stop_each() {
  for node in $(seq 0 $((NODE_COUNT - 1))); do
    say "SIGTERM to node $node"
    check_alive "$node"
    note stopping "$node"
    local begun=$(date +%s.%N)
    kill -TERM "${node_pids[$node]}"
    wait "${node_pids[$node]}"
    local code=$?
    local took=$(awk -v a="$begun" -v b="$(date +%s.%N)" 'BEGIN{printf "%.2f", b-a}')
    say "node $node stopped with exit code $code after $took s"
    [ $code -eq 0 ] || failed_stops=$((failed_stops + 1))
    stops="$stops${stops:+,}{\"node\":$node,\"exit_code\":$code,\"seconds\":$took}"
    start_node "$node"
    sleep 2
  done
}

# busy_engine prints the name of an engine that holds a replica of a called
# model, as any node that answers sees it.
busy_engine() {
  local node
  for node in $(seq 0 $((NODE_COUNT - 1))); do
    "$HATCHPLANK" status --node "http://$(address_of "$node")" --token "$ADMIN_TOKEN" --output json 2>/dev/null |
      jq -er --arg models "$MODELS" '[.rows[] | select(.row as $row | $models | split(",") | index($row)) | .replicas[] | .server] | first' &&
      return
  done
  echo glossa-01
}

# port_of SERVER prints the port of an engine.
port_of() { echo $((STANDIN_PORT + 9 + 10#${1##*-})); }

engine_kill() {
  local server=$(busy_engine)
  say "kill $server for 4 s"
  control "http://127.0.0.1:$(port_of "$server")/control/kill" ''
  sleep 4
  control "http://127.0.0.1:$(port_of "$server")/control/restart" ''
  sleep 3
}

reclaim() {
  local server=$(busy_engine)
  say "reclaim $server with 10 s of warning"
  control "$MACHINE_LIST/control/reclaim" "{\"server\":\"$server\",\"warning_milliseconds\":10000}"
  sleep 13
}

# edit changes a row at the second node and measures how long it takes until
# every node says that it acts on it.
edit() {
  edit_count=$((edit_count + 1))
  awk -F, -v OFS=, -v weight="$((20 + edit_count))" 'NR > 1 && $1 == "saronikos-reply-english-8b" {$8 = weight} {print}' \
    examples/schools/table.csv >"$WORK/edited.csv"
  local begun=$(date +%s.%N)
  if ! "$HATCHPLANK" table apply "$WORK/edited.csv" --node "http://$(address_of 1)" --token "$ADMIN_TOKEN" --wait >>"$WORK/apply.log" 2>&1; then
    say "the edit was not accepted or not in force"
    failed_edits=$((failed_edits + 1))
    return
  fi
  local took=$(awk -v a="$begun" -v b="$(date +%s.%N)" 'BEGIN{printf "%.2f", b-a}')
  say "an edit is in force at every node after $took s"
  edits="$edits${edits:+,}$took"
}

inject() {
  case $1 in
  kill) kill_each ;;
  pause) pause_each ;;
  outage) outage ;;
  lost_replies) lost_replies ;;
  stop) stop_each ;;
  engine_kill) engine_kill ;;
  reclaim) reclaim ;;
  edit) edit ;;
  *) say "unknown fault $1" ;;
  esac
}

"$HATCHPLANK" standin all --deployment schools --base-port "$STANDIN_PORT" --time-scale 20 >"$WORK/standin.log" 2>&1 &
standin_pid=$!
await 20 curl -fsS -m 2 "$MACHINE_LIST/control/machines" || { say "the stand-ins do not answer"; exit 1; }
for node in $(seq 0 $((NODE_COUNT - 1))); do start_node "$node"; done
"$HATCHPLANK" table apply examples/schools/table.csv --node "http://$(address_of 0)" --token "$ADMIN_TOKEN" --wait >"$WORK/apply.log" 2>&1 ||
  { say "the table was not applied"; cat "$WORK/apply.log" >&2; exit 1; }

nodes=$(for node in $(seq 0 $((NODE_COUNT - 1))); do echo "http://$(address_of "$node")"; done | paste -sd,)
"$HATCHPLANK" load --nodes "$nodes" --token "$CALLER_TOKEN" --model "$MODELS" --pool eggrafi --pool-path /v1/seats/confirm \
  --max-tokens "$MAX_TOKENS" --non-repeatable 0.5 --rate "$RATE" --duration "${LOAD_SECONDS}s" --seed "$SEED" \
  --time-limit 20s --pool-time-limit 10s --repeat-after 3s --answer-wait 60s \
  --records "$MACHINE_LIST" --key-value-records "$KEY_VALUE" --node-events "$EVENTS" \
  >"$WORK/load.out" 2>"$WORK/load.progress" &
load_pid=$!
sleep 5
for fault in $FAULTS; do inject "$fault"; done
say "faults are over; the load goes on until its end"
wait "$load_pid"
load_code=$?
load_pid=
for node in $(seq 0 $((NODE_COUNT - 1))); do check_alive "$node"; done

grep -v '^{' "$WORK/load.out" >&2
say "logs are in $WORK"
printf '{"load_exit_code":%d,"crashes":%d,"failed_stops":%d,"failed_edits":%d,"stops":[%s],"edits_in_force_s":[%s],"load":%s}\n' \
  "$load_code" "$crashes" "$failed_stops" "$failed_edits" "$stops" "$edits" "$(tail -n 1 "$WORK/load.out")"
[ "$load_code" -eq 0 ] && [ "$crashes" -eq 0 ] && [ "$failed_stops" -eq 0 ] && [ "$failed_edits" -eq 0 ]
