package peer

import (
	"context"
	"encoding/json"
	"errors"

	"github.com/joomcode/errorx"
	"github.com/sourcegraph/jsonrpc2"
)

type requestHandler func(ctx context.Context, from *Conn, params json.RawMessage) (any, error)

type notificationHandler func(from *Conn, params json.RawMessage) error

type compactHandler func(from *Conn, params []byte) error

// Mux maps method names to typed handlers. All handlers must be registered
// before the node starts.
type Mux struct {
	calls         map[string]requestHandler
	notifications map[string]notificationHandler
	compact       map[string]compactHandler
}

// NewMux returns an empty Mux.
func NewMux() *Mux {
	return &Mux{
		calls:         make(map[string]requestHandler),
		notifications: make(map[string]notificationHandler),
		compact:       make(map[string]compactHandler),
	}
}

// HandleCall registers fn for a method that has a reply. Each call runs in its
// own goroutine, with a context that is cancelled when the connection ends.
func HandleCall[P, R any](m *Mux, method string, fn func(ctx context.Context, from *Conn, params P) (R, error)) {
	m.calls[method] = func(ctx context.Context, from *Conn, raw json.RawMessage) (any, error) {
		var params P
		if err := decodeVerbatim(raw, &params); err != nil {
			return nil, ErrMalformed.Wrap(err, "%s", method)
		}
		return fn(ctx, from, params)
	}
}

// HandleNotification registers fn for a notification. The read loop of a connection runs
// the handlers of its notifications in order, so fn must not block.
func HandleNotification[P any](m *Mux, method string, fn func(from *Conn, params P)) {
	m.notifications[method] = func(from *Conn, raw json.RawMessage) error {
		var params P
		if err := decodeVerbatim(raw, &params); err != nil {
			return ErrMalformed.Wrap(err, "%s", method)
		}
		fn(from, params)
		return nil
	}
}

// Handle dispatches a call or notification received on c. It implements
// jsonrpc2.Handler.
func (c *Conn) Handle(ctx context.Context, _ *jsonrpc2.Conn, req *jsonrpc2.Request) {
	<-c.ready
	var raw json.RawMessage
	if req.Params != nil {
		raw = *req.Params
	}
	if !c.mayHandle(req) {
		// The reply says why; the read loop waits for it, so that there is one at a time.
		c.reject(ctx, req, raw)
		c.Close()
		return
	}
	if req.Notif {
		c.handleNotification(req.Method, raw)
		return
	}
	go c.handleCall(ctx, req, raw)
}

// mayHandle reports whether a message is handled: before the hello has been, only one hello is.
func (c *Conn) mayHandle(req *jsonrpc2.Request) bool {
	if c.authenticated.Load() || c.dialed.Load() {
		return true
	}
	return req.Method == helloMethod && !req.Notif && !c.helloBegun.Swap(true)
}

// reject answers a call that is not handled, and counts a notification.
func (c *Conn) reject(ctx context.Context, req *jsonrpc2.Request, raw json.RawMessage) {
	if req.Notif {
		c.handleNotification(req.Method, raw)
		return
	}
	c.handleCall(ctx, req, raw)
}

func (c *Conn) handleNotification(method string, raw json.RawMessage) {
	handler, ok := c.node.mux.notifications[method]
	if !ok || !c.authenticated.Load() {
		c.node.Traffic.Rejected.Add(1)
		return
	}
	if err := handler(c, raw); err != nil {
		c.node.Traffic.Rejected.Add(1)
	}
}

func (c *Conn) handleCall(ctx context.Context, req *jsonrpc2.Request, raw json.RawMessage) {
	result, err := c.dispatch(ctx, req.Method, raw)
	if err != nil {
		rpcErr := &jsonrpc2.Error{Code: jsonrpc2.CodeInternalError, Message: err.Error()}
		if !errors.As(err, &rpcErr) && errorx.IsOfType(err, ErrMalformed) {
			rpcErr.Code = jsonrpc2.CodeInvalidParams
		}
		_ = c.rpc.ReplyWithError(ctx, req.ID, rpcErr)
		return
	}
	text, err := encodeVerbatim(result)
	if err != nil {
		rpcErr := &jsonrpc2.Error{Code: jsonrpc2.CodeInternalError, Message: err.Error()}
		_ = c.rpc.ReplyWithError(ctx, req.ID, rpcErr)
		return
	}
	_ = c.rpc.Reply(ctx, req.ID, text)
}

func (c *Conn) dispatch(ctx context.Context, method string, raw json.RawMessage) (any, error) {
	handler, ok := c.node.mux.calls[method]
	if !ok {
		c.node.Traffic.Rejected.Add(1)
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: "no method " + method}
	}
	if !c.authenticated.Load() && method != helloMethod {
		c.node.Traffic.Rejected.Add(1)
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidRequest, Message: "hello must come first"}
	}
	result, err := handler(ctx, c, raw)
	if errorx.IsOfType(err, ErrMalformed) {
		c.node.Traffic.Rejected.Add(1)
	}
	return result, err
}
