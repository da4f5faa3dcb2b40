package planner

import (
	"time"

	"github.com/hatchplank/hatchplank/internal/table"
)

const (
	// regularGaps is how many equal gaps between sessions make them recurring.
	regularGaps = 2
	// regularTolerance is the relative difference between equal gaps, and
	// regularSlack the difference that is always allowed: openings are detected
	// by the first calls, which come a little earlier or later each time.
	regularTolerance = 0.02
	regularSlack     = 3 * time.Minute
	// openingMargin is how much earlier than predicted a session may open.
	openingMargin = 90 * time.Second
	// longestLead bounds how far ahead of a foreseen session loads begin.
	longestLead = 10 * time.Minute
)

// foreseeOpenings wants one replica of the rows that are likely to be called
// soon: the siblings of rows that a tenant just began to call, and the rows of
// a session that recurs regularly.
func (w *workspace) foreseeOpenings() {
	if w.snapshot.Statistics == nil {
		return
	}
	called := w.calledByTenant()
	openings := map[string]expectedOpening{}
	w.expected = make([]bool, len(w.rows))
	for i := range w.rows {
		row := &w.snapshot.Rows[i]
		if row.Kind != table.KindModel || row.Max <= 0 || w.rows[i].refused != "" {
			continue
		}
		open, known := openings[row.Tenant]
		if !known {
			open = w.opening(row.Tenant, called[row.Tenant])
			openings[row.Tenant] = open
		}
		if open.expected && w.worthForeseeing(i, open.ahead) {
			w.expected[i] = true
			w.rows[i].want(1, ReasonForeseen)
		}
	}
}

// calledByTenant counts the rows of each tenant called within the window.
func (w *workspace) calledByTenant() map[string]int {
	called := map[string]int{}
	for i := range w.rows {
		statistics := w.snapshot.Statistics.Row(w.snapshot.Rows[i].Name)
		if statistics == nil || statistics.LastUsed.IsZero() {
			continue
		}
		if w.snapshot.Now.Sub(statistics.LastUsed) < w.policy.parameters.OpeningWindow {
			called[w.snapshot.Rows[i].Tenant]++
		}
	}
	return called
}

// expectedOpening tells whether a tenant's session has just begun or is about
// to, and how far ahead it is.
type expectedOpening struct {
	expected bool
	ahead    time.Duration
}

func (w *workspace) opening(name string, called int) expectedOpening {
	tenant := w.snapshot.Statistics.Tenant(name)
	if tenant == nil || len(tenant.Starts) == 0 {
		return expectedOpening{}
	}
	sinceStart := w.snapshot.Now.Sub(tenant.Starts[len(tenant.Starts)-1])
	if tenant.Active && sinceStart < w.policy.parameters.OpeningHold {
		return expectedOpening{expected: called >= w.policy.parameters.OpeningRows}
	}
	next, regular := tenant.nextStart()
	until := next.Sub(w.snapshot.Now)
	return expectedOpening{
		expected: regular && until < w.lead(name) && -until < w.policy.parameters.OpeningHold,
		ahead:    max(0, until),
	}
}

// nextStart predicts the tenant's next session from equal gaps.
func (t *TenantStatistics) nextStart() (time.Time, bool) {
	if len(t.Starts) <= regularGaps {
		return time.Time{}, false
	}
	last := len(t.Starts) - 1
	gap := t.Starts[last].Sub(t.Starts[last-1])
	for k := 1; k < regularGaps; k++ {
		other := t.Starts[last-k].Sub(t.Starts[last-k-1])
		allowed := max(regularSlack, time.Duration(regularTolerance*float64(gap)))
		if (gap - other).Abs() > min(allowed, gap/4) {
			return time.Time{}, false
		}
	}
	return t.Starts[last].Add(gap), true
}

// lead is how long before a session its loads begin, so that all are ready.
func (w *workspace) lead(tenant string) time.Duration {
	loading, longest := 0.0, 0.0
	for i := range w.rows {
		row := &w.snapshot.Rows[i]
		if row.Tenant != tenant || row.Kind != table.KindModel || w.snapshot.Statistics.Row(row.Name) == nil {
			continue
		}
		loading += w.coldSeconds(i)
		longest = max(longest, w.coldSeconds(i))
	}
	parallel := float64(max(1, w.snapshot.Store.FullSpeedLoads))
	return min(longestLead, openingMargin+seconds(longest+loading/parallel))
}

// worthForeseeing weighs a cold start spared against idling until the opening
// and, if the row is not called, in vain after it.
func (w *workspace) worthForeseeing(i int, ahead time.Duration) bool {
	row := &w.snapshot.Rows[i]
	share := w.snapshot.Statistics.SessionShare(row.Name, row.Tenant)
	idle := ahead.Seconds() + (1-share)*w.policy.parameters.OpeningHold.Seconds()
	return share*w.coldCost(i) > w.idleCostPerSecond(i)*idle
}

// foreseen reports whether the row is expected to be called soon.
func (w *workspace) foreseen(i int) bool { return w.expected != nil && w.expected[i] }

// foreseenWorth is what a load ahead of need may cost its victims, in the
// measure of coldStartCost.
func (w *workspace) foreseenWorth(i int) float64 {
	row := &w.snapshot.Rows[i]
	weight := float64(max(1, row.Weight)) * float64(1+row.Priority)
	if !w.foreseen(i) {
		return w.coldSeconds(i) * weight
	}
	return w.snapshot.Statistics.SessionShare(row.Name, row.Tenant) * w.coldSeconds(i) * weight
}
