package membership

import (
	"errors"
	"sort"
	"time"

	"github.com/hatchplank/hatchplank/internal/peer"
)

const (
	// maxNeighbourProbes of the neighbour zones in one period.
	maxNeighbourProbes = 2
	// pausedPeriods without a tick mean that this node was paused.
	pausedPeriods = 3
)

var errOtherMember = errors.New("another member is at this address")

// probingState is what this node knows from probes.
type probingState struct {
	targets probeTargets
	// neighbourCredit grows by the share of the neighbour zones' probes that
	// this node owes in each period.
	neighbourCredit float64
	// inFlight are the IDs of members being probed.
	inFlight map[string]bool
	// suspects by ID left at least the newest probe unanswered.
	suspects map[string]*suspect
	tickedAt time.Time
}

// suspect is a member that left probes unanswered.
type suspect struct {
	member Member
	// failedRounds of probes in a row, direct and indirect.
	failedRounds int
	// accusedHere: this node accused the member.
	accusedHere bool
	// writing of an accusation or a removal is under way.
	writing bool
	retryAt time.Time
}

func (d *HeartbeatDetector) scheduleTickLocked() {
	d.clock.AfterFunc(jittered(d.random, d.options.Period), d.tick)
}

// tick probes who is due and judges the suspects.
func (d *HeartbeatDetector) tick() {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if d.stopped {
		return
	}
	now := d.clock.Now()
	if now.Sub(d.probing.tickedAt) > pausedPeriods*d.options.Period {
		d.trouble.note(now, d.options.OutageGrace)
	}
	d.probing.tickedAt = now
	d.scheduleTickLocked()
	if !d.synchronised || d.registration.superseded {
		return
	}
	d.probeDueLocked()
	d.judgeLocked(now)
}

func (d *HeartbeatDetector) probeDueLocked() {
	state := &d.probing
	for _, suspect := range d.sortedSuspectsLocked() {
		d.probeLocked(suspect.member)
	}
	if target, found := state.targets.zone.take(d.random); found {
		d.probeLocked(target)
	}
	for range d.neighbourProbesLocked() {
		if target, found := state.targets.neighbours.take(d.random); found {
			d.probeLocked(target)
		}
	}
}

// neighbourProbesLocked returns how many members of the neighbour zones to probe
// now, so that the whole zone probes each of them once in NeighbourPeriods.
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

// probeLocked begins a round: a direct probe, then indirect ones.
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
			d.roundEndedLocked(target, true)
			return
		}
		d.probeIndirectlyLocked(target)
	})
}

// probeIndirectlyLocked asks others to probe the target: only the way to it may
// be faulty.
func (d *HeartbeatDetector) probeIndirectlyLocked(target Member) {
	helpers := d.probing.targets.helpers(target, d.options.Helpers, d.mayHelpLocked, d.random)
	waiting := len(helpers)
	if waiting == 0 {
		d.roundEndedLocked(target, false)
		return
	}
	ended := false
	message := IndirectProbeMessage{Target: target.ID(), Address: target.PeerAddress}
	for _, helper := range helpers {
		d.transport.Call(helper.PeerAddress, message, d.options.IndirectTimeout, func(reply peer.Message, err error) {
			d.mutex.Lock()
			defer d.mutex.Unlock()
			waiting--
			answered := isProbeReply(reply, err)
			if !ended && (answered || waiting == 0) {
				ended = true
				d.roundEndedLocked(target, answered)
			}
		})
	}
}

func (d *HeartbeatDetector) mayHelpLocked(member Member) bool {
	return d.probing.suspects[member.ID()] == nil
}

// roundEndedLocked counts a round that a registered member left unanswered.
func (d *HeartbeatDetector) roundEndedLocked(target Member, answered bool) {
	id := target.ID()
	delete(d.probing.inFlight, id)
	known := d.registered[target.Name]
	if answered || known == nil || known.record.Member.ID() != id {
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

// handleProbe answers a probe that is meant for this member.
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

// handleIndirectProbe probes a member in the sender's place.
func (d *HeartbeatDetector) handleIndirectProbe(_ string, message peer.Message, reply func(peer.Message, error)) {
	request := message.(IndirectProbeMessage)
	d.transport.Call(request.Address, ProbeMessage{Target: request.Target}, d.options.DirectTimeout, reply)
}
