package backend

import (
	"github.com/cespare/xxhash/v2"

	"github.com/hatchplank/hatchplank/internal/outside"
	"github.com/hatchplank/hatchplank/internal/standin/record"
)

// note records what happened to a request; called with the lock held.
func (s *Server) note(kind record.Kind, request outside.BackEndRequest, reason string) {
	if s.log == nil {
		return
	}
	s.log.Append(record.Event{
		At:         s.clock.Now(),
		Kind:       kind,
		Server:     s.config.Server,
		Attempt:    request.Attempt,
		RequestID:  request.RequestID,
		Key:        request.Key,
		BodyDigest: xxhash.Sum64(request.Body),
		Reason:     reason,
		Leaving:    s.leaving,
	})
}

// noteProcess records a start or death of the server's process.
func (s *Server) noteProcess(kind record.Kind) {
	s.log.Append(record.Event{At: s.clock.Now(), Kind: kind, Server: s.config.Server})
}
