package placement

import (
	"sort"
	"time"
)

// adapterWish is an adapter that is missing.
type adapterWish struct {
	model, adapter string
	demand         *AdapterDemand
}

// loadAdapters loads the adapters that requests wait for.
func (p *plan) loadAdapters() {
	var wishes []adapterWish
	for model, demand := range p.Demand {
		for adapter, ofAdapter := range demand.Adapters {
			if ofAdapter.Waiting > 0 && p.adapterHolders(model, adapter) == 0 {
				wishes = append(wishes, adapterWish{model, adapter, ofAdapter})
			}
		}
	}
	sort.Slice(wishes, func(i, j int) bool {
		if wishes[i].demand.Waiting != wishes[j].demand.Waiting {
			return wishes[i].demand.Waiting > wishes[j].demand.Waiting
		}
		return wishes[i].model+"/"+wishes[i].adapter < wishes[j].model+"/"+wishes[j].adapter
	})
	for _, wish := range wishes {
		p.placeAdapter(wish)
	}
}

// adapterHolders counts the servers that hold the adapter, or soon will, and stay.
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

// placeAdapter loads the adapter at the holder of its model with the most free
// places, or makes a place where none is free.
func (p *plan) placeAdapter(w adapterWish) {
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
	p.taken[best.ID] = true
	if p.adapterCount(best) < p.Engine.AdapterSlots && p.free(best) >= p.Engine.Models[w.model].AdapterMB {
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

// adapterVictim is the adapter that was not used for longest.
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

func (p *plan) adapterUse(model, adapter string) (last time.Time, busy bool) {
	demand := p.Demand[model]
	if demand == nil || demand.Adapters[adapter] == nil {
		return time.Time{}, false
	}
	ofAdapter := demand.Adapters[adapter]
	wanted := ofAdapter.Running+ofAdapter.Waiting > 0
	return ofAdapter.LastUsed, wanted && p.adapterHolders(model, adapter) == 1
}
