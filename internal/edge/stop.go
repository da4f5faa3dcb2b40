package edge

import (
	"context"
	"time"
)

const (
	// acceptAfterStop is how long new requests are accepted after SIGTERM, since clients
	// notice with a delay that the node shuts down.
	acceptAfterStop = 2500 * time.Millisecond
	// sendDeadlineShare is the share of the grace period in which held requests may still be
	// sent to servers.
	sendDeadlineShare = 0.4
	// finalAnswerMargin is how long before the end of the grace period requests in flight get
	// their final answers.
	finalAnswerMargin = 700 * time.Millisecond
	// exitMargin is how long before the end of the grace period the last connections are closed.
	exitMargin = 400 * time.Millisecond
	// killMargin is how long before the end of the grace period the process exits, whatever has
	// not finished.
	killMargin = 100 * time.Millisecond
)

// stop shuts the node down. It reports that it is not ready, accepts new requests for
// acceptAfterStop, waits for requests in flight, and returns before the grace period ends, when
// the platform would kill the process. Steps that call other systems run beside this: clients see
// the same times after SIGTERM whether or not those respond.
func (p *Process) stop() {
	started := time.Now()
	p.stopping.Store(true)
	end := started.Add(p.settings.Stop.Grace)
	p.logger.Info().Dur("grace_ms", p.settings.Stop.Grace).Msg("stopping")
	p.components.Drain(started.Add(time.Duration(sendDeadlineShare * float64(p.settings.Stop.Grace))))
	endTimer := time.AfterFunc(time.Until(end.Add(-finalAnswerMargin)), p.components.EndRequests)
	defer endTimer.Stop()
	handedOver := inBackground(p.components.HandOver)
	time.Sleep(time.Until(started.Add(min(acceptAfterStop, p.settings.Stop.Grace/2))))
	ctx, cancel := context.WithDeadline(context.Background(), end.Add(-exitMargin))
	defer cancel()
	err := p.callers.shutDown(ctx)
	saved := inBackground(p.components.Stopped)
	if p.components.AwaitCarried != nil {
		p.components.AwaitCarried(ctx)
	}
	p.awaitSteps(end.Add(-killMargin), map[string]<-chan struct{}{"handover": handedOver, "save": saved})
	for _, server := range p.auxiliary {
		_ = server.Close()
	}
	p.logger.Info().Dur("took_ms", time.Since(started)).Bool("whole", err == nil).Msg("stopped")
}

// inBackground runs a step of the shutdown, and returns a channel that is closed when it has finished.
func inBackground(step func()) <-chan struct{} {
	done := make(chan struct{})
	go func() {
		defer close(done)
		step()
	}()
	return done
}

// awaitSteps waits until the steps have finished, until the given time at the latest. It logs those
// that have not.
func (p *Process) awaitSteps(until time.Time, steps map[string]<-chan struct{}) {
	ctx, cancel := context.WithDeadline(context.Background(), until)
	defer cancel()
	for name, done := range steps {
		select {
		case <-done:
			continue
		case <-ctx.Done():
		}
		select {
		case <-done:
		default:
			p.logger.Warn().Str("step", name).Msg("shutdown step not finished")
		}
	}
}
