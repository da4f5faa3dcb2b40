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

// cluster is a set of simulated nodes with one key-value service.
type cluster struct {
	loop    *simulation.Loop
	network *simulation.Network
	peers   *simulation.PeerNetwork
	server  *simulation.Process
	kv      *keyvalue.Store
	members []membership.Member
	nodes   []*node
	// starts counts the nodes started.
	starts int
	// conditions of the network between nodes.
	conditions simulation.Conditions
	options    Options
	// reversals are breaches of the revisions' order.
	reversals []string
}

// node is one start of a node.
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

// start starts a node, in place of an earlier start of it.
func (c *cluster) start(index int) {
	if earlier := c.nodes[index]; earlier != nil {
		earlier.process.Kill()
	}
	c.starts++
	c.members[index].Incarnation = fmt.Sprint(c.starts)
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
			c.reversals = append(c.reversals, fmt.Sprintf("%s: %d after %d", member.Name, snapshot.Revision(), newest))
		}
		newest = snapshot.Revision()
	})
	c.nodes[index] = &node{process: process, store: store}
	store.Start()
}

const forbiddenRow = "forbidden"

func validateForTest(rows []table.Row) []table.Problem {
	for index := range rows {
		if rows[index].Name == forbiddenRow {
			return []table.Problem{{Row: forbiddenRow}}
		}
	}
	return nil
}

func row(name string, weight int) table.Row {
	return table.Row{Name: name, Kind: table.KindModel, Weight: weight}
}

// propose runs an edit to its end.
func (c *cluster) propose(index int, edit Edit) Outcome {
	GinkgoHelper()
	var outcome *Outcome
	c.nodes[index].store.Propose(edit, func(o Outcome) { outcome = &o })
	c.loop.RunFor(30 * time.Second)
	Expect(outcome).NotTo(BeNil())
	return *outcome
}

// heads are the accepted edits by the service's own records.
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

// disagreement describes the first node whose table is not the one that the
// service's records lead to.
func (c *cluster) disagreement() string {
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
