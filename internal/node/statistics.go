package node

import (
	"encoding/binary"
	"time"

	"github.com/rotisserie/eris"

	"github.com/hatchplank/hatchplank/internal/outside"
)

// statisticsPrefix is the prefix of the keys under which the statistics of cells
// are stored in the key-value service.
const statisticsPrefix = "statistics/"

// epochSize is the length in bytes of the epoch that precedes the statistics.
const epochSize = 8

// statisticsStore stores the statistics of cells in the key-value service. It
// implements applier.StatisticsStore.
type statisticsStore struct {
	service outside.KeyValueService
	timeout time.Duration
}

func newStatisticsStore(service outside.KeyValueService, timeout time.Duration) *statisticsStore {
	return &statisticsStore{service: service, timeout: timeout}
}

// Load implements applier.StatisticsStore. Data is nil if none were saved.
func (s *statisticsStore) Load(cell string, done func([]byte, error)) {
	s.read(cell, func(pair outside.KeyValue, err error) {
		if err != nil || len(pair.Value) < epochSize {
			done(nil, err)
			return
		}
		done(pair.Value[epochSize:], nil)
	})
}

func (s *statisticsStore) read(cell string, done func(outside.KeyValue, error)) {
	key := statisticsPrefix + cell
	s.service.Range(key, s.timeout, func(result outside.RangeResult, err error) {
		if err != nil {
			done(outside.KeyValue{}, err)
			return
		}
		for _, pair := range result.KeyValues {
			if pair.Key == key {
				done(pair, nil)
				return
			}
		}
		done(outside.KeyValue{}, nil)
	})
}

// Save implements applier.StatisticsStore. It fails if an owner of a higher
// epoch has saved statistics for the cell.
func (s *statisticsStore) Save(cell string, epoch uint64, data []byte, done func(error)) {
	s.read(cell, func(pair outside.KeyValue, err error) {
		if err != nil {
			done(err)
			return
		}
		if len(pair.Value) >= epochSize && binary.BigEndian.Uint64(pair.Value) > epoch {
			done(eris.New("statistics were already saved under a higher epoch"))
			return
		}
		s.write(cell, epoch, data, pair.ModRevision, done)
	})
}

// write stores the statistics unless the key was modified after modRevision.
func (s *statisticsStore) write(cell string, epoch uint64, data []byte, modRevision int64, done func(error)) {
	key := statisticsPrefix + cell
	value := binary.BigEndian.AppendUint64(nil, epoch)
	value = append(value, data...)
	transaction := outside.Transaction{
		Compares:   []outside.Compare{{Key: key, ModRevision: modRevision}},
		Operations: []outside.Operation{{Kind: outside.OperationPut, Key: key, Value: value}},
	}
	s.service.Transact(transaction, s.timeout, func(result outside.TransactionResult, err error) {
		if err == nil && !result.Succeeded {
			err = eris.New("statistics were changed by a concurrent write")
		}
		done(err)
	})
}
