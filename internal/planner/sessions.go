package planner

import (
	"math"
	"time"
)

const (
	// sessionWindow and sessionPause: a session starts when enough of a tenant's rows were
	// called within the window, and has ended when fewer were called within the pause.
	// Isolated calls do neither.
	sessionWindow = 2 * time.Minute
	sessionPause  = 15 * time.Minute
	// minSessionRows is the smallest number of rows that make a session, and
	// minSessionRowShare the smallest share of the tenant's rows.
	minSessionRows     = 3
	minSessionRowShare = 0.2
	// maxStarts is how many session starts are kept for a tenant.
	maxStarts = 8
	// sessionDecay is the factor by which each session reduces the weight of earlier ones.
	sessionDecay = 0.8
)

// TenantStatistics are the usage statistics of one tenant. A session is a period in which
// many of its rows are called, such as an admissions round.
type TenantStatistics struct {
	// Session is the number of the latest session; Sessions is their decayed count.
	Session  uint32
	Sessions float32
	LastUsed time.Time
	// Active is set if the latest session has not ended.
	Active bool
	// Starts of the latest sessions, oldest first.
	Starts []time.Time

	rows []*RowStatistics
}

// observeTenant records that a row of the tenant is in use. It must be called before the
// row's own statistics are updated.
func (s *Statistics) observeTenant(now time.Time, name string, row *RowStatistics) {
	tenant := s.tenants[name]
	if tenant == nil {
		tenant = &TenantStatistics{}
		s.tenants[name] = tenant
	}
	if row.Tenant != name || row.LastUsed.IsZero() {
		row.Tenant = name
		tenant.rows = append(tenant.rows, row)
	}
	tenant.LastUsed = now
	if now.Sub(row.LastUsed) >= sessionWindow {
		tenant.updateSession(now, row)
	}
	if tenant.Active {
		tenant.countSessionUse(row)
	}
}

// updateSession ends or starts a session when a row is used that was not used within
// sessionWindow.
func (t *TenantStatistics) updateSession(now time.Time, used *RowStatistics) {
	needed := max(minSessionRows, int(math.Ceil(minSessionRowShare*float64(len(t.rows)))))
	withinWindow, withinPause := 1, 1
	for _, row := range t.rows {
		if row == used {
			continue
		}
		idle := now.Sub(row.LastUsed)
		if idle < sessionWindow {
			withinWindow++
		}
		if idle < sessionPause {
			withinPause++
		}
	}
	if t.Active && withinPause < needed {
		t.Active = false
	}
	if !t.Active && withinWindow >= needed {
		t.startSession(now)
	}
}

func (t *TenantStatistics) startSession(now time.Time) {
	t.Active = true
	t.Session++
	t.Sessions = t.Sessions*sessionDecay + 1
	t.Starts = append(t.Starts, now)
	if len(t.Starts) > maxStarts {
		t.Starts = t.Starts[len(t.Starts)-maxStarts:]
	}
	for _, row := range t.rows {
		if now.Sub(row.LastUsed) < sessionWindow {
			t.countSessionUse(row)
		}
	}
}

// countSessionUse counts the current session as one that uses the row, once.
func (t *TenantStatistics) countSessionUse(row *RowStatistics) {
	if row.LastSession == t.Session {
		return
	}
	missed := float64(t.Session - row.LastSession)
	row.Sessions = row.Sessions*float32(math.Pow(sessionDecay, missed)) + 1
	row.LastSession = t.Session
}

// SessionShare estimates the probability that a session of the tenant uses the row, from the
// completed sessions. It is 0 if there were none.
func (s *Statistics) SessionShare(row, tenant string) float64 {
	rowStatistics, tenantStatistics := s.Row(row), s.Tenant(tenant)
	if rowStatistics == nil || tenantStatistics == nil {
		return 0
	}
	before, used := float64(tenantStatistics.Sessions), float64(rowStatistics.Sessions)
	if tenantStatistics.Active {
		before--
	}
	switch {
	case rowStatistics.LastSession < tenantStatistics.Session:
		used *= math.Pow(sessionDecay, float64(tenantStatistics.Session-rowStatistics.LastSession))
	case tenantStatistics.Active:
		used--
	}
	if before <= 0 {
		return 0
	}
	return max(0, min(1, used/before))
}
