package load

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/hatchplank/hatchplank/internal/result"
)

// Range and precision of the recorded times.
const (
	lowestMicroseconds  = 1
	highestMicroseconds = int64(2 * time.Hour / time.Microsecond)
	significantFigures  = 3
)

// Report is the result of a run; it is the last line of JSON.
type Report struct {
	Seed uint64 `json:"seed"`
	// Planned requests were due; Sent is less by NotSent, which the tool itself
	// could not send because too many were in flight.
	Planned int `json:"planned"`
	Sent    int `json:"sent"`
	NotSent int `json:"not_sent"`
	Served  int `json:"served"`
	Refused int `json:"refused"`
	// Unanswered requests got neither an answer nor a refusal.
	Unanswered int `json:"unanswered"`
	// Mismatched answers were not the ones to their requests.
	Mismatched int `json:"mismatched"`
	// Late answers or refusals came after the time limit.
	Late     int `json:"late"`
	Repeated int `json:"repeated"`
	Replayed int `json:"replayed"`
	// RefusedByCode counts refusals by the code's name.
	RefusedByCode map[string]int `json:"refused_by_code"`
	RefusedByRan  map[string]int `json:"refused_by_ran"`
	// UnansweredByReason counts what happened instead.
	UnansweredByReason map[string]int `json:"unanswered_by_reason"`
	FirstChunk         Quantiles      `json:"first_chunk_ms"`
	Total              Quantiles      `json:"total_ms"`
	// SendLag is how late the tool itself sent, against its plan.
	SendLag        Quantiles `json:"send_lag_ms"`
	ElapsedSeconds float64   `json:"elapsed_s"`
	// Verification by the stand-ins' records; nil: not asked for.
	Verification *Verification `json:"verification,omitempty"`
}

// Quantiles of a time, in milliseconds.
type Quantiles struct {
	P50 float64 `json:"p50"`
	P90 float64 `json:"p90"`
	P99 float64 `json:"p99"`
	Max float64 `json:"max"`
}

// Faultless reports whether every request sent was answered in time with its
// own answer or a refusal. If records were verified, the checker's judgement
// goes before the tool's own, since it knows what was done to the nodes.
func (r Report) Faultless() bool {
	if r.Verification != nil {
		return r.Verification.Violations == 0 && r.Verification.ServedWithoutRun == 0 && r.NotSent == 0
	}
	return r.Unanswered == 0 && r.Mismatched == 0 && r.Late == 0 && r.NotSent == 0
}

// recorder collects outcomes; safe for concurrent use.
type recorder struct {
	mutex      sync.Mutex
	report     Report
	inFlight   int
	firstChunk *hdrhistogram.Histogram
	total      *hdrhistogram.Histogram
	sendLag    *hdrhistogram.Histogram
}

func newRecorder(seed uint64) *recorder {
	return &recorder{
		report: Report{
			Seed:          seed,
			RefusedByCode: map[string]int{}, RefusedByRan: map[string]int{}, UnansweredByReason: map[string]int{},
		},
		firstChunk: newHistogram(),
		total:      newHistogram(),
		sendLag:    newHistogram(),
	}
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(lowestMicroseconds, highestMicroseconds, significantFigures)
}

// begin counts a due request and reports whether it may be sent.
func (r *recorder) begin(limit int, lag time.Duration) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.report.Planned++
	if r.inFlight >= limit {
		r.report.NotSent++
		return false
	}
	r.inFlight++
	r.report.Sent++
	recordTime(r.sendLag, lag)
	return true
}

func (r *recorder) end(o outcome) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.inFlight--
	r.report.Repeated += max(o.tries-1, 0)
	if o.late {
		r.report.Late++
	}
	switch o.kind {
	case outcomeServed:
		r.endServed(o)
	case outcomeRefused:
		r.report.Refused++
		r.report.RefusedByCode[result.Code(o.code).Name()]++
		r.report.RefusedByRan[o.ran]++
	default:
		r.report.Unanswered++
		r.report.UnansweredByReason[o.reason]++
	}
}

func (r *recorder) endServed(o outcome) {
	r.report.Served++
	if o.mismatched {
		r.report.Mismatched++
	}
	if o.replayed {
		r.report.Replayed++
	}
	recordTime(r.firstChunk, o.firstChunk)
	recordTime(r.total, o.total)
}

// recordTime clamps a time into the histogram's range, so it can't fail.
func recordTime(histogram *hdrhistogram.Histogram, duration time.Duration) {
	microseconds := min(max(duration.Microseconds(), lowestMicroseconds), highestMicroseconds)
	_ = histogram.RecordValue(microseconds)
}

// snapshot returns the report so far and the number of requests in flight.
func (r *recorder) snapshot(elapsed time.Duration) (Report, int) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	report := r.report
	report.RefusedByCode = maps.Clone(report.RefusedByCode)
	report.RefusedByRan = maps.Clone(report.RefusedByRan)
	report.UnansweredByReason = maps.Clone(report.UnansweredByReason)
	report.FirstChunk = quantilesOf(r.firstChunk)
	report.Total = quantilesOf(r.total)
	report.SendLag = quantilesOf(r.sendLag)
	report.ElapsedSeconds = elapsed.Seconds()
	return report, r.inFlight
}

func quantilesOf(histogram *hdrhistogram.Histogram) Quantiles {
	at := func(quantile float64) float64 { return float64(histogram.ValueAtQuantile(quantile)) / 1000 }
	return Quantiles{P50: at(50), P90: at(90), P99: at(99), Max: float64(histogram.Max()) / 1000}
}

// Write prints the report as a table and then as one line of JSON.
func (r Report) Write(output io.Writer) error {
	table := tabwriter.NewWriter(output, 0, 0, 2, ' ', 0)
	writeLine := newLineWriter(table)
	writeLine("planned", r.Planned)
	writeLine("not sent", r.NotSent)
	writeLine("served", r.Served)
	writeLine("refused", r.Refused)
	for _, code := range slices.Sorted(maps.Keys(r.RefusedByCode)) {
		writeLine("  "+code, r.RefusedByCode[code])
	}
	writeLine("unanswered", r.Unanswered)
	for _, reason := range slices.Sorted(maps.Keys(r.UnansweredByReason)) {
		writeLine("  "+reason, r.UnansweredByReason[reason])
	}
	writeLine("mismatched", r.Mismatched)
	writeLine("late", r.Late)
	writeLine("repeated", r.Repeated)
	writeLine("replayed", r.Replayed)
	writeLine("first chunk, ms", r.FirstChunk)
	writeLine("whole answer, ms", r.Total)
	writeLine("send lag, ms", r.SendLag)
	if r.Verification != nil {
		r.Verification.write(writeLine)
	}
	if err := table.Flush(); err != nil {
		return err
	}
	return json.NewEncoder(output).Encode(r)
}

// newLineWriter returns a function that writes a line of a table.
func newLineWriter(table io.Writer) func(name string, values ...any) {
	return func(name string, values ...any) {
		fmt.Fprint(table, name)
		for _, value := range values {
			fmt.Fprintf(table, "\t%v", value)
		}
		fmt.Fprintln(table)
	}
}

// String gives the quantiles in one line.
func (q Quantiles) String() string {
	return fmt.Sprintf("p50 %.2f  p90 %.2f  p99 %.2f  max %.2f", q.P50, q.P90, q.P99, q.Max)
}
