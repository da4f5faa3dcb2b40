package planner

import (
	"bytes"
	"encoding/gob"
	"math"
	"sort"
	"time"

	"github.com/rotisserie/eris"

	"github.com/hatchplank/hatchplank/internal/outside"
)

const (
	// gapBuckets is the number of buckets for idle gaps, by powers of two of a second. They
	// reach beyond a year.
	gapBuckets = 26
	// minGap is the shortest time between two uses that counts as an idle gap.
	minGap = time.Second
	// minSecondsPerGigabyte is the lower bound of measured load times, since 0 means that
	// nothing was measured.
	minSecondsPerGigabyte = 0.001
	// loadTimeDecay is the weight of earlier load times against the latest one.
	loadTimeDecay = 0.8
)

// RowStatistics are the usage statistics of one row.
type RowStatistics struct {
	LastUsed time.Time
	// Needed[k] is when at least k+1 replicas were last needed.
	Needed []time.Time
	// Gaps counts the idle gaps between uses, by powers of two of a second.
	Gaps []float32
	// Sessions is the decayed count of the tenant's sessions that used the row;
	// LastSession is the number of the latest of them.
	Sessions    float32
	LastSession uint32
	// Tenant of the row when it was last used.
	Tenant string
}

// Statistics are the usage and load times that policies learn from. They are not safe for
// concurrent use.
type Statistics struct {
	rows    map[string]*RowStatistics
	tenants map[string]*TenantStatistics
	// secondsPerGigabyte measured by source; 0 if not measured.
	secondsPerGigabyte [3]float64
	observations       uint64
}

// Observations returns how many observations were made since the statistics were created.
func (s *Statistics) Observations() uint64 { return s.observations }

// NewStatistics returns empty statistics.
func NewStatistics() *Statistics {
	return &Statistics{rows: map[string]*RowStatistics{}, tenants: map[string]*TenantStatistics{}}
}

// Row returns the statistics of a row, or nil if there are none.
func (s *Statistics) Row(name string) *RowStatistics {
	if s == nil {
		return nil
	}
	return s.rows[name]
}

// Tenant returns the statistics of a tenant, or nil if there are none.
func (s *Statistics) Tenant(name string) *TenantStatistics {
	if s == nil {
		return nil
	}
	return s.tenants[name]
}

// Observe records that a row of a tenant is in use now and needs that many replicas.
func (s *Statistics) Observe(now time.Time, row, tenant string, needed int) {
	s.observations++
	statistics := s.rows[row]
	if statistics == nil {
		statistics = &RowStatistics{}
		s.rows[row] = statistics
	}
	s.observeTenant(now, tenant, statistics)
	if gap := now.Sub(statistics.LastUsed); !statistics.LastUsed.IsZero() && gap > minGap {
		statistics.recordGap(gap)
	}
	statistics.LastUsed = now
	for k := range needed {
		if k == len(statistics.Needed) {
			statistics.Needed = append(statistics.Needed, now)
		}
		statistics.Needed[k] = now
	}
}

func (r *RowStatistics) recordGap(gap time.Duration) {
	if r.Gaps == nil {
		r.Gaps = make([]float32, gapBuckets)
	}
	r.Gaps[gapBucket(gap)]++
}

func gapBucket(gap time.Duration) int {
	bucket := int(math.Log2(gap.Seconds()))
	return max(0, min(bucket, gapBuckets-1))
}

// ObserveLoad records how long a load of some bytes took.
func (s *Statistics) ObserveLoad(source outside.CheckpointSource, bytes int64, took time.Duration) {
	if bytes <= 0 || took <= 0 || int(source) >= len(s.secondsPerGigabyte) {
		return
	}
	s.observations++
	transfer := max(0, took-DefaultParameters.LoadOverhead).Seconds()
	measured := max(minSecondsPerGigabyte, transfer/(float64(bytes)/gigabyte))
	known := s.secondsPerGigabyte[source]
	if known > 0 {
		measured = loadTimeDecay*known + (1-loadTimeDecay)*measured
	}
	s.secondsPerGigabyte[source] = measured
}

// measuredSecondsPerGigabyte returns the measured load time from a source, 0 if there is no
// measurement.
func (s *Statistics) measuredSecondsPerGigabyte(source outside.CheckpointSource) float64 {
	if s == nil {
		return 0
	}
	return s.secondsPerGigabyte[source]
}

// namedRow, namedTenant and encodedStatistics are the encoded form. Rows and tenants are
// sorted by name.
type namedRow struct {
	Name string
	RowStatistics
}

type namedTenant struct {
	Name string
	TenantStatistics
}

type encodedStatistics struct {
	Rows               []namedRow
	Tenants            []namedTenant
	SecondsPerGigabyte [3]float64
}

// Encode returns the statistics in a compact form for DecodeStatistics.
func (s *Statistics) Encode() ([]byte, error) {
	encoded := encodedStatistics{SecondsPerGigabyte: s.secondsPerGigabyte}
	for name, row := range s.rows {
		encoded.Rows = append(encoded.Rows, namedRow{name, *row})
	}
	for name, tenant := range s.tenants {
		encoded.Tenants = append(encoded.Tenants, namedTenant{name, *tenant})
	}
	sort.Slice(encoded.Rows, func(i, j int) bool { return encoded.Rows[i].Name < encoded.Rows[j].Name })
	sort.Slice(encoded.Tenants, func(i, j int) bool { return encoded.Tenants[i].Name < encoded.Tenants[j].Name })
	var buffer bytes.Buffer
	err := gob.NewEncoder(&buffer).Encode(encoded)
	return buffer.Bytes(), eris.Wrap(err, "encode statistics")
}

// DecodeStatistics decodes what Encode returned.
func DecodeStatistics(data []byte) (*Statistics, error) {
	var encoded encodedStatistics
	if err := gob.NewDecoder(bytes.NewReader(data)).Decode(&encoded); err != nil {
		return nil, eris.Wrap(err, "decode statistics")
	}
	statistics := NewStatistics()
	statistics.secondsPerGigabyte = encoded.SecondsPerGigabyte
	for _, row := range encoded.Rows {
		if len(row.Gaps) != 0 && len(row.Gaps) != gapBuckets {
			return nil, eris.Errorf("row %q: unexpected number of gap buckets: %d", row.Name, len(row.Gaps))
		}
		statistics.rows[row.Name] = &row.RowStatistics
	}
	for _, tenant := range encoded.Tenants {
		statistics.tenants[tenant.Name] = &tenant.TenantStatistics
	}
	statistics.linkTenants()
	return statistics, nil
}

// linkTenants rebuilds the list of each tenant's rows, in order of name.
func (s *Statistics) linkTenants() {
	names := make([]string, 0, len(s.rows))
	for name := range s.rows {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, tenant := range s.tenants {
		tenant.rows = nil
	}
	for _, name := range names {
		if tenant := s.tenants[s.rows[name].Tenant]; tenant != nil {
			tenant.rows = append(tenant.rows, s.rows[name])
		}
	}
}

// Restore adopts the statistics of an earlier owner for rows, tenants and load sources that
// have none here. It shares their memory.
func (s *Statistics) Restore(earlier *Statistics) {
	for name, row := range earlier.rows {
		if s.rows[name] == nil {
			s.rows[name] = row
		}
	}
	for name, tenant := range earlier.tenants {
		if s.tenants[name] == nil {
			s.tenants[name] = tenant
		}
	}
	for source, rate := range earlier.secondsPerGigabyte {
		if s.secondsPerGigabyte[source] == 0 {
			s.secondsPerGigabyte[source] = rate
		}
	}
	s.linkTenants()
}
