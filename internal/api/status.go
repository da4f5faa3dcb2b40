package api

import (
	"math"
	"net/http"
	"time"

	"github.com/hatchplank/hatchplank/internal/result"
	"github.com/hatchplank/hatchplank/internal/table"
)

// Status is the state of the deployment as collected by one node.
type Status struct {
	// Node is the name of the collecting node.
	Node     string         `json:"node"`
	Revision table.Revision `json:"revision"`
	Draining bool           `json:"draining"`
	// Unreachable nodes did not answer: their rows, pools and servers are missing.
	Unreachable []string       `json:"silent"`
	Rows        []RowStatus    `json:"rows"`
	Pools       []PoolStatus   `json:"pools"`
	Servers     []ServerStatus `json:"servers"`
	Members     []MemberStatus `json:"members"`
	Owners      []OwnerStatus  `json:"owners"`
	Platform    PlatformHealth `json:"platform"`
}

// RowStatus is the state of one row.
type RowStatus struct {
	Row    string `json:"row"`
	Tenant string `json:"tenant"`
	// MinReplicas and MaxReplicas are the limits in the row.
	MinReplicas int `json:"min_replicas"`
	MaxReplicas int `json:"max_replicas"`
	// Waiting and Running are the requests at all gateways. Those for adapters are
	// counted in the row of their base model.
	Waiting  int             `json:"waiting"`
	Running  int             `json:"running"`
	Replicas []ReplicaStatus `json:"replicas"`
}

// ReplicaStatus is the state of one replica. In the row of an adapter it is the replica of
// the base model that has the adapter loaded.
type ReplicaStatus struct {
	Slot    int    `json:"slot"`
	Server  string `json:"server"`
	Zone    string `json:"zone"`
	Phase   string `json:"phase"`
	Version string `json:"version"`
	Running int    `json:"running"`
	Queued  int    `json:"queued"`
	// Reason is why the replica was loaded. Leaving is why it is being removed, empty if
	// it is not.
	Reason  string `json:"reason"`
	Leaving string `json:"leaving"`
}

// PoolStatus is the state of one pass-through pool.
type PoolStatus struct {
	Pool    string `json:"pool"`
	Waiting int    `json:"waiting"`
	Running int    `json:"running"`
}

// ServerStatus is the state and memory use of one server.
type ServerStatus struct {
	Server string `json:"server"`
	Pool   string `json:"pool"`
	Zone   string `json:"zone"`
	Cell   string `json:"cell"`
	// State is "adopted", "leaving", "not_adopted" or "not_listed".
	State         string `json:"state"`
	MemoryBytes   int64  `json:"memory_bytes"`
	ReservedBytes int64  `json:"reserved_bytes"`
}

// MemberStatus is the state of one live node.
type MemberStatus struct {
	Name     string         `json:"name"`
	Zone     string         `json:"zone"`
	Address  string         `json:"address"`
	Draining bool           `json:"draining"`
	Revision table.Revision `json:"revision"`
}

// OwnerStatus is the owner of a cell.
type OwnerStatus struct {
	Cell   string `json:"cell"`
	Member string `json:"member"`
	Epoch  uint64 `json:"epoch"`
	Vacant bool   `json:"vacant"`
}

// PlatformHealth is the state of the platform's services as seen by the node.
type PlatformHealth struct {
	Services []ServiceHealth `json:"services"`
}

// ServiceHealth is the state of one platform service as seen by the node.
type ServiceHealth struct {
	Service     string    `json:"service"`
	Healthy     bool      `json:"healthy"`
	LastSuccess time.Time `json:"last_success"`
	Detail      string    `json:"detail,omitempty"`
}

// RevisionStatus reports whether a revision is in force, and the revision of each node.
type RevisionStatus struct {
	Revision table.Revision `json:"revision"`
	// InForce is true if every live node uses the revision or a newer one.
	InForce bool           `json:"in_force"`
	Members []MemberStatus `json:"members"`
}

// StatusSource collects the state shown by the administration. Done callbacks follow the
// contract of package outside.
type StatusSource interface {
	// Status collects the state of the deployment.
	Status(timeout time.Duration, done func(Status, error))
	// RevisionStatus asks the live nodes for the revision that they use.
	RevisionStatus(revision table.Revision, timeout time.Duration, done func(RevisionStatus, error))
}

func (a *API) getStatus(c *call) {
	timeout := a.config.Limits.AdminTimeout
	status, err := await(c.request.Context(), timeout, func(done func(Status, error)) {
		a.config.Status.Status(timeout, done)
	})
	if err != nil {
		c.refuse(refusalOfRead(err))
		return
	}
	c.answer(http.StatusOK, filterStatus(status, managedTenant(c.principal)))
}

// filterStatus removes the rows of other tenants, and all pools, from the status for a
// tenant. An empty tenant sees everything.
func filterStatus(status Status, tenant string) Status {
	if tenant == "" {
		return status
	}
	rows := []RowStatus{}
	for _, row := range status.Rows {
		if row.Tenant == tenant {
			rows = append(rows, row)
		}
	}
	status.Rows = rows
	status.Pools = []PoolStatus{}
	return status
}

func (a *API) getRevisionStatus(c *call) {
	revision, refusal := parseWholeNumber(c.request, "revision", 0, math.MaxInt64)
	if refusal == nil && revision == 0 {
		refusal = refuse(result.MalformedRequest, "the query parameter revision is missing")
	}
	if refusal != nil {
		c.refuse(*refusal)
		return
	}
	timeout := a.config.Limits.AdminTimeout
	status, err := await(c.request.Context(), timeout, func(done func(RevisionStatus, error)) {
		a.config.Status.RevisionStatus(table.Revision(revision), timeout, done)
	})
	if err != nil {
		c.refuse(refusalOfRead(err))
		return
	}
	c.answer(http.StatusOK, status)
}
