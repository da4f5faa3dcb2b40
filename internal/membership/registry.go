package membership

import (
	"sync"
)

// Detector finds out which members are alive. Implementations differ in whom
// they ask: LeaseDetector relies on leases in the key-value service.
type Detector interface {
	// Start announces self and begins to detect. onChange receives the live
	// members in order of name whenever they changed; calls never overlap.
	Start(self Member, onChange func(members []Member))
	// Update announces a changed self.
	Update(self Member)
	// Stop withdraws the announcement. Done as in package outside; it is
	// called also when the withdrawal could not be made known.
	Stop(done func())
}

// Registry is this node's knowledge of the members; it implements View. What
// it knows is kept over an outage of the key-value service.
type Registry struct {
	detector Detector

	mutex   sync.Mutex
	self    Member
	members []Member
	// synchronised: the members were read at least once.
	synchronised bool
	subscribers  []func([]Member)
}

// NewRegistry returns a registry that knows only this node.
func NewRegistry(self Member, detector Detector) *Registry {
	return &Registry{detector: detector, self: self, members: []Member{self}}
}

// Subscribe adds a function that is called with the members after each change.
// It must be called before Start.
func (r *Registry) Subscribe(subscriber func(members []Member)) {
	r.subscribers = append(r.subscribers, subscriber)
}

// Start announces this node and begins to detect the others.
func (r *Registry) Start() { r.detector.Start(r.Self(), r.replace) }

// Stop withdraws this node; done is called when that is over.
func (r *Registry) Stop(done func()) { r.detector.Stop(done) }

// SetDraining announces whether this node is being stopped.
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

// Synchronised reports whether the members were read at least once. Before
// that this node is the only member it knows, which says nothing of the others.
func (r *Registry) Synchronised() bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.synchronised
}
