package tablestore

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"github.com/hatchplank/hatchplank/internal/membership"
	"github.com/hatchplank/hatchplank/internal/simulation"
	"github.com/hatchplank/hatchplank/internal/standin/keyvalue"
	"github.com/hatchplank/hatchplank/internal/table"
)

func TestTableStore(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Table store")
}

// fixedView is a membership.View that does not change.
type fixedView struct {
	self    membership.Member
	members []membership.Member
}

func (v fixedView) Self() membership.Member      { return v.self }
func (v fixedView) Members() []membership.Member { return v.members }

// cluster is a set of simulated nodes that share a key-value service.
type cluster struct {
	loop    *simulation.Loop
	network *simulation.Network
	peers   *simulation.PeerNetwork
	server  *simulation.Process
	kv      *keyvalue.Store
	members []membership.Member
	nodes   []*node
	// startCount counts the starts of nodes; it gives each its incarnation.
	startCount int
	// conditions of the network between nodes; messages to and from the
	// key-value service are only delayed, by 1 ms.
	conditions simulation.Conditions
	options    Options
	// regressions describe notifications of subscribers whose revision was not
	// higher than that of the one before.
	regressions []string
}

// node is one incarnation of a node.
type node struct {
	process *simulation.Process
	store   *Store
}

const kvName = "kv"

func newCluster(seed uint64, zones, perZone, recentEntries int) *cluster {
	loop := simulation.NewLoop(seed)
	c := &cluster{loop: loop, network: simulation.NewNetwork(loop)}
	c.conditions = simulation.Conditions{Delay: time.Millisecond}
	c.options = DefaultOptions()
	c.options.RecentEntries = recentEntries
	c.network.ConditionsOf = func(from, to string) simulation.Conditions {
		if from == kvName || to == kvName {
			return simulation.Conditions{Delay: time.Millisecond}
		}
		return c.conditions
	}
	c.peers = simulation.NewPeerNetwork(c.network)
	c.server = simulation.NewProcess(loop, kvName)
	c.kv = keyvalue.NewStore(keyvalue.Options{Clock: c.server, Random: loop.Fork(), RecordPrefixes: []string{headKey}})
	for index := range zones * perZone {
		name := fmt.Sprintf("node-%02d", index)
		c.members = append(c.members, membership.Member{
			Name: name, Zone: fmt.Sprintf("zone-%d", index%zones), PeerAddress: name,
		})
	}
	c.nodes = make([]*node, len(c.members))
	for index := range c.members {
		c.start(index)
	}
	return c
}

// start starts a node and kills its earlier incarnation, if there is one.
func (c *cluster) start(index int) {
	if earlier := c.nodes[index]; earlier != nil {
		earlier.process.Kill()
	}
	c.startCount++
	c.members[index].Incarnation = fmt.Sprint(c.startCount)
	member := c.members[index]
	process := simulation.NewProcess(c.loop, member.Name)
	store := New(Dependencies{
		Members:   fixedView{self: member, members: c.members},
		KeyValues: keyvalue.NewSimulated(c.network, c.server, process, c.kv),
		Transport: c.peers.Transport(process),
		Clock:     process,
		Random:    c.loop.Fork(),
		Validate:  validateForTest,
		Log:       zerolog.Nop(),
	}, c.options)
	newest := table.Revision(0)
	store.Subscribe(func(snapshot *table.Snapshot) {
		if snapshot.Revision() <= newest {
			c.regressions = append(c.regressions, fmt.Sprintf("%s: %d after %d", member.Name, snapshot.Revision(), newest))
		}
		newest = snapshot.Revision()
	})
	c.nodes[index] = &node{process: process, store: store}
	store.Start()
}

const invalidRow = "forbidden"

func validateForTest(rows []table.Row) []table.Problem {
	for index := range rows {
		if rows[index].Name == invalidRow {
			return []table.Problem{{Row: invalidRow}}
		}
	}
	return nil
}

func row(name string, weight int) table.Row {
	return table.Row{Name: name, Kind: table.KindModel, Weight: weight}
}

// propose proposes an edit and waits for its outcome.
func (c *cluster) propose(index int, edit Edit) Outcome {
	GinkgoHelper()
	var outcome *Outcome
	c.nodes[index].store.Propose(edit, func(o Outcome) { outcome = &o })
	c.loop.RunFor(30 * time.Second)
	Expect(outcome).NotTo(BeNil())
	return *outcome
}

// heads returns the accepted edits, as recorded by the key-value service.
func (c *cluster) heads() ([]LogEntry, error) {
	var entries []LogEntry
	for _, record := range c.kv.Records(0) {
		for _, event := range record.Events {
			head, err := decodeRecord[headRecord](event.KeyValue.Value)
			if err != nil {
				return nil, err
			}
			entries = append(entries, head.Entry)
		}
	}
	return entries, nil
}

// divergence describes the first node whose table differs from the one that the
// edits recorded by the key-value service lead to; empty if there is none.
func (c *cluster) divergence() string {
	entries, err := c.heads()
	if err != nil {
		return err.Error()
	}
	expected := table.NewSnapshot(0, nil)
	for _, entry := range entries {
		if expected, err = expected.Apply(entry.Delta); err != nil {
			return err.Error()
		}
	}
	for _, n := range c.nodes {
		actual := n.store.Snapshot()
		difference := table.Diff(expected, actual)
		if actual.Revision() != expected.Revision() || len(difference.Changed)+len(difference.Removed) > 0 {
			return fmt.Sprintf("%s is at %d, the service at %d; rows differ: %v",
				n.process.Name, actual.Revision(), expected.Revision(), difference)
		}
	}
	return ""
}
