package membership

import (
	"sync"
)

// Detector is a failure detector: it determines which members are alive.
// LeaseDetector relies on leases in the key-value service, HeartbeatDetector on
// probes between members.
type Detector interface {
	// Start registers self and begins to detect. onChange is called with the live
	// members, in order of name, whenever they changed; calls never overlap.
	Start(self Member, onChange func(members []Member))
	// Update registers a changed self.
	Update(self Member)
	// Stop deregisters this node. done is called as described in package outside,
	// also if the deregistration failed.
	Stop(done func())
}

// Registry holds this node's view of the members; it implements View. The view is
// kept during an outage of the key-value service.
type Registry struct {
	detector Detector

	mutex   sync.Mutex
	self    Member
	members []Member
	// synchronised: the members have been read at least once.
	synchronised bool
	subscribers  []func([]Member)
}

// NewRegistry returns a registry that contains only this node.
func NewRegistry(self Member, detector Detector) *Registry {
	return &Registry{detector: detector, self: self, members: []Member{self}}
}

// Subscribe adds a function that is called with the members after each change. It
// must be called before Start.
func (r *Registry) Subscribe(subscriber func(members []Member)) {
	r.subscribers = append(r.subscribers, subscriber)
}

// Start registers this node and begins to detect the others.
func (r *Registry) Start() { r.detector.Start(r.Self(), r.replace) }

// Stop deregisters this node. done is called afterwards, also after a failure.
func (r *Registry) Stop(done func()) { r.detector.Stop(done) }

// SetDraining sets this node's Draining flag and publishes it to the other members.
func (r *Registry) SetDraining(draining bool) {
	r.mutex.Lock()
	r.self.Draining = draining
	self := r.self
	r.mutex.Unlock()
	r.detector.Update(self)
}

// Self implements View.
func (r *Registry) Self() Member {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.self
}

// Members implements View.
func (r *Registry) Members() []Member {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.members
}

func (r *Registry) replace(members []Member) {
	r.mutex.Lock()
	r.members = members
	r.synchronised = true
	r.mutex.Unlock()
	for _, subscriber := range r.subscribers {
		subscriber(members)
	}
}

// Synchronised reports whether the members have been read at least once. Before
// that, Members contains only this node, whatever other members there are.
func (r *Registry) Synchronised() bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.synchronised
}
