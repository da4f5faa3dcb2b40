package keyvalue

import (
	"errors"
	"fmt"
	"time"

	"github.com/hatchplank/hatchplank/internal/outside"
)

// The limits of a simulated watch.
const (
	// silentProgressIntervals without a message end a watch.
	silentProgressIntervals = 3
	// reorderWait is how long a message waits for one sent before it.
	reorderWait = 500 * time.Millisecond
	// reorderLimit bounds the messages that wait.
	reorderLimit = 256
)

var (
	errWatchSilent = errors.New("watch went silent")
	errWatchLoss   = errors.New("watch message lost")
)

// simulatedWatch is the client's end of a watch. It restores the order of the
// messages, and ends with Lost when one is missing or nothing is heard.
type simulatedWatch struct {
	service *Simulated
	handler outside.WatchHandler
	// stopped by the client, or ended by Lost.
	stopped bool
	// delivered is the sequence of the newest message given to the handler.
	delivered uint64
	waiting   map[uint64]WatchMessage
	heard     time.Time
	silence   time.Duration
}

// Watch implements outside.KeyValueService.
func (s *Simulated) Watch(prefix string, fromRevision int64, handler outside.WatchHandler) (stop func()) {
	watch := &simulatedWatch{
		service: s,
		handler: handler,
		waiting: map[uint64]WatchMessage{},
		heard:   s.client.Now(),
		silence: silentProgressIntervals * s.store.options.ProgressInterval,
	}
	created := false
	s.network.Deliver(s.client, s.server, func() {
		if created || watch.closed() {
			return
		}
		created = true
		watch.create(prefix, fromRevision)
	})
	s.client.AfterFunc(watch.silence, watch.checkSilence)
	return func() { watch.stopped = true }
}

// closed reports whether the client's end of the connection is gone, which the
// server notices as a reset connection.
func (w *simulatedWatch) closed() bool { return w.stopped || w.service.client.Killed() }

// create runs at the server.
func (w *simulatedWatch) create(prefix string, fromRevision int64) {
	store := w.service.store
	run := func() (WatchID, error) { return store.Watch(prefix, fromRevision, w.sendToClient) }
	Submit(store, KindWatch, run, func(_ WatchID, err error) {
		if err != nil {
			w.sendToClient(WatchMessage{Sequence: 1, Err: err})
		}
	})
}

// sendToClient runs at the server.
func (w *simulatedWatch) sendToClient(message WatchMessage) bool {
	if w.closed() {
		return false
	}
	w.service.network.Deliver(w.service.server, w.service.client, func() { w.receive(message) })
	return true
}

func (w *simulatedWatch) receive(message WatchMessage) {
	if w.stopped || message.Sequence <= w.delivered {
		return
	}
	w.heard = w.service.client.Now()
	w.waiting[message.Sequence] = message
	w.deliverInOrder()
	if w.stopped || len(w.waiting) == 0 {
		return
	}
	if len(w.waiting) > reorderLimit {
		w.lose(errWatchLoss)
		return
	}
	missing := w.delivered + 1
	w.service.client.AfterFunc(reorderWait, func() { w.checkMissing(missing) })
}

func (w *simulatedWatch) deliverInOrder() {
	for !w.stopped {
		next, arrived := w.waiting[w.delivered+1]
		if !arrived {
			return
		}
		delete(w.waiting, next.Sequence)
		w.delivered = next.Sequence
		w.deliver(next)
	}
}

func (w *simulatedWatch) deliver(message WatchMessage) {
	if message.Err != nil {
		w.lose(message.Err)
		return
	}
	if len(message.Events) > 0 {
		w.handler.Events(message.Revision, message.Events)
	}
}

func (w *simulatedWatch) checkMissing(sequence uint64) {
	if !w.stopped && w.delivered < sequence {
		w.lose(fmt.Errorf("%w: number %d", errWatchLoss, sequence))
	}
}

// checkSilence re-arms itself for the time the watch may still be silent.
func (w *simulatedWatch) checkSilence() {
	if w.stopped {
		return
	}
	remaining := w.silence - w.service.client.Now().Sub(w.heard)
	if remaining <= 0 {
		w.lose(errWatchSilent)
		return
	}
	w.service.client.AfterFunc(remaining, w.checkSilence)
}

func (w *simulatedWatch) lose(err error) {
	w.stopped = true
	w.waiting = nil
	w.handler.Lost(err)
}
