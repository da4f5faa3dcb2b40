package ratelimit

import (
	"maps"
	"sync"
	"time"
)

// keeper counts on this node, for all nodes.
type keeper struct {
	started time.Time

	mutex sync.Mutex
	// accounts by name of their limit.
	accounts map[string]*account
}

func newKeeper() *keeper { return &keeper{started: time.Now(), accounts: map[string]*account{}} }

// take counts what is asked for.
func (k *keeper) take(limit Limit, ask TakeRequest, now time.Time) (verdict Verdict, left Count) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	found := k.accounts[ask.Tenant]
	if found == nil {
		found = newAccount(limit, now.Sub(k.started), now)
		k.accounts[ask.Tenant] = found
	}
	if ask.Heard.Known {
		found.hear(ask.Heard, limit, now)
	}
	verdict = found.take(limit, ask, now)
	return verdict, found.count(limit, now)
}

func (k *keeper) giveBack(name string, cost float64, now time.Time) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	if found := k.accounts[name]; found != nil {
		found.giveBack(cost, now)
	}
}

// forget drops the limits that nobody has asked for lately.
func (k *keeper) forget(now time.Time) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	maps.DeleteFunc(k.accounts, func(_ string, unused *account) bool { return now.Sub(unused.at) > unusedTime })
}
