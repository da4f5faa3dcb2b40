#!/usr/bin/env bash
# Switches off each mechanism of the decisions in a copy of the tree, one at a time,
# and plays paired days with and without it. Prints what each is worth by site.
# Usage: scripts/ablation.sh BENCH JOBS SITE:DAYS:SEEDS...   (DAYS and SEEDS with commas)
# MECHANISMS="NAME ..." plays only these.
set -euo pipefail
root=$(cd "$(dirname "$0")/.." && pwd)
bench=$1 jobs=$2
shift 2
work=$(mktemp -d)
echo "copy and journal in $work"
git clone -q "$root" "$work/copy"
cd "$work/copy"

# play NAME WHY [paired.py's options]: plays all sites.
play() {
  local name=$1 why=$2 place site days seeds
  shift 2
  for place in "${sites[@]}"; do
    IFS=: read -r site days seeds <<<"$place"
    printf '%-26s %-26s ' "$name" "$(basename "$site" .toml)"
    scripts/paired.py "$bench" "$site" "$work/$name/$(basename "$site")" --against "$work/all/$(basename "$site")" \
      --days "$days" --seeds "$seeds" --jobs "$jobs" --brief --why "trial: ablation, $why"
  done
}

# switch_off NAME FILE OLD NEW: replaces the first place of OLD by NEW.
switch_off() {
  local name=$1 file=$2
  if [[ -n ${MECHANISMS:-} && " $MECHANISMS " != *" $name "* ]]; then return; fi
  if ! OLD=$3 NEW=$4 perl -0pi -e 'BEGIN { $found = 0 } $found = s/\Q$ENV{OLD}\E/$ENV{NEW}/; END { exit !$found }' "$file"; then
    printf '%-26s NOT FOUND in %s\n' "$name" "$file"
    git checkout -q "$file"
    return
  fi
  play "$name" "$name off"
  git checkout -q "$file"
}

sites=("$@")
play all "all mechanisms"
switch_off plan-times internal/forward/delay.go '; planned {' '; planned && false {'
switch_off wait-for-server internal/placement/plan.go 'return w.cold || !server.Busy' 'return !server.Busy'
switch_off wait-for-idle internal/placement/victims.go 'if may && (w.cold || found.wait == 0)' 'if may && found.wait == 0'
switch_off overdue-orders internal/orders/server_table.go 'return e.busyUntil.Sub(now).Abs()' 'return max(e.busyUntil.Sub(now), 0)'
switch_off queue-wait internal/forward/tracker.go 'if ahead <= 0 {' 'if ahead <= 1<<30 {'
switch_off caller-wait-limit internal/forward/caller_time.go 'if fl.route.CallerWaitLimit <= 0 {' 'if true {'
switch_off overdue-estimates internal/forward/delay.go 'return waited + load' 'return max(load-waited, baseDelay)'
switch_off most-urgent-chooses internal/forward/admission.go 'defer f.turns.await(flow.pool, flow.priority, f.latestStart(flow))()' '_ = f.turns.await'
switch_off loads-at-once internal/orders/load_limiter.go 'min(int(l.tokens), l.maxConcurrent-inProgress.count)' 'min(int(l.tokens), max(int(1.75*rate), 1)-inProgress.count)'
switch_off adapters-first internal/placement/plan.go '	p.loadAdapters()
	p.loadModels()' '	p.loadModels()
	p.loadAdapters()'
switch_off prefix-affinity internal/forward/choose.go 'if _, sent := load.prefixes[flow.prefixes[i].hash]; sent {' 'if false {'
switch_off first-choice internal/forward/choose.go 'if preferred && len(flow.prefixes) > 0 {' 'if false {'
switch_off failure-scores internal/forward/score.go 'c.load.failureRate(now) * float64(flow.failureCost(now))' '0 * float64(flow.failureCost(now))'
switch_off latency-scores internal/forward/choose.go 'maxLatencyFactor)' 'maxLatencyFactor) * 0 + 1'
switch_off replicas-by-value internal/placement/plan.go '	p.relieveServers()' ''
switch_off recent-worth internal/placement/recent.go 'if loss := peak.decayed(now); loss >= minRecentLoss {' 'if loss := peak.decayed(now); loss >= 1e9 {'
switch_off store-for-cold internal/placement/victims.go 'source == FromStore && p.delaysColdModel(w)' 'false'
switch_off second-replicas internal/placement/plan.go 'if demand.Rate >= redundancyRate {' 'if false {'
switch_off crowding-cost internal/placement/victims.go 'crowdCost = 0.25' 'crowdCost = 0.0'
switch_off zone-cost internal/placement/victims.go 'zoneCost = 0.1' 'zoneCost = 0.0'
switch_off lapsed-records internal/mirror/grace.go 'if server == nil && granted && m.graceEligible(id) {' 'if server == nil && granted && id == "" {'
switch_off orders-in internal/forward/delay.go 'if ordersIn > 0 {' 'if ordersIn < 0 {'
switch_off doubtful-loads internal/placement/plan.go 'have += p.unconfirmed[name]' ''
switch_off pause-after-failure internal/mirror/reading.go 'min(max(2*m.failurePause, minFailurePause), maxPause)' 'min(minFailurePause, maxPause)'
switch_off few-campaigns internal/orders/election.go 'if _, vacancy = e.vacancy(); vacancy == nil {' 'if false {'
switch_off relay internal/mirror/mirror.go 'now.Sub(m.relayConfirmedAt) < m.maxRelayAge()' 'false'
switch_off first-loads-at-once internal/orders/load_limiter.go 'if !l.measured && loadTime > 0 {' 'if false && !l.measured && loadTime > 0 {'
switch_off quota-urgent-first internal/tenants/account.go 'share := reserveShare * rank' 'share := 0 * reserveShare * rank'
