package orders

import (
	"bytes"
	"encoding/gob"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/hatchplank/hatchplank/internal/fleet"
	"github.com/hatchplank/hatchplank/internal/notice"
	"github.com/hatchplank/hatchplank/internal/observation"
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

// earlierReport is DemandReport as in a build without observations.
type earlierReport struct {
	Node, Address string
	Sequence      uint64
	Started       int64
	Rows          []DemandRow
}

// Guards against a rolling update in which nodes with and without observations don't understand each
// other: each decodes the other's messages, without the fields that only one of them has.
func TestObservationsInARollingUpdate(t *testing.T) {
	RegisterTestingT(t)
	recode := func(sent, got any) {
		var frame bytes.Buffer
		Expect(gob.NewEncoder(&frame).Encode(sent)).To(Succeed())
		Expect(gob.NewDecoder(&frame).Decode(got)).To(Succeed())
	}
	observations := []observation.Observation{{
		Server: fleet.Incarnation{ID: "s", Born: 5}, LoadKnown: true, Load: observation.Load{Running: 3, Slots: 8}, LoadAge: time.Second, Unreachable: true,
	}}
	rows := []DemandRow{{Pool: "p", Model: "m", Arrived: 4}}
	report := DemandReport{Node: "n", Address: "n:1", Sequence: 2, Started: 3, Rows: rows, Observations: observations, PoolArrivals: []PoolArrivals{{Pool: "q", Arrived: 1}}}
	earlier := earlierReport{Node: "n", Address: "n:1", Sequence: 2, Started: 3, Rows: rows}
	var gotEarlier earlierReport
	recode(report, &gotEarlier)
	Expect(gotEarlier).To(Equal(earlier))
	var gotReport DemandReport
	recode(earlier, &gotReport)
	Expect(gotReport).To(Equal(DemandReport{Node: "n", Address: "n:1", Sequence: 2, Started: 3, Rows: rows}))

	for _, update := range []Update{
		{Observations: observations},
		{HolderToken: 7, Observations: observations, Rates: []observation.Rate{{Pool: "p", Model: "m", PerSecond: 1.5}}},
	} {
		gotUpdate := earlierUpdate{}
		recode(update, &gotUpdate)
		Expect(gotUpdate.Token).To(BeZero(), "which earlier builds ignore")
	}
	var got Update
	recode(earlierUpdate{Token: 7, Version: 3, Nodes: 4}, &got)
	Expect(got).To(Equal(Update{Token: 7, Version: 3, Nodes: 4}))
	// Without the fields nothing is known, and nothing changes.
	holder := holderOf(largeSnapshot(1), &countingEngines{}, func(string, Update) {})
	holder.term = newTerm(5, time.Now(), time.Now().Add(time.Minute), true)
	_, holds := holder.HandleReport(gotReport)
	Expect(holds).To(BeTrue())
	_, _, known := holder.config.Observations.Load(fleet.Incarnation{ID: "s", Born: 5}, time.Now())
	Expect(known).To(BeFalse())
}
