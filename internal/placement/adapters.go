package placement

import (
	"sort"
	"time"
)

// wantedAdapter is an adapter that requests wait for and that no server holds.
type wantedAdapter struct {
	model, adapter string
	demand         *AdapterDemand
}

// loadAdapters loads the adapters that requests wait for, the one with the most
// waiting requests first.
func (p *plan) loadAdapters() {
	var missing []wantedAdapter
	for model, demand := range p.Demand {
		for adapter, adapterDemand := range demand.Adapters {
			if adapterDemand.Waiting > 0 && p.adapterHolders(model, adapter) == 0 {
				missing = append(missing, wantedAdapter{model, adapter, adapterDemand})
			}
		}
	}
	sort.Slice(missing, func(i, j int) bool {
		if missing[i].demand.Waiting != missing[j].demand.Waiting {
			return missing[i].demand.Waiting > missing[j].demand.Waiting
		}
		return missing[i].model+"/"+missing[i].adapter < missing[j].model+"/"+missing[j].adapter
	})
	for _, wanted := range missing {
		p.placeAdapter(wanted)
	}
}

// adapterHolders counts the servers that hold or load the adapter and are neither
// draining nor suspected.
func (p *plan) adapterHolders(model, adapter string) int {
	count := 0
	for i := range p.Servers {
		server := &p.Servers[i]
		if server.Draining || server.Suspect {
			continue
		}
		if server.Models[model].Adapters[adapter] || server.LoadingAdapter == model+"/"+adapter {
			count++
		}
	}
	return count
}

// placeAdapter loads the adapter on the server that holds its model with the fewest
// adapters. If that server has no slot or memory left, another adapter is unloaded first.
func (p *plan) placeAdapter(w wantedAdapter) {
	var best *Server
	for i := range p.Servers {
		server := &p.Servers[i]
		if _, holds := server.Models[w.model]; !holds || !p.usable(server) || server.Intent == w.model {
			continue
		}
		if best == nil || p.adapterCount(server) < p.adapterCount(best) {
			best = server
		}
	}
	if best == nil {
		return
	}
	p.assigned[best.ID] = true
	if p.adapterCount(best) < p.Engine.AdapterSlots && p.freeMemory(best) >= p.Engine.Models[w.model].AdapterMB {
		p.actions = append(p.actions, Action{Kind: LoadAdapter, Server: best.ID, Model: w.model, Adapter: w.adapter, Reason: "asked for"})
		return
	}
	if model, adapter, found := p.adapterVictim(best); found {
		p.actions = append(p.actions, Action{Kind: UnloadAdapter, Server: best.ID, Model: model, Adapter: adapter, Reason: "makes room"})
	}
}

func (p *plan) adapterCount(server *Server) int {
	count := 0
	for _, replica := range server.Models {
		count += len(replica.Adapters)
	}
	return count
}

// adapterVictim returns the least recently used adapter that may be unloaded.
func (p *plan) adapterVictim(server *Server) (model, adapter string, found bool) {
	var oldest time.Time
	for name, replica := range server.Models {
		for held := range replica.Adapters {
			used, busy := p.adapterUse(name, held)
			if busy {
				continue
			}
			earlier := used.Before(oldest) || used.Equal(oldest) && name+"/"+held < model+"/"+adapter
			if !found || earlier {
				model, adapter, oldest, found = name, held, used, true
			}
		}
	}
	return model, adapter, found
}

// adapterUse returns when an adapter was last used. It is busy, and must not be
// unloaded, if it is in demand and only one server holds it.
func (p *plan) adapterUse(model, adapter string) (last time.Time, busy bool) {
	demand := p.Demand[model]
	if demand == nil || demand.Adapters[adapter] == nil {
		return time.Time{}, false
	}
	adapterDemand := demand.Adapters[adapter]
	wanted := adapterDemand.Running+adapterDemand.Waiting > 0
	return adapterDemand.LastUsed, wanted && p.adapterHolders(model, adapter) == 1
}
