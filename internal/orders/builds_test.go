package orders

import (
	"bytes"
	"encoding/gob"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/hatchplank/hatchplank/internal/fleet"
	"github.com/hatchplank/hatchplank/internal/notice"
)

// earlierUpdate is what a build knows that has not heard of servers' limits.
type earlierUpdate struct {
	Token   int64
	Version uint64
	Nodes   int
}

// Nodes of an earlier build, which run beside this one while nodes are replaced, pass over what
// is new to them. A new node's word on limits has no token for them, which is older than any.
func TestEarlierBuildsPassOverLimits(t *testing.T) {
	RegisterTestingT(t)
	heard := []notice.ObservedLimit{{Life: fleet.Incarnation{ID: "s", Born: 5}, Limit: notice.Limit{Named: true, PerSecond: 2}, Age: time.Second}}
	for _, sent := range []Update{{Limits: heard}, {Token: 7, Version: 3, Nodes: 4, Limits: heard, LimitsVersion: 9}} {
		var frame bytes.Buffer
		Expect(gob.NewEncoder(&frame).Encode(sent)).To(Succeed())
		var got earlierUpdate
		Expect(gob.NewDecoder(&frame).Decode(&got)).To(Succeed())
		Expect(got).To(Equal(earlierUpdate{Token: sent.Token, Version: sent.Version, Nodes: sent.Nodes}))
	}
}
