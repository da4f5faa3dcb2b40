package etcd

import (
	"github.com/hatchplank/hatchplank/internal/outside"
	"github.com/hatchplank/hatchplank/internal/outside/etcd/wire"
)

// prefixRange returns the range of all keys with the prefix. The range of the empty prefix
// covers all keys; the protocol represents it by a zero byte as key and as end.
func prefixRange(prefix string) (key, end []byte) {
	if prefix == "" {
		return []byte{0}, []byte{0}
	}
	return []byte(prefix), wire.PrefixEnd([]byte(prefix))
}

func encodeTransaction(transaction outside.Transaction) wire.TransactRequest {
	var request wire.TransactRequest
	for _, compare := range transaction.Compares {
		key := []byte(compare.Key)
		request.Compares = append(request.Compares, wire.Compare{
			Result:      wire.ResultEqual,
			Target:      wire.TargetModRevision,
			Key:         key,
			ModRevision: wire.Int64(compare.ModRevision),
		})
		request.Failure = append(request.Failure, wire.RequestOperation{Range: &wire.RangeRequest{Key: key}})
	}
	for _, operation := range transaction.Operations {
		request.Success = append(request.Success, encodeOperation(operation))
	}
	return request
}

func encodeOperation(operation outside.Operation) wire.RequestOperation {
	key := []byte(operation.Key)
	if operation.Kind == outside.OperationDelete {
		return wire.RequestOperation{DeleteRange: &wire.DeleteRequest{Key: key}}
	}
	put := &wire.PutRequest{Key: key, Value: operation.Value, Lease: wire.Int64(operation.Lease)}
	return wire.RequestOperation{Put: put}
}

func decodeTransaction(response wire.TransactResponse) outside.TransactionResult {
	result := outside.TransactionResult{
		Succeeded: response.Succeeded,
		Revision:  int64(response.Header.Revision),
	}
	if response.Succeeded {
		return result
	}
	for _, operation := range response.Responses {
		if operation.Range != nil {
			result.Current = append(result.Current, decodeKeyValues(operation.Range.KeyValues)...)
		}
	}
	return result
}

func decodeKeyValues(encoded []wire.KeyValue) []outside.KeyValue {
	var decoded []outside.KeyValue
	for _, keyValue := range encoded {
		decoded = append(decoded, decodeKeyValue(keyValue))
	}
	return decoded
}

func decodeKeyValue(encoded wire.KeyValue) outside.KeyValue {
	return outside.KeyValue{
		Key:            string(encoded.Key),
		Value:          encoded.Value,
		CreateRevision: int64(encoded.CreateRevision),
		ModRevision:    int64(encoded.ModRevision),
		Lease:          outside.LeaseID(encoded.Lease),
	}
}

func decodeEvent(encoded wire.Event) outside.WatchEvent {
	return outside.WatchEvent{
		Deleted:  encoded.Type == wire.EventDelete,
		KeyValue: decodeKeyValue(encoded.KeyValue),
	}
}
