// Package survey asks all members of the cluster the same question.
package survey

import (
	"sync"
	"time"

	"github.com/hatchplank/hatchplank/internal/clock"
	"github.com/hatchplank/hatchplank/internal/membership"
	"github.com/hatchplank/hatchplank/internal/peer"
)

// Query is a message to which every member answers with a Reply.
type Query[Reply any] struct {
	Clock     clock.Clock
	Transport peer.Transport
	Members   membership.View
	Message   peer.Message
	// Timeout of one member's answer.
	Timeout time.Duration
	// Concurrency bounds how many members are asked at once.
	Concurrency int
	// Local is this node's own answer.
	Local func() Reply
	// ResponderID returns the id of the member that gave a reply, so that the
	// answer of a later process at the same address does not count.
	ResponderID func(Reply) string
}

// Result is what one member said.
type Result[Reply any] struct {
	Member membership.Member
	Reply  Reply
	// Answered is false if the member did not answer.
	Answered bool
}

// Run asks all members. Done as in package outside; it receives the answers in
// order of the members' names.
func (q Query[Reply]) Run(done func([]Result[Reply])) {
	asked := &asking[Reply]{question: q, done: done}
	for _, member := range q.Members.Members() {
		asked.answers = append(asked.answers, Result[Reply]{Member: member})
	}
	asked.remaining = len(asked.answers)
	q.Clock.AfterFunc(0, asked.start)
}

// asking is one question on its way.
type asking[Reply any] struct {
	question Query[Reply]
	done     func([]Result[Reply])

	mutex     sync.Mutex
	answers   []Result[Reply]
	next      int
	remaining int
}

func (a *asking[Reply]) start() {
	if len(a.answers) == 0 {
		a.done(nil)
		return
	}
	for range min(a.question.Concurrency, len(a.answers)) {
		a.askNext()
	}
}

func (a *asking[Reply]) askNext() {
	a.mutex.Lock()
	index := a.next
	a.next++
	a.mutex.Unlock()
	if index >= len(a.answers) {
		return
	}
	member := a.answers[index].Member
	if member.ID() == a.question.Members.Self().ID() {
		a.answered(index, a.question.Local(), true)
		return
	}
	a.question.Transport.Call(member.PeerAddress, a.question.Message, a.question.Timeout, func(message peer.Message, err error) {
		reply, ok := message.(Reply)
		a.answered(index, reply, err == nil && ok && a.question.ResponderID(reply) == member.ID())
	})
}

func (a *asking[Reply]) answered(index int, reply Reply, known bool) {
	a.mutex.Lock()
	if known {
		a.answers[index].Reply = reply
		a.answers[index].Answered = true
	}
	a.remaining--
	finished := a.remaining == 0
	a.mutex.Unlock()
	if finished {
		a.done(a.answers)
		return
	}
	a.askNext()
}
