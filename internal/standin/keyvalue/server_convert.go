package keyvalue

import (
	"bytes"

	"github.com/hatchplank/hatchplank/internal/outside"
	"github.com/hatchplank/hatchplank/internal/outside/etcd/wire"
)

// errUnsupported refuses what the stand-in leaves out of the published
// interface.
var errUnsupported = refusal("not supported by the stand-in")

func decodeTransaction(request wire.TransactRequest) (outside.Transaction, error) {
	var transaction outside.Transaction
	for _, compare := range request.Compares {
		if compare.Target != wire.TargetModRevision || (compare.Result != wire.ResultEqual && compare.Result != "") {
			return transaction, errUnsupported
		}
		transaction.Compares = append(transaction.Compares, outside.Compare{
			Key:         string(compare.Key),
			ModRevision: int64(compare.ModRevision),
		})
	}
	for _, operation := range request.Success {
		decoded, err := decodeOperation(operation)
		if err != nil {
			return transaction, err
		}
		transaction.Operations = append(transaction.Operations, decoded)
	}
	return transaction, checkFailure(request)
}

func decodeOperation(operation wire.RequestOperation) (outside.Operation, error) {
	switch {
	case operation.Put != nil:
		return outside.Operation{
			Kind:  outside.OperationPut,
			Key:   string(operation.Put.Key),
			Value: operation.Put.Value,
			Lease: outside.LeaseID(operation.Put.Lease),
		}, nil
	case operation.DeleteRange != nil:
		return outside.Operation{Kind: outside.OperationDelete, Key: string(operation.DeleteRange.Key)}, nil
	default:
		return outside.Operation{}, errUnsupported
	}
}

// checkFailure allows only reads of compared keys.
func checkFailure(request wire.TransactRequest) error {
	compared := map[string]bool{}
	for _, compare := range request.Compares {
		compared[string(compare.Key)] = true
	}
	for _, operation := range request.Failure {
		if operation.Range == nil || len(operation.Range.RangeEnd) > 0 || !compared[string(operation.Range.Key)] {
			return errUnsupported
		}
	}
	return nil
}

func encodeTransactionResult(request wire.TransactRequest, result outside.TransactionResult) wire.TransactResponse {
	response := wire.TransactResponse{
		Header:    wire.Header{Revision: wire.Int64(result.Revision)},
		Succeeded: result.Succeeded,
	}
	if result.Succeeded {
		return response
	}
	for _, operation := range request.Failure {
		read := wire.RangeResponse{Header: response.Header}
		for _, current := range result.Current {
			if current.Key == string(operation.Range.Key) {
				read.KeyValues = append(read.KeyValues, encodeKeyValue(current))
				break
			}
		}
		response.Responses = append(response.Responses, wire.ResponseOperation{Range: &read})
	}
	return response
}

func encodeRange(result outside.RangeResult) wire.RangeResponse {
	response := wire.RangeResponse{Header: wire.Header{Revision: wire.Int64(result.Revision)}}
	for _, keyValue := range result.KeyValues {
		response.KeyValues = append(response.KeyValues, encodeKeyValue(keyValue))
	}
	return response
}

func encodeKeyValue(keyValue outside.KeyValue) wire.KeyValue {
	return wire.KeyValue{
		Key:            []byte(keyValue.Key),
		Value:          keyValue.Value,
		CreateRevision: wire.Int64(keyValue.CreateRevision),
		ModRevision:    wire.Int64(keyValue.ModRevision),
		Lease:          wire.Int64(keyValue.Lease),
	}
}

func encodeEvents(events []outside.WatchEvent) []wire.Event {
	encoded := make([]wire.Event, 0, len(events))
	for _, event := range events {
		wireEvent := wire.Event{KeyValue: encodeKeyValue(event.KeyValue)}
		if event.Deleted {
			wireEvent.Type = wire.EventDelete
		}
		encoded = append(encoded, wireEvent)
	}
	return encoded
}

// selection is what a range or a watch covers: one key, or all keys with a
// prefix. Other ranges are not supported.
type selection struct {
	key    string
	single bool
}

func decodeSelection(key, end []byte) (selection, error) {
	everything := []byte{0}
	switch {
	case len(key) == 0:
		return selection{}, errEmptyKey
	case len(end) == 0:
		return selection{key: string(key), single: true}, nil
	case bytes.Equal(key, everything) && bytes.Equal(end, everything):
		return selection{}, nil
	case bytes.Equal(end, wire.PrefixEnd(key)):
		return selection{key: string(key)}, nil
	default:
		return selection{}, errUnsupported
	}
}

func (s selection) read(store *Store) outside.RangeResult {
	if !s.single {
		return store.Range(s.key)
	}
	return store.readKey(s.key)
}
