package etcd

import (
	"context"
	"fmt"
	"time"

	"github.com/hatchplank/hatchplank/internal/outside"
	"github.com/hatchplank/hatchplank/internal/outside/etcd/wire"
)

// Transact implements outside.KeyValueService.
func (c *Client) Transact(transaction outside.Transaction, timeout time.Duration, done func(outside.TransactionResult, error)) {
	request := encodeTransaction(transaction)
	run(c, timeout, done, func(ctx context.Context) (outside.TransactionResult, error) {
		var response wire.TransactResponse
		floor := c.rollbacks.currentFloor()
		if err := c.post(ctx, wire.PathTransact, request, &response); err != nil {
			return outside.TransactionResult{}, err
		}
		c.rollbacks.observe(floor, int64(response.Header.Revision))
		return decodeTransaction(response), nil
	})
}

// Range implements outside.KeyValueService.
func (c *Client) Range(prefix string, timeout time.Duration, done func(outside.RangeResult, error)) {
	key, end := prefixRange(prefix)
	request := wire.RangeRequest{Key: key, RangeEnd: end}
	run(c, timeout, done, func(ctx context.Context) (outside.RangeResult, error) {
		var response wire.RangeResponse
		floor := c.rollbacks.currentFloor()
		if err := c.post(ctx, wire.PathRange, request, &response); err != nil {
			return outside.RangeResult{}, err
		}
		c.rollbacks.observe(floor, int64(response.Header.Revision))
		keyValues := decodeKeyValues(response.KeyValues)
		return outside.RangeResult{Revision: int64(response.Header.Revision), KeyValues: keyValues}, nil
	})
}

// GrantLease implements outside.KeyValueService. The time to live is rounded up to whole
// seconds, the resolution of the protocol.
func (c *Client) GrantLease(timeToLive, timeout time.Duration, done func(outside.Lease, error)) {
	seconds := (timeToLive + time.Second - 1) / time.Second
	request := wire.LeaseGrantRequest{TimeToLive: wire.Int64(seconds)}
	run(c, timeout, done, func(ctx context.Context) (outside.Lease, error) {
		var response wire.LeaseResponse
		if err := c.post(ctx, wire.PathLeaseGrant, request, &response); err != nil {
			return outside.Lease{}, err
		}
		if response.ID == 0 {
			return outside.Lease{}, fmt.Errorf("%w: lease granted without an ID", outside.ErrAmbiguous)
		}
		return outside.Lease{ID: outside.LeaseID(response.ID), TimeToLive: time.Duration(response.TimeToLive) * time.Second}, nil
	})
}

// KeepAlive implements outside.KeyValueService.
func (c *Client) KeepAlive(lease outside.LeaseID, timeout time.Duration, done func(error)) {
	request := wire.LeaseRequest{ID: wire.Int64(lease)}
	runWithoutResult(c, timeout, done, func(ctx context.Context) error {
		var response wire.StreamMessage[wire.LeaseResponse]
		if err := c.post(ctx, wire.PathKeepAlive, request, &response); err != nil {
			return err
		}
		return checkKeepAlive(response)
	})
}

func checkKeepAlive(response wire.StreamMessage[wire.LeaseResponse]) error {
	switch {
	case response.Error != nil && isLeaseNotFound(*response.Error):
		return fmt.Errorf("%w: %w", outside.ErrNotApplied, outside.ErrLeaseNotFound)
	case response.Error != nil:
		return fmt.Errorf("%w: %s", outside.ErrAmbiguous, response.Error.Message)
	case response.Result == nil:
		return fmt.Errorf("%w: empty response", outside.ErrAmbiguous)
	case response.Result.TimeToLive <= 0:
		return fmt.Errorf("%w: %w", outside.ErrNotApplied, outside.ErrLeaseNotFound)
	default:
		return nil
	}
}

// RevokeLease implements outside.KeyValueService.
func (c *Client) RevokeLease(lease outside.LeaseID, timeout time.Duration, done func(error)) {
	request := wire.LeaseRequest{ID: wire.Int64(lease)}
	runWithoutResult(c, timeout, done, func(ctx context.Context) error {
		var response wire.LeaseResponse
		return c.post(ctx, wire.PathLeaseRevoke, request, &response)
	})
}

// run makes one call on its own goroutine and passes the result to done.
func run[Result any](c *Client, timeout time.Duration, done func(Result, error), call func(context.Context) (Result, error)) {
	c.start(func() {
		ctx, cancel := context.WithTimeout(c.context, timeout)
		defer cancel()
		result, err := call(ctx)
		done(result, err)
	})
}

// runWithoutResult is run for a call that returns only an error.
func runWithoutResult(c *Client, timeout time.Duration, done func(error), call func(context.Context) error) {
	run(c, timeout, func(_ struct{}, err error) { done(err) }, func(ctx context.Context) (struct{}, error) {
		return struct{}{}, call(ctx)
	})
}
