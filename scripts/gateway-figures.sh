#!/usr/bin/env bash
# Measures one node between a load and a stand-in engine, as three processes on
# loopback: what the node adds to the times of a warm model, requests and
# streamed tokens a second and core of the node, and the memory of a waiting
# request. Prints one line of JSON. The engine is made fast, so that its own
# times do not hide the node's.
#
# Environment: HATCHPLANK (program), RATE (requests a second), SECONDS_EACH,
# STREAM_RATE (streams a second of 200 tokens), WAITING (requests), WORK,
# STANDIN_PORT, CALLER_PORT, PEER_PORT.
set -u
cd "$(dirname "$0")/.."

HATCHPLANK=${HATCHPLANK:-bin/hatchplank}
RATE=${RATE:-1000}
SECONDS_EACH=${SECONDS_EACH:-20}
STREAM_RATE=${STREAM_RATE:-120}
WAITING=${WAITING:-2000}
STANDIN_PORT=${STANDIN_PORT:-17300}
CALLER_PORT=${CALLER_PORT:-18280}
PEER_PORT=${PEER_PORT:-17280}
WORK=${WORK:-$(mktemp -d)}
STREAM_TOKENS=200

NODE=http://127.0.0.1:$CALLER_PORT
ADMIN_TOKEN=example-schools-admin
CALLER_TOKEN=example-saronikos-caller
mkdir -p "$WORK"
standin_pid=
node_pid=

say() { echo "$(date +%T) $*" >&2; }
end_all() {
  for pid in "$node_pid" "$standin_pid"; do
    [ -n "$pid" ] && kill -KILL "$pid" 2>/dev/null
  done
  wait 2>/dev/null
}
trap end_all EXIT

await() {
  local limit=$((SECONDS + $1))
  shift
  until "$@" >/dev/null 2>&1; do
    [ $SECONDS -ge $limit ] && return 1
    sleep 0.1
  done
}

# metric NAME prints a metric of the node.
metric() {
  curl -fsS -m 5 -H "Authorization: Bearer $ADMIN_TOKEN" "$NODE/metrics" | awk -v name="$1" '$1 == name {printf "%.6f\n", $2}'
}

load() { "$HATCHPLANK" load --nodes "$NODE" --token "$CALLER_TOKEN" --quiet --time-limit 100s "$@"; }

# number FILE PATH prints a number of the last line of JSON in a file.
number() { tail -n 1 "$1" | jq -r "$2"; }

cat >"$WORK/standin.yaml" <<'YAML'
region: attica
zones: [marousi, piraeus]
store: {loads_per_second: 3, full_speed_loads: 6, bytes_per_second: 1000000000}
pools:
  - {name: glossa, engine: true, servers: 2, accelerators: 8, accelerator_memory_gib: 80,
     step_overhead: 200us, step_per_sequence: 1us, max_batch: 256}
YAML
cat >"$WORK/table.csv" <<'CSV'
name,kind,base,version,weights,tenant,priority,weight,min_replicas,max_replicas,memory,time_limit,repeatable
warm,model,,1,10MB,saronikos,5,10,1,1,8GiB,2m,true
cold,model,,1,60GB,saronikos,5,10,0,1,96GiB,2m,true
CSV

"$HATCHPLANK" standin all --config "$WORK/standin.yaml" --base-port "$STANDIN_PORT" --keep-records=false >"$WORK/standin.log" 2>&1 &
standin_pid=$!
await 20 curl -fsS "http://127.0.0.1:$((STANDIN_PORT + 2))/control/machines" || { say "the stand-ins do not answer"; exit 1; }
GOMAXPROCS=${NODE_PROCS:-} "$HATCHPLANK" serve --settings examples/schools/settings.yaml --zone marousi --log-level "${LOG_LEVEL:-info}" \
  --callers "127.0.0.1:$CALLER_PORT" --peers "127.0.0.1:$PEER_PORT" \
  --key-value "http://127.0.0.1:$STANDIN_PORT" --weight-store "http://127.0.0.1:$((STANDIN_PORT + 1))" \
  --machine-list "http://127.0.0.1:$((STANDIN_PORT + 2))" >"$WORK/node.log" 2>&1 &
