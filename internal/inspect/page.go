// Package inspect provides the status page of a node on the users' platform: the configuration in
// force, the order holder, the models at each server and the reasons why they were loaded.
package inspect

import (
	"encoding/json"
	"net/http"
	"sort"
	"time"

	"github.com/hatchplank/hatchplank/internal/fleet"
	"github.com/hatchplank/hatchplank/internal/forward"
	"github.com/hatchplank/hatchplank/internal/poison"
)

// Page is the status page of a node.
type Page struct {
	Node string `json:"node"`
	Zone string `json:"zone"`
	// ConfigurationVersion and ConfigurationRevision are those of the configuration in force; the
	// revision is 0 if there is none.
	ConfigurationVersion  int64 `json:"configuration_version"`
	ConfigurationRevision int64 `json:"configuration_revision"`
	Routes                int   `json:"routes"`
	// Holder is the name of the order holder, IsHolder whether it is this node. Only the holder
	// knows why each model was loaded.
	Holder   string `json:"holder"`
	IsHolder bool   `json:"holds"`
	// Relayed is set while the holder relays the store's state to this node.
	Relayed bool     `json:"relayed"`
	Servers []Server `json:"servers"`
	Demand  []Demand `json:"demand"`
	// Poison are the quarantined requests.
	Poison []Poison `json:"poison"`
}

// Poison is a quarantined request: one that is refused since servers crashed while they ran it.
type Poison struct {
	// Identity of the request, as in logs and in its key in the store.
	Identity string   `json:"identity"`
	Servers  []string `json:"servers"`
	// Quarantines is how often the request was quarantined, RemainingSeconds how long it still is.
	Quarantines      int     `json:"times"`
	RemainingSeconds float64 `json:"seconds"`
	// TrialSeconds is how long one node at a time may run it after that; zero: not at all.
	TrialSeconds float64 `json:"trial_seconds"`
}

// Server is the state of a server as the node knows it.
type Server struct {
	ID       string    `json:"id"`
	Pool     string    `json:"pool"`
	Zone     string    `json:"zone"`
	Address  string    `json:"address"`
	Draining bool      `json:"draining"`
	Replicas []Replica `json:"replicas"`
}

// Replica is a model loaded at a server.
type Replica struct {
	Model    string   `json:"model"`
	Adapters []string `json:"adapters"`
	// Reason is why the model was loaded, AgeSeconds the time since then; zero if unknown to
	// this node.
	Reason     string  `json:"reason,omitempty"`
	AgeSeconds float64 `json:"seconds,omitempty"`
}

// Demand is the current demand of this node's clients for a model or adapter, in requests.
type Demand struct {
	Pool    string `json:"pool"`
	Model   string `json:"model"`
	Adapter string `json:"adapter,omitempty"`
	Waiting int    `json:"waiting"`
	Running int    `json:"running"`
}

// Origin is the time at which a model was loaded at a server, zero if unknown, and the reason.
type Origin struct {
	Since  time.Time
	Reason string
}

// Origins holds origins by server and model.
type Origins map[string]map[string]Origin

// Source collects a node's status page. All fields are required.
type Source struct {
	Node, Zone string
	View       *fleet.View
	Demand     func() []forward.Demand
	// Holder returns the name of the order holder; empty if unknown.
	Holder func() string
	// Origins returns the replicas' origins; nil unless this node is the order holder.
	Origins func() Origins
	Relayed func() bool
	Poison  func() []poison.Entry
}

// ServeHTTP responds with the page as JSON.
func (s *Source) ServeHTTP(writer http.ResponseWriter, _ *http.Request) {
	writer.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(writer).Encode(s.Page(time.Now()))
}

// Page returns the node's current status page.
func (s *Source) Page(now time.Time) Page {
	snapshot := s.View.Load()
	page := Page{Node: s.Node, Zone: s.Zone, Holder: s.Holder(), Relayed: s.Relayed(), Servers: []Server{}, Demand: []Demand{}, Poison: []Poison{}}
	if configuration := snapshot.Configuration; configuration != nil {
		page.ConfigurationVersion, page.ConfigurationRevision, page.Routes = configuration.Version, configuration.Revision, configuration.RouteCount()
	}
	origins := s.Origins()
	page.IsHolder = origins != nil
	for _, server := range snapshot.Servers {
		page.Servers = append(page.Servers, describeServer(server, origins[server.ID], now))
	}
	sort.Slice(page.Servers, func(i, j int) bool {
		first, second := page.Servers[i], page.Servers[j]
		if first.Pool != second.Pool {
			return first.Pool < second.Pool
		}
		return first.ID < second.ID
	})
	for _, row := range s.Demand() {
		if row.Waiting+row.Running > 0 {
			page.Demand = append(page.Demand, Demand{
				Pool: row.Pool, Model: row.Model, Adapter: row.Adapter, Waiting: row.Waiting, Running: row.Running,
			})
		}
	}
	for _, entry := range s.Poison() {
		page.Poison = append(page.Poison, Poison{
			Identity: entry.Identity.Text(), Servers: entry.Servers, Quarantines: entry.Times, RemainingSeconds: max(entry.Until.Sub(now), 0).Seconds(),
			TrialSeconds: entry.TrialTime(now).Seconds(),
		})
	}
	return page
}

// describeServer returns a server's entry in the page.
func describeServer(server *fleet.Server, origins map[string]Origin, now time.Time) Server {
	described := Server{
		ID: server.ID, Pool: server.Pool, Zone: server.Zone, Address: server.Address, Draining: server.Draining, Replicas: []Replica{},
	}
	for name, model := range server.Models {
		replica := Replica{Model: name, Adapters: model.AdapterNames()}
		if origin, known := origins[name]; known {
			replica.Reason = origin.Reason
			if !origin.Since.IsZero() {
				replica.AgeSeconds = now.Sub(origin.Since).Seconds()
			}
		}
		described.Replicas = append(described.Replicas, replica)
	}
	sort.Slice(described.Replicas, func(i, j int) bool { return described.Replicas[i].Model < described.Replicas[j].Model })
	return described
}
