package tcp

import (
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hatchplank/hatchplank/internal/clock"
)

// A connection may go silent without being closed: what either side sends is lost, or even acknowledged by something
// in between. So the side that dialed probes a quiet connection. The other one announces that it answers probes by a
// reply with ID 0, which earlier builds ignore, and answers each with another one; a peer that does not announce it is
// not probed.

const (
	// maxQuietIntervals is the number of probe intervals in a row without a byte of the peer after which the dialer
	// closes a connection: one before the first probe, and two in which it is not answered.
	maxQuietIntervals = 3
	// maxUnprobedIntervals is likewise the number after which the acceptor does. It exceeds what a dialer may be
	// suspended for without losing its connections, since only memory and descriptors are at stake.
	maxUnprobedIntervals = 16
	// minLinkBytesPerSecond is the slowest link on which a connection does not count as silent while a large message
	// delays the probe behind it.
	minLinkBytesPerSecond = 64 << 10
)

// countingReader counts the bytes that are read.
type countingReader struct {
	io.Reader
	count *atomic.Uint64
}

func (r countingReader) Read(buffer []byte) (int, error) {
	count, err := r.Reader.Read(buffer)
	r.count.Add(uint64(count))
	return count, err
}

// silenceWatch closes a connection on which nothing is received.
type silenceWatch struct {
	session *session
	// maxQuiet is the number of intervals without a byte after which the connection is closed.
	maxQuiet int
	// probes gets a value when a probe is to be sent; nil: the peer sends them.
	probes chan struct{}

	mutex sync.Mutex
	timer clock.Timer
	ended bool
	// received are the bytes received until the last check at which there were new ones, answered those sent before
	// the check before that one, and sent those until the last check.
	received, answered, sent uint64
	// quiet is the number of checks since then.
	quiet int
}

// watchSilence begins to watch a connection. The watch must be stopped.
func watchSilence(session *session, maxQuiet int, probes chan struct{}) *silenceWatch {
	w := &silenceWatch{session: session, maxQuiet: maxQuiet, probes: probes}
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.schedule()
	return w
}

// schedule schedules the next check. It must be called with the lock held.
func (w *silenceWatch) schedule() {
	config := &w.session.transport.config
	w.timer = config.Clock.AfterFunc(config.ProbeInterval, w.check)
}

// stop ends the watch.
func (w *silenceWatch) stop() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.ended = true
	w.timer.Stop()
}

// check counts an interval, and requests a probe or closes the connection. Intervals are counted instead of time, so
// that a process that was suspended reads what has arrived before it closes its connections.
func (w *silenceWatch) check() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.ended {
		return
	}
	received, sentBefore := w.session.received.Load(), w.sent
	w.sent = w.session.sent.Load()
	if received != w.received {
		w.received, w.answered, w.quiet = received, sentBefore, 0
		w.schedule()
		return
	}
	w.quiet++
	if w.quiet >= w.maxQuiet+w.transferIntervals(w.sent-w.answered) {
		w.session.closeSilent(w.quiet)
		return
	}
	select {
	case w.probes <- struct{}{}:
	default:
	}
	w.schedule()
}

// transferIntervals is the number of intervals that a slow link takes for the bytes.
func (w *silenceWatch) transferIntervals(bytes uint64) int {
	transfer := time.Duration(float64(bytes) / minLinkBytesPerSecond * float64(time.Second))
	return int(transfer / w.session.transport.config.ProbeInterval)
}

// closeSilent closes a connection that is silent.
func (s *session) closeSilent(intervals int) {
	s.transport.statistics.silentConnections.Add(1)
	s.transport.config.Logger.Warn().Str("peer", s.conn.RemoteAddr().String()).
		Dur("silent_ms", time.Duration(intervals)*s.transport.config.ProbeInterval).Msg("peer connection silent, closed")
	s.close()
}
