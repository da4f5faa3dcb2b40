package tenants

import (
	"maps"
	"sync"
	"time"
)

// keeper counts tenants on this node, for all nodes.
type keeper struct {
	window  time.Duration
	started time.Time

	mutex    sync.Mutex
	accounts map[string]*account
}

func newKeeper(window time.Duration) *keeper {
	return &keeper{window: window, started: time.Now(), accounts: map[string]*account{}}
}

// take counts a request. Heard is what the asking node heard from another one that
// counted the tenant before.
func (k *keeper) take(tenant *Tenant, cost, rank float64, heard Count, now time.Time) (within bool, roomIn time.Duration, left Count) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	found := k.accounts[tenant.Name]
	if found == nil {
		found = newAccount(tenant.Limit, k.window, now.Sub(k.started), now)
		k.accounts[tenant.Name] = found
	}
	if heard.Known {
		found.hear(heard, tenant.Limit, now)
	}
	within, roomIn = found.take(tenant.Limit, cost, rank, now)
	return within, roomIn, found.count(tenant.Limit, now)
}

func (k *keeper) giveBack(tenant *Tenant, cost float64, now time.Time) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	if found := k.accounts[tenant.Name]; found != nil {
		found.giveBack(cost, now)
	}
}

// forget drops tenants that are not known any more.
func (k *keeper) forget(known func(tenant string) bool) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	maps.DeleteFunc(k.accounts, func(name string, _ *account) bool { return !known(name) })
}
