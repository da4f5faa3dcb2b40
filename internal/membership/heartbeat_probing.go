package membership

import (
	"errors"
	"sort"
	"time"

	"github.com/hatchplank/hatchplank/internal/peer"
)

const (
	// maxNeighbourProbes is the maximum number of members of neighbour zones that
	// a node probes in one period.
	maxNeighbourProbes = 2
	// pauseThresholdPeriods is the number of periods without a tick after which
	// this process is taken to have been paused.
	pauseThresholdPeriods = 3
)

var errOtherMember = errors.New("another member is at this address")

// probingState is the state of this node's probes.
type probingState struct {
	targets probeTargets
	// neighbourCredit accumulates this node's fractional share of the probes of
	// neighbour zones; a probe is sent for each whole unit.
	neighbourCredit float64
	// inFlight holds the IDs of members that are being probed.
	inFlight map[string]bool
	// suspects are the members, by ID, that left at least the newest probe round
	// unanswered.
	suspects   map[string]*suspect
	lastTickAt time.Time
}

// suspect is a member that left probe rounds unanswered.
type suspect struct {
	member Member
	// failedRounds counts the consecutive probe rounds, each direct and then
	// indirect, without an answer.
	failedRounds int
	// accusedBySelf: this node accused the member.
	accusedBySelf bool
	// writing: an accusation or a removal is being written.
	writing bool
	retryAt time.Time
}

func (d *HeartbeatDetector) scheduleTickLocked() {
	d.clock.AfterFunc(jittered(d.random, d.options.Period), d.tick)
}

// tick sends the probes of one period and evaluates the suspects.
func (d *HeartbeatDetector) tick() {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if d.stopped {
		return
	}
	now := d.clock.Now()
	if now.Sub(d.probing.lastTickAt) > pauseThresholdPeriods*d.options.Period {
		d.graceExtension.extend(now, d.options.OutageGrace)
	}
	d.probing.lastTickAt = now
	d.scheduleTickLocked()
	if !d.synchronised || d.registration.superseded {
		return
	}
	d.sendProbesLocked()
	d.evaluateSuspectsLocked(now)
}

// sendProbesLocked probes the suspects, the next member of the zone, and this
// node's share of the neighbour zones.
func (d *HeartbeatDetector) sendProbesLocked() {
	state := &d.probing
	for _, suspect := range d.sortedSuspectsLocked() {
		d.probeLocked(suspect.member)
	}
	if target, found := state.targets.zone.nextMember(d.random); found {
		d.probeLocked(target)
	}
	for range d.neighbourProbesLocked() {
		if target, found := state.targets.neighbours.nextMember(d.random); found {
			d.probeLocked(target)
		}
	}
}

// neighbourProbesLocked returns how many members of the neighbour zones this node
// probes in this period. The nodes of a zone together probe each such member once
// in NeighbourPeriods periods on average, unless maxNeighbourProbes limits them. A
// node that is alone in its zone probes at least one per period.
func (d *HeartbeatDetector) neighbourProbesLocked() int {
	state := &d.probing
	zoneSize := len(state.targets.zone.members) + 1
	share := float64(len(state.targets.neighbours.members)) / float64(zoneSize*d.options.NeighbourPeriods)
	if zoneSize == 1 {
		share = max(share, 1)
	}
	state.neighbourCredit += min(share, maxNeighbourProbes)
	due := int(state.neighbourCredit)
	state.neighbourCredit -= float64(due)
	return due
}

func (d *HeartbeatDetector) sortedSuspectsLocked() []*suspect {
	suspects := make([]*suspect, 0, len(d.probing.suspects))
	for _, suspect := range d.probing.suspects {
		suspects = append(suspects, suspect)
	}
	sort.Slice(suspects, func(i, j int) bool { return suspects[i].member.Name < suspects[j].member.Name })
	return suspects
}

// probeLocked starts a probe round: a direct probe and, if that fails, indirect
// ones. It does nothing while a round for the target is in flight.
func (d *HeartbeatDetector) probeLocked(target Member) {
	id := target.ID()
	if d.probing.inFlight[id] {
		return
	}
	d.probing.inFlight[id] = true
	d.transport.Call(target.PeerAddress, ProbeMessage{Target: id}, d.options.DirectTimeout, func(reply peer.Message, err error) {
		d.mutex.Lock()
		defer d.mutex.Unlock()
		if isProbeReply(reply, err) {
			d.completeRoundLocked(target, true)
			return
		}
		d.probeIndirectlyLocked(target)
	})
}

// probeIndirectlyLocked asks other members to probe the target, since only the
// network path between this node and the target may be faulty.
func (d *HeartbeatDetector) probeIndirectlyLocked(target Member) {
	probers := d.probing.targets.drawIndirectProbers(target, d.options.IndirectProbers, d.notSuspectedLocked, d.random)
	waiting := len(probers)
	if waiting == 0 {
		d.completeRoundLocked(target, false)
		return
	}
	completed := false
	message := IndirectProbeMessage{Target: target.ID(), Address: target.PeerAddress}
	for _, prober := range probers {
		d.transport.Call(prober.PeerAddress, message, d.options.IndirectTimeout, func(reply peer.Message, err error) {
			d.mutex.Lock()
			defer d.mutex.Unlock()
			waiting--
			answered := isProbeReply(reply, err)
			if !completed && (answered || waiting == 0) {
				completed = true
				d.completeRoundLocked(target, answered)
			}
		})
	}
}

// notSuspectedLocked reports whether a member answered its newest probe round, or
// was not probed yet.
func (d *HeartbeatDetector) notSuspectedLocked(member Member) bool {
	return d.probing.suspects[member.ID()] == nil
}

// completeRoundLocked records the result of a probe round: an unanswered round of
// a registered member makes it a suspect, an answer clears it.
func (d *HeartbeatDetector) completeRoundLocked(target Member, answered bool) {
	id := target.ID()
	delete(d.probing.inFlight, id)
	entry := d.registered[target.Name]
	if answered || entry == nil || entry.record.Member.ID() != id {
		delete(d.probing.suspects, id)
		return
	}
	if d.probing.suspects[id] == nil {
		d.probing.suspects[id] = &suspect{member: target}
	}
	d.probing.suspects[id].failedRounds++
}

func isProbeReply(reply peer.Message, err error) bool {
	_, isReply := reply.(ProbeReply)
	return err == nil && isReply
}

// handleProbe answers a probe of this member. A probe of another member or
// incarnation gets an error.
func (d *HeartbeatDetector) handleProbe(_ string, message peer.Message, reply func(peer.Message, error)) {
	d.mutex.Lock()
	self := d.self.ID()
	d.mutex.Unlock()
	if message.(ProbeMessage).Target != self {
		reply(nil, errOtherMember)
		return
	}
	reply(ProbeReply{}, nil)
}

// handleIndirectProbe probes a member on behalf of the sender and forwards the
// reply.
func (d *HeartbeatDetector) handleIndirectProbe(_ string, message peer.Message, reply func(peer.Message, error)) {
	request := message.(IndirectProbeMessage)
	d.transport.Call(request.Address, ProbeMessage{Target: request.Target}, d.options.DirectTimeout, reply)
}
