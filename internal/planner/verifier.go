package planner

import (
	"fmt"

	"github.com/hatchplank/hatchplank/internal/outside"
	"github.com/hatchplank/hatchplank/internal/table"
)

// Rule is the name of a rule that every decision must satisfy.
type Rule string

// The rules.
const (
	RuleKnownRow      Rule = "known_row"
	RuleUsableServer  Rule = "usable_server"
	RuleStayingServer Rule = "staying_server"
	RuleMaxReplicas   Rule = "max_replicas"
	RuleFreeSlot      Rule = "free_slot"
	RuleMemory        Rule = "memory"
	RuleOnePerServer  Rule = "one_replica_per_server"
	RuleAttempt       Rule = "attempt"
)

// Violation is the error for a decision that breaks a rule.
type Violation struct {
	Rule     Rule
	Decision Decision
}

// Error implements error.
func (v *Violation) Error() string {
	return fmt.Sprintf("%s %s on %s breaks rule %s", v.Decision.Action, v.Decision.Model, v.Decision.Server, v.Rule)
}

type slotKey struct {
	model string
	slot  outside.SlotID
}

// Verifier checks decisions one after the other against a snapshot. Admitted decisions count
// for those that follow. Memory and slots are never released within one plan, since an
// unload frees them only when it is confirmed.
type Verifier struct {
	snapshot  *Snapshot
	rows      map[string]int
	servers   map[outside.ServerID]int
	held      map[string]int
	slots     map[slotKey]bool
	committed []int64
	loaded    map[outside.ServerID]map[string]Decision
	adapters  map[outside.ServerID]map[string]bool
}

// NewVerifier returns a verifier for plans made from the snapshot.
func NewVerifier(snapshot *Snapshot) *Verifier {
	v := &Verifier{
		snapshot: snapshot, rows: snapshot.rowIndex().byName,
		servers: make(map[outside.ServerID]int, len(snapshot.Servers)),
		held:    map[string]int{}, slots: map[slotKey]bool{},
		committed: make([]int64, len(snapshot.Servers)),
		loaded:    map[outside.ServerID]map[string]Decision{},
		adapters:  map[outside.ServerID]map[string]bool{},
	}
	for i := range snapshot.Servers {
		v.count(i)
	}
	return v
}

func (v *Verifier) count(i int) {
	server := &v.snapshot.Servers[i]
	v.servers[server.ID] = i
	v.committed[i] = server.CommittedBytes
	for _, replica := range server.Replicas {
		v.held[replica.Model]++
		v.slots[slotKey{replica.Model, replica.Slot}] = true
		for _, adapter := range replica.Adapters {
			v.held[adapter.Name]++
		}
	}
}

// Admit returns a *Violation if the decision breaks a rule. Otherwise the decision counts
// for those that follow.
func (v *Verifier) Admit(decision Decision) error {
	if rule := v.brokenRule(decision); rule != "" {
		return &Violation{Rule: rule, Decision: decision}
	}
	return nil
}

// brokenRule returns the first rule that the decision breaks, or counts the decision and
// returns an empty rule.
func (v *Verifier) brokenRule(decision Decision) Rule {
	i, known := v.servers[decision.Server]
	if !known || !v.snapshot.Servers[i].Usable {
		return RuleUsableServer
	}
	switch decision.Action {
	case ActionLoad:
		return v.admitLoad(i, decision)
	case ActionLoadAdapter:
		return v.admitAdapter(i, decision)
	default:
		return v.admitRemoval(i, decision)
	}
}

func (v *Verifier) admitLoad(i int, decision Decision) Rule {
	server := &v.snapshot.Servers[i]
	row, rule := v.checkLoad(i, decision.Model, table.KindModel, decision.MemoryBytes)
	if rule != "" {
		return rule
	}
	slot := slotKey{decision.Model, decision.Slot}
	outOfRange := decision.Slot < row.FirstSlot || decision.Slot >= row.FirstSlot+outside.SlotID(row.Max)
	if outOfRange || v.slots[slot] {
		return RuleFreeSlot
	}
	if server.replica(decision.Model) != nil || v.loaded[server.ID][decision.Model].Model != "" {
		return RuleOnePerServer
	}
	v.slots[slot] = true
	v.commit(i, decision.Model, decision.MemoryBytes)
	if v.loaded[server.ID] == nil {
		v.loaded[server.ID] = map[string]Decision{}
	}
	v.loaded[server.ID][decision.Model] = decision
	return ""
}

func (v *Verifier) admitAdapter(i int, decision Decision) Rule {
	server := &v.snapshot.Servers[i]
	row, rule := v.checkLoad(i, decision.Adapter, table.KindAdapter, decision.MemoryBytes)
	if rule != "" {
		return rule
	}
	if row.Base != decision.Model {
		return RuleKnownRow
	}
	if !v.holdsBase(server, decision) {
		return RuleAttempt
	}
	if v.adapters[server.ID][decision.Adapter] || server.holdsAdapter(decision.Model, decision.Adapter) {
		return RuleOnePerServer
	}
	v.commit(i, decision.Adapter, decision.MemoryBytes)
	if v.adapters[server.ID] == nil {
		v.adapters[server.ID] = map[string]bool{}
	}
	v.adapters[server.ID][decision.Adapter] = true
	return ""
}

// holdsBase reports whether the replica on which an adapter is loaded exists and is not
// draining.
func (v *Verifier) holdsBase(server *Server, decision Decision) bool {
	if decision.Attempt == "" {
		return v.loaded[server.ID][decision.Model].Model != ""
	}
	replica := server.replica(decision.Model)
	return replica != nil && replica.Attempt == decision.Attempt && !replica.Draining
}

// checkLoad checks the rules for loads of models and adapters alike.
func (v *Verifier) checkLoad(i int, name string, kind table.Kind, memory int64) (*Row, Rule) {
	server := &v.snapshot.Servers[i]
	at, known := v.rows[name]
	if !known || v.snapshot.Rows[at].Kind != kind {
		return nil, RuleKnownRow
	}
	row := &v.snapshot.Rows[at]
	if server.Leaving {
		return nil, RuleStayingServer
	}
	if v.held[name]+v.snapshot.UnknownServers >= row.Max {
		return nil, RuleMaxReplicas
	}
	if memory < 0 || v.committed[i]+memory > server.MemoryBytes {
		return nil, RuleMemory
	}
	return row, ""
}

func (v *Verifier) commit(i int, name string, memory int64) {
	v.held[name]++
	v.committed[i] += memory
}

func (v *Verifier) admitRemoval(i int, decision Decision) Rule {
	replica := v.snapshot.Servers[i].replica(decision.Model)
	if replica == nil {
		return RuleAttempt
	}
	if decision.Action == ActionUnloadAdapter {
		for _, adapter := range replica.Adapters {
			if adapter.Name == decision.Adapter && adapter.Attempt == decision.Attempt {
				return ""
			}
		}
		return RuleAttempt
	}
	if replica.Attempt != decision.Attempt {
		return RuleAttempt
	}
	if decision.Action == ActionResume && (replica.UnloadOrdered || !replica.Draining) {
		return RuleAttempt
	}
	return ""
}

// replica returns the server's replica of a model, or nil.
func (s *Server) replica(model string) *Replica {
	for i := range s.Replicas {
		if s.Replicas[i].Model == model {
			return &s.Replicas[i]
		}
	}
	return nil
}

func (s *Server) holdsAdapter(model, name string) bool {
	replica := s.replica(model)
	if replica == nil {
		return false
	}
	for _, adapter := range replica.Adapters {
		if adapter.Name == name {
			return true
		}
	}
	return false
}
