package keyvalue

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/gorilla/mux"
	"github.com/hatchplank/hatchplank/internal/outside/etcd/wire"
)

// The paths of the control calls.
const (
	PathControlFaults   = "/control/faults"
	PathControlRecords  = "/control/records"
	PathControlCounters = "/control/counters"
)

// FaultsMessage is the JSON form of Faults. Durations are written like "200ms".
type FaultsMessage struct {
	Outage              bool    `json:"outage"`
	Delay               string  `json:"delay,omitempty"`
	LostReplies         float64 `json:"lost_replies"`
	OperationsPerSecond float64 `json:"operations_per_second"`
	Burst               int     `json:"burst"`
	WatchGaps           float64 `json:"watch_gaps"`
	WatchGapDelay       string  `json:"watch_gap_delay,omitempty"`
}

// CountersMessage is the JSON form of Counters.
type CountersMessage struct {
	Operations    map[string]uint64 `json:"operations"`
	Refused       map[string]uint64 `json:"refused"`
	RepliesLost   uint64            `json:"replies_lost"`
	WatchGaps     uint64            `json:"watch_gaps"`
	WatchMessages uint64            `json:"watch_messages"`
	LeasesExpired uint64            `json:"leases_expired"`
}

// RecordMessage is the JSON form of a Record.
type RecordMessage struct {
	Revision int64        `json:"revision"`
	Time     time.Time    `json:"time"`
	Cause    Cause        `json:"cause"`
	Events   []wire.Event `json:"events"`
}

func (s *server) routeControl(router *mux.Router) {
	router.HandleFunc(PathControlFaults, s.readFaults).Methods(http.MethodGet)
	router.HandleFunc(PathControlFaults, s.writeFaults).Methods(http.MethodPost)
	router.HandleFunc(PathControlRecords, s.readRecords).Methods(http.MethodGet)
	router.HandleFunc(PathControlCounters, s.readCounters).Methods(http.MethodGet)
}

func (s *server) readFaults(w http.ResponseWriter, _ *http.Request) {
	faults := s.store.Faults()
	writeJSON(w, FaultsMessage{
		Outage:              faults.Outage,
		Delay:               faults.Delay.String(),
		LostReplies:         faults.LostReplies,
		OperationsPerSecond: faults.OperationsPerSecond,
		Burst:               faults.Burst,
		WatchGaps:           faults.WatchGaps,
		WatchGapDelay:       faults.WatchGapDelay.String(),
	})
}

// writeFaults replaces all faults; a field left out is switched off.
func (s *server) writeFaults(w http.ResponseWriter, r *http.Request) {
	var message FaultsMessage
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	decoder.DisallowUnknownFields()
	err := decoder.Decode(&message)
	if err != nil {
		writeStatus(w, http.StatusBadRequest, wire.Error{Code: wire.CodeInvalidArgument, Message: err.Error()})
		return
	}
	faults, err := message.decode()
	if err != nil {
		writeError(w, err)
		return
	}
	s.store.SetFaults(faults)
	s.logger.Info().Interface("faults", message).Msg("faults set")
	s.readFaults(w, r)
}

func (m FaultsMessage) decode() (Faults, error) {
	delay, err := parseDelay(m.Delay)
	if err != nil {
		return Faults{}, err
	}
	gapDelay, err := parseDelay(m.WatchGapDelay)
	if err != nil {
		return Faults{}, err
	}
	if !isProbability(m.LostReplies) || !isProbability(m.WatchGaps) {
		return Faults{}, refusal("lost_replies and watch_gaps must be from 0 to 1")
	}
	if m.OperationsPerSecond < 0 || m.Burst < 0 {
		return Faults{}, refusal("operations_per_second and burst must not be negative")
	}
	return Faults{
		Outage:              m.Outage,
		Delay:               delay,
		LostReplies:         m.LostReplies,
		OperationsPerSecond: m.OperationsPerSecond,
		Burst:               m.Burst,
		WatchGaps:           m.WatchGaps,
		WatchGapDelay:       gapDelay,
	}, nil
}

func parseDelay(text string) (time.Duration, error) {
	if text == "" {
		return 0, nil
	}
	delay, err := time.ParseDuration(text)
	if err != nil || delay < 0 {
		return 0, refusal("a delay must be a duration such as 200ms")
	}
	return delay, nil
}

func isProbability(value float64) bool { return value >= 0 && value <= 1 }

// readRecords returns the records after the revision in the query's "after".
func (s *server) readRecords(w http.ResponseWriter, r *http.Request) {
	after := int64(0)
	if text := r.URL.Query().Get("after"); text != "" {
		parsed, err := strconv.ParseInt(text, 10, 64)
		if err != nil {
			writeError(w, refusal("after must be a revision"))
			return
		}
		after = parsed
	}
	messages := []RecordMessage{}
	for _, record := range s.store.Records(after) {
		messages = append(messages, RecordMessage{
			Revision: record.Revision,
			Time:     record.Time,
			Cause:    record.Cause,
			Events:   encodeEvents(record.Events),
		})
	}
	writeJSON(w, messages)
}

func (s *server) readCounters(w http.ResponseWriter, _ *http.Request) {
	counters := s.store.Counters()
	message := CountersMessage{
		Operations:    map[string]uint64{},
		Refused:       map[string]uint64{},
		RepliesLost:   counters.RepliesLost,
		WatchGaps:     counters.WatchGaps,
		WatchMessages: counters.WatchMessages,
		LeasesExpired: counters.LeasesExpired,
	}
	for kind := range kindCount {
		message.Operations[kind.String()] = counters.Operations[kind]
		message.Refused[kind.String()] = counters.Refused[kind]
	}
	writeJSON(w, message)
}
