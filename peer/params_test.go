package peer

import (
	"context"
	"encoding/json"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/mangostage/mangostage/wire"
)

// Guards against an input or output that is decoded and encoded again on its way
// between processes. The endpoint must get the text as it was sent, with its keys
// in their order, or its output and its cached prompt prefix would differ.
func TestParamsArriveVerbatim(t *testing.T) {
	const input = `{"z":1,"a":{"y":2,"b":[1e400,12345678901234567890]},"z":"\ud83d\ude00 \" \\ é"}`
	mux := NewMux()
	got := make(chan json.RawMessage, 2)
	HandleCall(mux, wire.MethodStageRun, func(_ context.Context, _ *Conn, c wire.StageCall) (wire.StageResult, error) {
		got <- c.Input
		return wire.StageResult{Output: c.Input}, nil
	})
	HandleNotification(mux, wire.MethodStageChunk, func(_ *Conn, c wire.StageChunk) { got <- json.RawMessage(c.Text) })
	hello := func(name string) func() wire.Hello {
		return func() wire.Hello { return wire.Hello{Process: wire.Process{Name: name, Incarnation: name}} }
	}
	server := NewNode(Config{Hello: hello("server")}, mux)
	defer server.Close()
	addr, err := server.Listen("127.0.0.1:0")
	assert.NilError(t, err)
	client := NewNode(Config{Hello: hello("client")}, NewMux())
	defer client.Close()
	conn, err := client.Dial(t.Context(), addr.String())
	assert.NilError(t, err)

	var result wire.StageResult
	assert.NilError(t, conn.Call(t.Context(), wire.MethodStageRun, wire.StageCall{Input: json.RawMessage(input)}, &result))
	assert.Equal(t, string(<-got), input)
	assert.Equal(t, string(result.Output), input)
	assert.NilError(t, conn.Notify(wire.MethodStageChunk, wire.StageChunk{Text: input}))
	assert.Equal(t, string(<-got), input)
}
