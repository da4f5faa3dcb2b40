package node

import (
	"encoding/binary"
	"time"

	"github.com/rotisserie/eris"

	"github.com/hatchplank/hatchplank/internal/outside"
)

// statisticsPrefix is where cells' statistics are kept in the key-value
// service.
const statisticsPrefix = "statistics/"

// epochBytes is the length of the epoch before the statistics.
const epochBytes = 8

// statisticsStore keeps cells' statistics in the key-value service; it
// implements applier.StatisticsStore.
type statisticsStore struct {
	service outside.KeyValueService
	timeout time.Duration
}

func newStatisticsStore(service outside.KeyValueService, timeout time.Duration) *statisticsStore {
	return &statisticsStore{service: service, timeout: timeout}
}

// Load implements applier.StatisticsStore.
func (s *statisticsStore) Load(cell string, done func([]byte, error)) {
	s.read(cell, func(pair outside.KeyValue, err error) {
		if err != nil || len(pair.Value) < epochBytes {
			done(nil, err)
			return
		}
		done(pair.Value[epochBytes:], nil)
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

// Save implements applier.StatisticsStore.
func (s *statisticsStore) Save(cell string, epoch uint64, data []byte, done func(error)) {
	s.read(cell, func(pair outside.KeyValue, err error) {
		if err != nil {
			done(err)
			return
		}
		if len(pair.Value) >= epochBytes && binary.BigEndian.Uint64(pair.Value) > epoch {
			done(eris.New("a higher epoch has saved statistics"))
			return
		}
		s.write(cell, epoch, data, pair.ModRevision, done)
	})
}

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
			err = eris.New("the statistics changed meanwhile")
		}
		done(err)
	})
}
