package planner

import (
	"time"

	"github.com/hatchplank/hatchplank/internal/table"
)

const (
	// minRegularGaps is how many equal gaps between sessions make them recurring.
	minRegularGaps = 2
	// relativeGapTolerance is the relative difference up to which gaps count as equal, and
	// minGapTolerance the difference that is always allowed: session starts are detected by
	// the first calls, whose times vary a little.
	relativeGapTolerance = 0.02
	minGapTolerance      = 3 * time.Minute
	// sessionStartMargin is how much earlier than predicted a session may start.
	sessionStartMargin = 90 * time.Second
	// maxLead bounds how long before a predicted session its loads begin.
	maxLead = 10 * time.Minute
)

// loadAheadOfSessions raises the desired replicas to one for rows that are likely to be
// called soon: the other rows of a tenant whose session has just started, and the rows of a
// session that recurs regularly.
func (w *workspace) loadAheadOfSessions() {
	if w.snapshot.Statistics == nil {
		return
	}
	recentRows := w.recentRowsByTenant()
	forecasts := map[string]sessionForecast{}
	w.expectedRows = make([]bool, len(w.rows))
	for i := range w.rows {
		row := &w.snapshot.Rows[i]
		if row.Kind != table.KindModel || row.Max <= 0 || w.rows[i].refused != "" {
			continue
		}
		forecast, known := forecasts[row.Tenant]
		if !known {
			forecast = w.forecastSession(row.Tenant, recentRows[row.Tenant])
			forecasts[row.Tenant] = forecast
		}
		if forecast.expected && w.worthLoadingAhead(i, forecast.ahead) {
			w.expectedRows[i] = true
			w.rows[i].raiseDesired(1, ReasonForeseen)
		}
	}
}

// recentRowsByTenant counts the rows of each tenant that were called within the window.
func (w *workspace) recentRowsByTenant() map[string]int {
	recentRows := map[string]int{}
	for i := range w.rows {
		statistics := w.snapshot.Statistics.Row(w.snapshot.Rows[i].Name)
		if statistics == nil || statistics.LastUsed.IsZero() {
			continue
		}
		if w.snapshot.Now.Sub(statistics.LastUsed) < w.policy.parameters.SessionStartWindow {
			recentRows[w.snapshot.Rows[i].Tenant]++
		}
	}
	return recentRows
}

// sessionForecast is the prediction for a tenant's session.
type sessionForecast struct {
	// expected is set if a session has just started or will start soon.
	expected bool
	// ahead is the time until its start; 0 if it has started.
	ahead time.Duration
}

// forecastSession predicts the tenant's session, given how many of its rows were called
// recently.
func (w *workspace) forecastSession(name string, recentRows int) sessionForecast {
	tenant := w.snapshot.Statistics.Tenant(name)
	if tenant == nil || len(tenant.Starts) == 0 {
		return sessionForecast{}
	}
	sinceStart := w.snapshot.Now.Sub(tenant.Starts[len(tenant.Starts)-1])
	if tenant.Active && sinceStart < w.policy.parameters.LoadAheadHold {
		return sessionForecast{expected: recentRows >= w.policy.parameters.SessionStartRows}
	}
	next, regular := tenant.nextStart()
	until := next.Sub(w.snapshot.Now)
	return sessionForecast{
		expected: regular && until < w.lead(name) && -until < w.policy.parameters.LoadAheadHold,
		ahead:    max(0, until),
	}
}

// nextStart predicts the start of the tenant's next session. It returns false if the gaps
// between the last sessions differ.
func (t *TenantStatistics) nextStart() (time.Time, bool) {
	if len(t.Starts) <= minRegularGaps {
		return time.Time{}, false
	}
	last := len(t.Starts) - 1
	gap := t.Starts[last].Sub(t.Starts[last-1])
	for k := 1; k < minRegularGaps; k++ {
		other := t.Starts[last-k].Sub(t.Starts[last-k-1])
		allowed := max(minGapTolerance, time.Duration(relativeGapTolerance*float64(gap)))
		if (gap - other).Abs() > min(allowed, gap/4) {
			return time.Time{}, false
		}
	}
	return t.Starts[last].Add(gap), true
}

// lead returns how long before a session its loads have to begin for all to be ready.
func (w *workspace) lead(tenant string) time.Duration {
	loading, longest := 0.0, 0.0
	for i := range w.rows {
		row := &w.snapshot.Rows[i]
		if row.Tenant != tenant || row.Kind != table.KindModel || w.snapshot.Statistics.Row(row.Name) == nil {
			continue
		}
		loading += w.coldStartSeconds(i)
		longest = max(longest, w.coldStartSeconds(i))
	}
	parallel := float64(max(1, w.snapshot.Store.FullSpeedLoads))
	return min(maxLead, sessionStartMargin+seconds(longest+loading/parallel))
}

// worthLoadingAhead compares the expected cost of the cold start that is avoided with that
// of idling until the session starts and, if the row is not called, for LoadAheadHold more.
func (w *workspace) worthLoadingAhead(i int, ahead time.Duration) bool {
	row := &w.snapshot.Rows[i]
	share := w.snapshot.Statistics.SessionShare(row.Name, row.Tenant)
	idle := ahead.Seconds() + (1-share)*w.policy.parameters.LoadAheadHold.Seconds()
	return share*w.weightedColdStart(i) > w.idleCostPerSecond(i)*idle
}

// isExpected reports whether the row is expected to be called soon.
func (w *workspace) isExpected(i int) bool { return w.expectedRows != nil && w.expectedRows[i] }

// maxVictimCost returns the highest cost of victims for which a row without waiting requests
// is loaded, in the unit of coldStartCost times gigabytes.
func (w *workspace) maxVictimCost(i int) float64 {
	row := &w.snapshot.Rows[i]
	weight := float64(max(1, row.Weight)) * float64(1+row.Priority)
	if !w.isExpected(i) {
		return w.coldStartSeconds(i) * weight
	}
	return w.snapshot.Statistics.SessionShare(row.Name, row.Tenant) * w.coldStartSeconds(i) * weight
}
