package httpapi

import (
	"net/http"
	"time"

	"github.com/hatchplank/hatchplank/internal/outside"
)

// MachineList implements outside.MachineListService.
type MachineList struct {
	client  *http.Client
	address string
	options Options
}

// NewMachineList returns a client of the machine list at an address.
func NewMachineList(address string, options Options) *MachineList {
	options = options.withDefaults()
	return &MachineList{client: newClient(options), address: address, options: options}
}

// Close closes the idle connections.
func (m *MachineList) Close() { m.client.CloseIdleConnections() }

// List implements outside.MachineListService.
func (m *MachineList) List(sinceVersion uint64, timeout time.Duration, done func(*outside.MachineListing, error)) {
	url := "http://" + m.address + PathMachines + sinceQuery(sinceVersion)
	go func() {
		listing := &outside.MachineListing{}
		changed, err := exchangeJSON(m.client, m.options.MaxResponseBytes, timeout, http.MethodGet, url, nil, listing)
		if err != nil || !changed {
			done(nil, err)
			return
		}
		done(listing, nil)
	}()
}

// WeightStore implements outside.WeightStoreService.
type WeightStore struct {
	client  *http.Client
	address string
	options Options
}

// NewWeightStore returns a client of the weight store at an address.
func NewWeightStore(address string, options Options) *WeightStore {
	options = options.withDefaults()
	return &WeightStore{client: newClient(options), address: address, options: options}
}

// Close closes the idle connections.
func (w *WeightStore) Close() { w.client.CloseIdleConnections() }

// Status implements outside.WeightStoreService.
func (w *WeightStore) Status(timeout time.Duration, done func(outside.WeightStoreStatus, error)) {
	url := "http://" + w.address + PathWeightStatus
	go func() {
		status := outside.WeightStoreStatus{}
		_, err := exchangeJSON(w.client, w.options.MaxResponseBytes, timeout, http.MethodGet, url, nil, &status)
		done(status, err)
	}()
}
