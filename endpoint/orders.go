package endpoint

import (
	"context"
	"fmt"
	"net/http"
)

// OrderKind tells what an order changes.
type OrderKind string

// The kinds of order.
const (
	OrderLoad   OrderKind = "load"
	OrderUnload OrderKind = "unload"
	OrderRole   OrderKind = "role"
)

// Order asks an engine to load or unload a model or to change its role.
type Order struct {
	// Fence is the fencing number of the controller that gives the order. A later
	// controller has a higher one; engines that check it refuse a number lower
	// than the highest they have seen.
	Fence uint64    `json:"fence"`
	Kind  OrderKind `json:"kind"`
	// Model is set for OrderLoad and OrderUnload.
	Model string `json:"model,omitempty"`
	// Role is set for OrderRole.
	Role string `json:"role,omitempty"`
	// Controller names the controller that gives the order.
	Controller string `json:"giver"`
}

// Orderer sends orders to an engine. An accepted OrderLoad only starts loading;
// the model is listed in Health once it is loaded. Engine clients implement Orderer.
type Orderer interface {
	// Order sends the order once. Its error is a *StaleFenceError if the
	// engine refused the fencing number, else an *Error.
	Order(ctx context.Context, order Order) error
}

// StaleFenceError is an engine's refusal of an old fencing number.
type StaleFenceError struct {
	// Highest is the highest fencing number that the engine has seen.
	Highest uint64
}

// Error describes the refusal with the highest number seen.
func (e *StaleFenceError) Error() string {
	return fmt.Sprintf("stale fencing number: the engine has seen %d", e.Highest)
}

// Order implements Orderer.
func (e *engine) Order(ctx context.Context, order Order) error {
	resp, err := e.sender.call(ctx, PathOrders, "", true, order)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode == http.StatusOK {
		if err := readEnd(resp); err != nil {
			return lost(err)
		}
		return nil
	}
	if resp.StatusCode != http.StatusConflict {
		return failure(resp, "")
	}
	var reply StaleFenceReply
	if err := decode(resp.Body, maxFailureReply, &reply); err != nil {
		return lost(err)
	}
	return &StaleFenceError{Highest: reply.Highest}
}

// CacheEventKind tells what happened to a block of a prompt prefix.
type CacheEventKind string

// The kinds of cache event.
const (
	CacheAdded   CacheEventKind = "added"
	CacheEvicted CacheEventKind = "evicted"
)

// CacheEvent is one change of an engine's prefix cache.
type CacheEvent struct {
	// Seq increases by one with each change; a gap means that events were lost.
	Seq  uint64         `json:"seq"`
	Kind CacheEventKind `json:"kind"`
	// Prefix is one of the hashes that PrefixHashes returns for a prompt.
	Prefix uint64 `json:"prefix"`
}

// CacheEventSource reports changes of a prefix cache, with delay and possibly
// with gaps. Engine clients implement it.
type CacheEventSource interface {
	// CacheEvents returns those events after the given sequence number that the
	// engine still keeps.
	CacheEvents(ctx context.Context, after uint64) ([]CacheEvent, error)
}

// CacheEvents implements CacheEventSource.
func (e *engine) CacheEvents(ctx context.Context, after uint64) ([]CacheEvent, error) {
	var reply CacheEventsReply
	query := fmt.Sprintf("?after=%d", after)
	if err := e.sender.get(ctx, PathCacheEvents, query, &reply); err != nil {
		return nil, err
	}
	return reply.Events, nil
}

var _ interface {
	Protocol
	Orderer
	CacheEventSource
} = (*engine)(nil)
