package planner

import (
	"math"
	"time"
)

const (
	// sessionWindow and sessionPause: a session begins when enough of a tenant's
	// rows were called within the window, and is over when fewer were within
	// the pause. Stray calls make neither.
	sessionWindow = 2 * time.Minute
	sessionPause  = 15 * time.Minute
	// sessionRows is the least number of rows that make a session, and
	// sessionRowShare the least share of the tenant's known rows.
	sessionRows     = 3
	sessionRowShare = 0.2
	// keptStarts is how many session starts are remembered for a tenant.
	keptStarts = 8
	// sessionMemory weighs older sessions against the newest.
	sessionMemory = 0.8
)

// TenantStatistics is the learned use by one tenant. A session is a time in
// which many of its rows are called, such as an admissions round.
type TenantStatistics struct {
	// Session numbers the sessions; Sessions is their decayed count.
	Session  uint32
	Sessions float32
	LastUsed time.Time
	// Active: the session of this number is not over.
	Active bool
	// Starts of the newest sessions, oldest first.
	Starts []time.Time

	rows []*RowStatistics
}

// observeTenant notes that a row of the tenant, whose own statistics were not
// brought up to date yet, is in use.
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
		tenant.countRows(now, row)
	}
	if tenant.Active {
		tenant.useInSession(row)
	}
}

// countRows ends or begins a session when a row comes into use.
func (t *TenantStatistics) countRows(now time.Time, coming *RowStatistics) {
	enough := max(sessionRows, int(math.Ceil(sessionRowShare*float64(len(t.rows)))))
	recent, lately := 1, 1
	for _, row := range t.rows {
		if row == coming {
			continue
		}
		idle := now.Sub(row.LastUsed)
		if idle < sessionWindow {
			recent++
		}
		if idle < sessionPause {
			lately++
		}
	}
	if t.Active && lately < enough {
		t.Active = false
	}
	if !t.Active && recent >= enough {
		t.startSession(now)
	}
}

func (t *TenantStatistics) startSession(now time.Time) {
	t.Active = true
	t.Session++
	t.Sessions = t.Sessions*sessionMemory + 1
	t.Starts = append(t.Starts, now)
	if len(t.Starts) > keptStarts {
		t.Starts = t.Starts[len(t.Starts)-keptStarts:]
	}
	for _, row := range t.rows {
		if now.Sub(row.LastUsed) < sessionWindow {
			t.useInSession(row)
		}
	}
}

// useInSession counts the present session as one that uses the row.
func (t *TenantStatistics) useInSession(row *RowStatistics) {
	if row.LastSession == t.Session {
		return
	}
	missed := float64(t.Session - row.LastSession)
	row.Sessions = row.Sessions*float32(math.Pow(sessionMemory, missed)) + 1
	row.LastSession = t.Session
}

// SessionShare estimates the probability that a session of the tenant uses the
// row, from the sessions before the one that is active or comes next. 0 when
// there were none.
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
		used *= math.Pow(sessionMemory, float64(tenantStatistics.Session-rowStatistics.LastSession))
	case tenantStatistics.Active:
		used--
	}
	if before <= 0 {
		return 0
	}
	return max(0, min(1, used/before))
}
