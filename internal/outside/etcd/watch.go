package etcd

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/hatchplank/hatchplank/internal/outside"
	"github.com/hatchplank/hatchplank/internal/outside/etcd/wire"
)

var (
	errWatchIdle     = errors.New("watch idle timeout exceeded")
	errWatchCanceled = errors.New("watch canceled by the service")
	errWatchTooLarge = errors.New("watch message too large")
	errWatchOrder    = errors.New("watch events out of order")
)

// watch is the state of one open watch.
type watch struct {
	client  *Client
	handler outside.WatchHandler
	// revision is that of the latest events delivered to the handler.
	revision int64

	mutex   sync.Mutex
	stopped bool
}

// Watch implements outside.KeyValueService. A call of the handler that started before stop may
// return after it.
func (c *Client) Watch(prefix string, fromRevision int64, handler outside.WatchHandler) (stop func()) {
	ctx, cancel := context.WithCancel(c.context)
	watch := &watch{client: c, handler: handler, revision: fromRevision}
	c.start(func() {
		defer cancel()
		watch.run(ctx, cancel, prefix)
	})
	return func() {
		watch.stop()
		cancel()
	}
}

func (w *watch) stop() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.stopped = true
}

func (w *watch) isStopped() bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.stopped
}

// run reads the watch until it ends and then calls the handler's Lost, unless stopped.
func (w *watch) run(ctx context.Context, cancel context.CancelFunc, prefix string) {
	idleTimeout := w.client.config.WatchIdleTimeout
	idleTimer := time.AfterFunc(idleTimeout, cancel)
	defer idleTimer.Stop()
	received := func() { idleTimer.Reset(idleTimeout) }

	base, index := w.client.endpoint()
	err := w.read(ctx, base, prefix, received)
	if w.isStopped() {
		return
	}
	if ctx.Err() != nil && w.client.context.Err() == nil {
		err = fmt.Errorf("%w: %w", errWatchIdle, err)
	}
	if !errors.Is(err, outside.ErrCompacted) {
		w.client.avoidFailedEndpoint(err, index)
	}
	w.client.config.Logger.Info().Str("prefix", prefix).Int64("revision", w.revision).
		Str("reason", err.Error()).Msg("watch lost")
	w.handler.Lost(err)
}

// read opens the stream and delivers its messages, calling received after each. It returns the
// error that ended the stream.
func (w *watch) read(ctx context.Context, base, prefix string, received func()) error {
	key, end := prefixRange(prefix)
	create := wire.WatchCreateRequest{
		Key:            key,
		RangeEnd:       end,
		StartRevision:  wire.Int64(w.revision + 1),
		ProgressNotify: true,
	}
	body, err := json.Marshal(wire.WatchRequest{Create: &create})
	if err != nil {
		return err
	}
	response, _, err := w.client.open(ctx, base+wire.PathWatch, body)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	bounded := &boundedReader{reader: response.Body, limit: w.client.config.MaxResponseBytes}
	decoder := json.NewDecoder(bounded)
	for {
		bounded.read = 0
		var message wire.StreamMessage[wire.WatchResponse]
		if err := decoder.Decode(&message); err != nil {
			return err
		}
		received()
		if err := w.deliver(message); err != nil {
			return err
		}
	}
}

// deliver passes the events of one message to the handler, in one call per revision.
func (w *watch) deliver(message wire.StreamMessage[wire.WatchResponse]) error {
	if message.Error != nil {
		return fmt.Errorf("%w: %s", errWatchCanceled, message.Error.Message)
	}
	if message.Result == nil {
		return fmt.Errorf("%w: message without result", errWatchCanceled)
	}
	response := message.Result
	if response.CompactRevision != 0 {
		return fmt.Errorf("%w: compacted up to revision %d", outside.ErrCompacted, response.CompactRevision)
	}
	if response.Canceled {
		return fmt.Errorf("%w: %s", errWatchCanceled, response.CancelReason)
	}
	for start := 0; start < len(response.Events); {
		end := endOfRevision(response.Events, start)
		if err := w.deliverRevision(response.Events[start:end]); err != nil {
			return err
		}
		start = end
	}
	return nil
}

// endOfRevision returns the index after the last event with the revision of events[start].
func endOfRevision(events []wire.Event, start int) int {
	end := start + 1
	for end < len(events) && events[end].KeyValue.ModRevision == events[start].KeyValue.ModRevision {
		end++
	}
	return end
}

func (w *watch) deliverRevision(encoded []wire.Event) error {
	revision := int64(encoded[0].KeyValue.ModRevision)
	if revision <= w.revision {
		return fmt.Errorf("%w: %d after %d", errWatchOrder, revision, w.revision)
	}
	w.revision = revision
	events := make([]outside.WatchEvent, 0, len(encoded))
	for _, event := range encoded {
		events = append(events, decodeEvent(event))
	}
	if w.isStopped() {
		return context.Canceled
	}
	w.handler.Events(revision, events)
	return nil
}

// boundedReader fails with errWatchTooLarge once limit bytes have been read since read was
// last reset.
type boundedReader struct {
	reader io.Reader
	limit  int64
	read   int64
}

// Read implements io.Reader.
func (b *boundedReader) Read(buffer []byte) (int, error) {
	if b.read >= b.limit {
		return 0, errWatchTooLarge
	}
	n, err := b.reader.Read(buffer)
	b.read += int64(n)
	return n, err
}
