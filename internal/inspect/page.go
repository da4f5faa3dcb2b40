// Package inspect shows what one node of the users' platform knows: the
// configuration in force, who orders, what each server holds, and why.
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

// Page is what a node knows.
type Page struct {
	Node string `json:"node"`
	Zone string `json:"zone"`
	// Configuration in force; its revision is 0 if there is none.
	ConfigurationVersion  int64 `json:"configuration_version"`
	ConfigurationRevision int64 `json:"configuration_revision"`
	Routes                int   `json:"routes"`
	// Holder of orders, and whether that is this node. Only the holder knows why
	// each model is where it is.
	Holder   string `json:"holder"`
	IsHolder bool   `json:"holds"`
	// Relayed: the holder tells this node what the store holds.
	Relayed bool     `json:"relayed"`
	Servers []Server `json:"servers"`
	Demand  []Demand `json:"demand"`
	// Poison are the requests that are refused since servers ended under them.
	Poison []Poison `json:"poison"`
}

// Poison is a request that is refused since servers ended under it.
type Poison struct {
	// Identity of the request, as in logs and as in its key in the store.
	Identity string   `json:"identity"`
	Servers  []string `json:"servers"`
	// Refusals is how often the request was refused, RemainingSeconds how long it still is.
	Refusals         int     `json:"times"`
	RemainingSeconds float64 `json:"seconds"`
}

// Server is what a node knows of one server.
type Server struct {
	ID       string    `json:"id"`
	Pool     string    `json:"pool"`
	Zone     string    `json:"zone"`
	Address  string    `json:"address"`
	Draining bool      `json:"draining"`
	Replicas []Replica `json:"replicas"`
}

// Replica is a model at a server.
type Replica struct {
	Model    string   `json:"model"`
	Adapters []string `json:"adapters"`
	// Reason for which it was loaded, and how long it has been there, in seconds;
	// empty where this node does not know.
	Reason     string  `json:"reason,omitempty"`
	AgeSeconds float64 `json:"seconds,omitempty"`
}

// Demand is what this node's callers ask for now.
type Demand struct {
	Pool    string `json:"pool"`
	Model   string `json:"model"`
	Adapter string `json:"adapter,omitempty"`
	Waiting int    `json:"waiting"`
	Running int    `json:"running"`
}

// Origin tells since when a model is at a server, zero if that is not known, and
// why.
type Origin struct {
	Since  time.Time
	Reason string
}

// Origins by server and model.
type Origins map[string]map[string]Origin

// Source of a node's page. All functions are needed.
type Source struct {
	Node, Zone string
	View       *fleet.View
	Demand     func() []forward.Demand
	// Holder names the holder of orders; empty: none is known.
	Holder func() string
	// Origins is nil unless this node holds orders.
	Origins func() Origins
	Relayed func() bool
	Poison  func() []poison.Entry
}

// ServeHTTP answers with the page as JSON.
func (s *Source) ServeHTTP(writer http.ResponseWriter, _ *http.Request) {
	writer.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(writer).Encode(s.Page(time.Now()))
}

// Page collects what the node knows.
func (s *Source) Page(now time.Time) Page {
	snapshot := s.View.Load()
	page := Page{Node: s.Node, Zone: s.Zone, Holder: s.Holder(), Relayed: s.Relayed(), Servers: []Server{}, Demand: []Demand{}, Poison: []Poison{}}
	if configuration := snapshot.Configuration; configuration != nil {
		page.ConfigurationVersion, page.ConfigurationRevision, page.Routes = configuration.Version, configuration.Revision, configuration.RouteCount()
	}
	origins := s.Origins()
	page.IsHolder = origins != nil
	for _, server := range snapshot.Servers {
		page.Servers = append(page.Servers, describe(server, origins[server.ID], now))
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
			Identity: entry.Identity.Text(), Servers: entry.Servers, Refusals: entry.Times, RemainingSeconds: entry.Until.Sub(now).Seconds(),
		})
	}
	return page
}

func describe(server *fleet.Server, origins map[string]Origin, now time.Time) Server {
	described := Server{
		ID: server.ID, Pool: server.Pool, Zone: server.Zone, Address: server.Address, Draining: server.Draining, Replicas: []Replica{},
	}
	for name, held := range server.Models {
		replica := Replica{Model: name, Adapters: held.AdapterNames()}
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
