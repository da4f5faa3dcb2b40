// Package survey sends a query to all members of the cluster and collects the
// replies.
package survey

import (
	"sync"
	"time"

	"github.com/hatchplank/hatchplank/internal/clock"
	"github.com/hatchplank/hatchplank/internal/membership"
	"github.com/hatchplank/hatchplank/internal/peer"
)

// Query is a message that every member answers with a Reply.
type Query[Reply any] struct {
	Clock     clock.Clock
	Transport peer.Transport
	Members   membership.View
	Message   peer.Message
	// Timeout limits the wait for one member's reply.
	Timeout time.Duration
	// Concurrency is the maximum number of members that are queried at once.
	Concurrency int
	// Local returns this node's own reply.
	Local func() Reply
	// ResponderID returns the ID of the member that sent a reply, so that the reply
	// of a later process at the same address is not counted.
	ResponderID func(Reply) string
}

// Result is the reply of one member, if it sent one.
type Result[Reply any] struct {
	Member membership.Member
	Reply  Reply
	// Answered is false if the member sent no valid reply in time.
	Answered bool
}

// Run sends the query to all members. done is called as described in package
// outside, with one result for each member, in order of the members' names.
func (q Query[Reply]) Run(done func([]Result[Reply])) {
	run := &queryRun[Reply]{query: q, done: done}
	for _, member := range q.Members.Members() {
		run.results = append(run.results, Result[Reply]{Member: member})
	}
	run.remaining = len(run.results)
	q.Clock.AfterFunc(0, run.start)
}

// queryRun is a query in progress.
type queryRun[Reply any] struct {
	query Query[Reply]
	done  func([]Result[Reply])

	mutex     sync.Mutex
	results   []Result[Reply]
	next      int
	remaining int
}

func (r *queryRun[Reply]) start() {
	if len(r.results) == 0 {
		r.done(nil)
		return
	}
	for range min(r.query.Concurrency, len(r.results)) {
		r.sendNext()
	}
}

// sendNext queries the next member, if there is one left.
func (r *queryRun[Reply]) sendNext() {
	r.mutex.Lock()
	index := r.next
	r.next++
	r.mutex.Unlock()
	if index >= len(r.results) {
		return
	}
	member := r.results[index].Member
	if member.ID() == r.query.Members.Self().ID() {
		r.recordResult(index, r.query.Local(), true)
		return
	}
	r.query.Transport.Call(member.PeerAddress, r.query.Message, r.query.Timeout, func(message peer.Message, err error) {
		reply, ok := message.(Reply)
		r.recordResult(index, reply, err == nil && ok && r.query.ResponderID(reply) == member.ID())
	})
}

// recordResult stores the result of one member, and either completes the query or
// sends the next message.
func (r *queryRun[Reply]) recordResult(index int, reply Reply, answered bool) {
	r.mutex.Lock()
	if answered {
		r.results[index].Reply = reply
		r.results[index].Answered = true
	}
	r.remaining--
	finished := r.remaining == 0
	r.mutex.Unlock()
	if finished {
		r.done(r.results)
		return
	}
	r.sendNext()
}