node_pid=$!
await 30 curl -fsS "$NODE/readyz" || { say "the node is not ready"; exit 1; }
"$HATCHPLANK" table apply "$WORK/table.csv" --node "$NODE" --token "$ADMIN_TOKEN" >"$WORK/apply.log" 2>&1 || { cat "$WORK/apply.log" >&2; exit 1; }
load --model warm --max-tokens 1 --rate 20 --duration 15s >"$WORK/warm-up.out" 2>&1

# The engine that holds the warm model.
server=$("$HATCHPLANK" status --node "$NODE" --token "$ADMIN_TOKEN" --output json | jq -er '.rows[] | select(.row == "warm") | .replicas[0].server') ||
  { say "the warm model is not loaded"; exit 1; }
ENGINE=http://127.0.0.1:$((STANDIN_PORT + 9 + 10#${server##*-}))

say "comparing $RATE requests a second through the node with as many directly"
before=$(metric process_cpu_seconds_total)
load --model warm --max-tokens 1 --streamed 0 --rate "$RATE" --duration "${SECONDS_EACH}s" --compare-direct "$ENGINE" >"$WORK/compare.out" ||
  say "the comparison was not faultless"
after=$(metric process_cpu_seconds_total)
grep -v '^{' "$WORK/compare.out" >&2
served=$(number "$WORK/compare.out" .through_nodes.served)
per_core=$(awk -v n="$served" -v a="$before" -v b="$after" 'BEGIN{printf "%.0f", n/(b-a)}')

say "streaming $STREAM_RATE answers of $STREAM_TOKENS tokens a second"
before=$(metric process_cpu_seconds_total)
load --model warm --max-tokens "$STREAM_TOKENS" --streamed 1 --rate "$STREAM_RATE" --duration "${SECONDS_EACH}s" >"$WORK/stream.out" ||
  say "the streams were not faultless"
after=$(metric process_cpu_seconds_total)
streams=$(number "$WORK/stream.out" .served)
stream_seconds=$(number "$WORK/stream.out" .elapsed_s)
tokens_per_second=$(awk -v n="$streams" -v t="$STREAM_TOKENS" -v s="$stream_seconds" 'BEGIN{printf "%.0f", n*t/s}')
tokens_per_core=$(awk -v n="$streams" -v t="$STREAM_TOKENS" -v a="$before" -v b="$after" 'BEGIN{printf "%.0f", n*t/(b-a)}')

say "letting $WAITING requests wait for a cold model"
heap_before=$(metric go_memstats_heap_inuse_bytes)
stack_before=$(metric go_memstats_stack_inuse_bytes)
resident_before=$(metric process_resident_memory_bytes)
load --model cold --max-tokens 1 --streamed 0 --rate 1000 --duration 30s --max-requests "$WAITING" --max-in-flight "$WAITING" >"$WORK/waiting.out" 2>&1 &
load_pid=$!
sleep 8
waiting=$(metric hatchplank_waiting_requests)
heap_after=$(metric go_memstats_heap_inuse_bytes)
stack_after=$(metric go_memstats_stack_inuse_bytes)
resident_after=$(metric process_resident_memory_bytes)
[ "${SKIP_WAIT:-}" ] && kill "$load_pid"
wait "$load_pid"
per_waiting() { awk -v a="$1" -v b="$2" -v n="$waiting" 'BEGIN{if (n > 0) printf "%.0f", (b-a)/n; else print 0}'; }

printf '{"rate":%s,"served":%s,"added_p50_ms":%s,"added_p99_ms":%s,"direct_p99_ms":%s,"requests_per_cpu_s":%s,"tokens_per_s":%s,"tokens_per_cpu_s":%s,"waiting":%.0f,"waiting_heap_bytes":%s,"waiting_stack_bytes":%s,"waiting_resident_bytes":%s,"waiting_served":%s}\n' \
  "$RATE" "$served" "$(number "$WORK/compare.out" .added_total_ms.p50)" "$(number "$WORK/compare.out" .added_total_ms.p99)" \
  "$(number "$WORK/compare.out" .direct.total_ms.p99)" "$per_core" "$tokens_per_second" "$tokens_per_core" "$waiting" \
  "$(per_waiting "$heap_before" "$heap_after")" "$(per_waiting "$stack_before" "$stack_after")" \
  "$(per_waiting "$resident_before" "$resident_after")" "$(number "$WORK/waiting.out" .served)"
