package placement

import (
	"math"
	"time"
)

const (
	// recentTime is the time constant with which the worth of a replica falls after the load
	// that it served has ended. Two models whose loads alternate faster keep their replicas.
	recentTime = time.Minute
	// minRecentLoss is the worth in lost requests per second below which it is forgotten.
	minRecentLoss = 0.01
)

// RemovalLoss is what the servers of a model lose if the model is unloaded at one of them.
type RemovalLoss struct {
	// Servers is the number of servers that hold the model or are about to.
	Servers int
	// PerSecond is the loss in lost requests per second.
	PerSecond float64
}

// RecentLosses keeps, by model, the highest recent RemovalLoss, which decays with time. It is for
// one pool, and not safe for concurrent use.
type RecentLosses struct {
	peaks map[string]recentLoss
}

type recentLoss struct {
	RemovalLoss
	at time.Time
}

// NewRecentLosses returns empty recent losses.
func NewRecentLosses() *RecentLosses { return &RecentLosses{peaks: map[string]recentLoss{}} }

// Record adds the losses that a plan found. With more servers than before, only the new loss
// counts: that of a model's first further replica says nothing about its third.
func (r *RecentLosses) Record(found map[string]RemovalLoss, now time.Time) {
	for model, loss := range found {
		earlier := r.peaks[model]
		if loss.Servers > earlier.Servers || loss.PerSecond >= earlier.decayed(now) {
			r.peaks[model] = recentLoss{RemovalLoss: loss, at: now}
		}
	}
}

// At returns the decayed losses in lost requests per second, by model.
func (r *RecentLosses) At(now time.Time) map[string]float64 {
	decayed := make(map[string]float64, len(r.peaks))
	for model, peak := range r.peaks {
		if loss := peak.decayed(now); loss >= minRecentLoss {
			decayed[model] = loss
		} else {
			delete(r.peaks, model)
		}
	}
	return decayed
}

func (l recentLoss) decayed(now time.Time) float64 {
	return l.PerSecond * math.Exp(-now.Sub(l.at).Seconds()/recentTime.Seconds())
}

// removalLosses returns the losses of the models with further replicas, as far as they are known.
func (p *plan) removalLosses() map[string]RemovalLoss {
	var found map[string]RemovalLoss
	for name, group := range p.groups {
		if group.known == 0 {
			continue
		}
		if loss := group.RemovalLoss(); loss >= minRecentLoss {
			if found == nil {
				found = map[string]RemovalLoss{}
			}
			found[name] = RemovalLoss{Servers: group.Servers, PerSecond: loss}
		}
	}
	return found
}

// recentLoss returns the recent loss of a model; 0 if no server's load is known. The losses decay
// over minutes, while plans must be those without loads as soon as the loads have expired.
func (p *plan) recentLoss(model string) float64 {
	if p.groups == nil {
		return 0
	}
	return p.RecentLosses[model]
}

// furtherReplicaLoss returns the loss if one of several replicas of a model is evicted: now, or by
// its recent load.
func (p *plan) furtherReplicaLoss(model string) float64 {
	loss := p.recentLoss(model)
	if group := p.groups[model]; group != nil && group.known > 0 {
		loss = max(loss, group.RemovalLoss())
	}
	return loss
}
