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

// take counts a request. Heard is what the asking node heard from another one that
// counted the limit before.
func (k *keeper) take(name string, limit Limit, cost, rank float64, heard Count, now time.Time) (verdict Verdict, left Count) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	found := k.accounts[name]
	if found == nil {
		found = newAccount(limit, now.Sub(k.started), now)
		k.accounts[name] = found
	}
	if heard.Known {
		found.hear(heard, limit, now)
	}
	verdict = found.take(limit, cost, rank, now)
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
