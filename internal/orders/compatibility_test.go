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

// earlierUpdate is Update as in a build without rate limits of servers.
type earlierUpdate struct {
	Token   int64
	Version uint64
	Nodes   int
}

// During a rolling update, nodes of an earlier build ignore fields that they don't know. An update
// with only rate limits has token 0 for them, which is lower than any valid token.
func TestEarlierBuildsIgnoreLimits(t *testing.T) {
	RegisterTestingT(t)
	limits := []notice.ObservedLimit{{Life: fleet.Incarnation{ID: "s", Born: 5}, Limit: notice.Limit{Named: true, PerSecond: 2}, Age: time.Second}}
	for _, sent := range []Update{{Limits: limits}, {Token: 7, Version: 3, Nodes: 4, Limits: limits, LimitsVersion: 9}} {
		var frame bytes.Buffer
		Expect(gob.NewEncoder(&frame).Encode(sent)).To(Succeed())
		var got earlierUpdate
		Expect(gob.NewDecoder(&frame).Decode(&got)).To(Succeed())
		Expect(got).To(Equal(earlierUpdate{Token: sent.Token, Version: sent.Version, Nodes: sent.Nodes}))
	}
}
