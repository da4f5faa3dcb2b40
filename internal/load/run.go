package load

import (
	"context"
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/rotisserie/eris"
)

// progressPeriod is the time between two lines of progress.
const progressPeriod = time.Second

// DefaultAnswerWait is how long after its time limit a request without answer
// is given up.
const DefaultAnswerWait = 3 * time.Second

// Options of a run.
type Options struct {
	// Nodes are base URLs on loopback addresses.
	Nodes []string
	Token string
	// Rate of arrivals a second.
	Rate     float64
	Duration time.Duration
	Workload Workload
	// Seed decides times, targets and texts.
	Seed uint64
	// TimeLimit of a generation, and PoolTimeLimit of a request to a pool.
	TimeLimit, PoolTimeLimit time.Duration
	// MaxRequests of the run, MaxInFlight at once, MaxTries of one request.
	MaxRequests, MaxInFlight, MaxTries int
	// AnswerWait is how long after its time limit a request without answer is
	// given up; zero: DefaultAnswerWait. It must outlast pauses of nodes.
	AnswerWait time.Duration
	// RepeatAfter sends a non-repeatable request that has no answer by then to
	// the next node too; zero: only after its outcome.
	RepeatAfter time.Duration
	// Records, if set, are checked at the end with all answers. NodeEvents then
	// returns what was done to the nodes; it may be nil.
	Records    *RecordSources
	NodeEvents func() ([]NodeEvent, error)
	// RunID makes the keys of the run unique; empty: chosen at random.
	RunID string
	// Progress receives a line a second; nil: none.
	Progress io.Writer
}

func (o Options) check() error {
	switch {
	case len(o.Nodes) == 0:
		return eris.New("at least one node is needed")
	case !(o.Rate > 0 && o.Rate <= MaxRate):
		return eris.Errorf("the rate must be above 0 and at most %d", MaxRate)
	case o.Duration <= 0 || o.Duration > MaxDuration:
		return eris.Errorf("the duration must be above 0 and at most %s", MaxDuration)
	case !isTimeLimit(o.TimeLimit) || !isTimeLimit(o.PoolTimeLimit):
		return eris.Errorf("the time limits must be above 0 and at most %s", MaxDuration)
	case o.AnswerWait < 0 || o.AnswerWait > MaxDuration || o.RepeatAfter < 0:
		return eris.Errorf("the times to wait for an answer and before a repetition must not be negative, nor above %s", MaxDuration)
	case o.MaxRequests < 1 || o.MaxInFlight < 1 || o.MaxTries < 1:
		return eris.New("the largest numbers of requests, in flight and of tries must be at least 1")
	}
	for _, node := range o.Nodes {
		if err := CheckTarget(node); err != nil {
			return err
		}
	}
	if o.Records != nil {
		if err := o.Records.check(); err != nil {
			return err
		}
	}
	return o.Workload.check()
}

func isTimeLimit(limit time.Duration) bool { return limit > 0 && limit <= MaxDuration }

func (o Options) limitOf(request plannedRequest) time.Duration {
	if request.isGeneration() {
		return o.TimeLimit
	}
	return o.PoolTimeLimit
}

// Run sends the load and waits for every answer, at most the time limit and
// some slack longer than the run. It ends early when the context ends.
func Run(ctx context.Context, options Options) (Report, error) {
	options.Workload.setDefaults()
	if err := options.check(); err != nil {
		return Report{}, err
	}
	options.RunID = orDefault(options.RunID, uuid.NewString()[:8])
	options.AnswerWait = orDefault(options.AnswerWait, DefaultAnswerWait)
	run := &run{options: options, recorder: newRecorder(options.Seed), sender: newSender(options), started: time.Now()}
	report := run.run(ctx)
	if options.Records == nil {
		return report, nil
	}
	verification, err := run.verify(ctx)
	report.Verification = verification
	return report, err
}

// run is one run in progress.
type run struct {
	options  Options
	recorder *recorder
	sender   *sender
	started  time.Time
}

func (r *run) run(ctx context.Context) Report {
	stopProgress := r.startProgress()
	var requests sync.WaitGroup
	r.generate(ctx, &requests)
	requests.Wait()
	r.sender.open.Wait()
	stopProgress()
	r.sender.client.CloseIdleConnections()
	report, _ := r.recorder.snapshot(time.Since(r.started))
	return report
}

// verify lets the checker judge the run by the stand-ins' records.
func (r *run) verify(ctx context.Context) (*Verification, error) {
	sleep(ctx, settleTime)
	var events []NodeEvent
	if r.options.NodeEvents != nil {
		var err error
		if events, err = r.options.NodeEvents(); err != nil {
			return nil, err
		}
	}
	found, err := gather(ctx, *r.options.Records, r.sender.journal.all(), events)
	if err != nil {
		return nil, err
	}
	verification := found.verify()
	return &verification, nil
}

// generate sends each request at its time, whatever became of those before.
func (r *run) generate(ctx context.Context, requests *sync.WaitGroup) {
	plan := newPlan(r.options)
	for {
		request, more := plan.next()
		if !more {
			return
		}
		wait := request.at - time.Since(r.started)
		if wait > 0 && !sleep(ctx, wait) || ctx.Err() != nil {
			return
		}
		if !r.recorder.begin(r.options.MaxInFlight, time.Since(r.started)-request.at) {
			continue
		}
		requests.Go(func() { r.recorder.end(r.sender.send(ctx, request)) })
	}
}

// startProgress prints a line every period until the returned function is
// called.
func (r *run) startProgress() (stop func()) {
	if r.options.Progress == nil {
		return func() {}
	}
	done := make(chan struct{})
	var printing sync.WaitGroup
	printing.Go(func() {
		ticker := time.NewTicker(progressPeriod)
		defer ticker.Stop()
		for {
			select {
			case <-done:
				return
			case <-ticker.C:
				r.printProgress()
			}
		}
	})
	return func() {
		close(done)
		printing.Wait()
	}
}

func (r *run) printProgress() {
	elapsed := time.Since(r.started)
	report, inFlight := r.recorder.snapshot(elapsed)
	fmt.Fprintf(r.options.Progress,
		"%4.0fs  sent %d  in flight %d  served %d  refused %d  unanswered %d  mismatched %d  first chunk p50 %.1f ms p99 %.1f ms\n",
		elapsed.Seconds(), report.Sent, inFlight, report.Served, report.Refused, report.Unanswered, report.Mismatched,
		report.FirstChunk.P50, report.FirstChunk.P99)
}
