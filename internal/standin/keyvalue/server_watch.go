package keyvalue

import (
	"encoding/json"
	"errors"
	"net/http"
	"time"

	"github.com/hatchplank/hatchplank/internal/outside"
	"github.com/hatchplank/hatchplank/internal/outside/etcd/wire"
)

// The limits of a served watch.
const (
	// watchQueueLength bounds the messages that wait for a slow client.
	watchQueueLength = 1024
	// watchWriteTimeout bounds the writing of one message.
	watchWriteTimeout = 5 * time.Second
)

// watch streams messages until the client leaves or the watch ends.
func (s *server) watch(w http.ResponseWriter, r *http.Request) {
	var request wire.WatchRequest
	if !readBody(w, r, &request) {
		return
	}
	if request.Create == nil {
		writeError(w, errUnsupported)
		return
	}
	selected, err := decodeSelection(request.Create.Key, request.Create.RangeEnd)
	if err == nil && selected.single {
		err = errUnsupported
	}
	if err != nil {
		writeError(w, err)
		return
	}
	opened, ok := perform(s, w, r, KindWatch, func() (openedWatch, error) { return s.openWatch(selected.key, *request.Create) })
	if !ok {
		return
	}
	defer s.store.StopWatch(opened.id)
	stream := &watchStream{writer: w, controller: http.NewResponseController(w), encoder: json.NewEncoder(w)}
	w.Header().Set("Content-Type", "application/json")
	if opened.compactedAt != 0 {
		stream.send(wire.WatchResponse{Header: s.header(), Canceled: true, CompactRevision: wire.Int64(opened.compactedAt)})
		return
	}
	stream.copy(r, opened, request.Create.ProgressNotify)
}

// openedWatch is a watch of the store, or the revision that prevents it.
type openedWatch struct {
	id          WatchID
	queue       chan WatchMessage
	compactedAt int64
}

func (s *server) openWatch(prefix string, request wire.WatchCreateRequest) (openedWatch, error) {
	fromRevision := int64(request.StartRevision) - 1
	if request.StartRevision == 0 {
		fromRevision = s.store.Revision()
	}
	queue := make(chan WatchMessage, watchQueueLength)
	id, err := s.store.Watch(prefix, fromRevision, func(message WatchMessage) bool {
		select {
		case queue <- message:
			return true
		default:
			close(queue)
			return false
		}
	})
	if errors.Is(err, outside.ErrCompacted) {
		return openedWatch{compactedAt: s.store.Compacted()}, nil
	}
	return openedWatch{id: id, queue: queue}, err
}

// watchStream writes a watch's messages to its client.
type watchStream struct {
	writer     http.ResponseWriter
	controller *http.ResponseController
	encoder    *json.Encoder
}

func (s *watchStream) copy(r *http.Request, opened openedWatch, progress bool) {
	for {
		select {
		case <-r.Context().Done():
			return
		case message, open := <-opened.queue:
			if !open || !s.forward(opened.id, message, progress) {
				return
			}
		}
	}
}

// forward writes one message and reports whether the watch goes on.
func (s *watchStream) forward(id WatchID, message WatchMessage, progress bool) bool {
	response := wire.WatchResponse{
		Header:  wire.Header{Revision: wire.Int64(message.Revision)},
		WatchID: wire.Int64(id),
		Created: message.Sequence == 1,
		Events:  encodeEvents(message.Events),
	}
	if message.Err != nil {
		response.Canceled = true
		response.CancelReason = message.Err.Error()
	}
	if len(message.Events) == 0 && message.Err == nil && !response.Created && !progress {
		return true
	}
	return s.send(response) && message.Err == nil
}

func (s *watchStream) send(response wire.WatchResponse) bool {
	// Not every writer supports deadlines; without one the client's own
	// timeout ends the connection.
	_ = s.controller.SetWriteDeadline(time.Now().Add(watchWriteTimeout))
	if s.encoder.Encode(wire.StreamMessage[wire.WatchResponse]{Result: &response}) != nil {
		return false
	}
	return s.controller.Flush() == nil
}
