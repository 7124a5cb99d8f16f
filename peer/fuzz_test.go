package peer

import (
	"context"
	"encoding/binary"
	"net"
	"testing"
	"time"

	"github.com/mangostage/mangostage/wire"
)

// fuzzTimeout is far longer than the handling of one input takes.
const fuzzTimeout = 5 * time.Second

// FuzzMessages feeds raw bytes to an open connection. For every input the process
// must not panic, and the connection must end once the other side has closed it.
func FuzzMessages(f *testing.F) {
	hello := `{"jsonrpc":"2.0","id":1,"method":"peer.hello","params":"{\"process\":{\"name\":\"a\",\"incarnation\":\"b\"}}"}`
	run := `{"jsonrpc":"2.0","id":2,"method":"stage.run","params":"{\"id\":{\"request\":\"r\",\"stage\":\"s\"}}"}`
	note := `{"jsonrpc":"2.0","method":"stage.chunk.note","params":"{\"seq\":-1}"}`
	for _, seed := range [][]string{{hello}, {hello, run, note}, {run}, {`{"jsonrpc":"2.0","id":1,"result":{}}`}, {`[]`}, {`null`}} {
		f.Add(frames(seed))
	}
	f.Add([]byte{0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff})
	f.Add(append(frames([]string{hello}), compactFrame("stage.chunk.note", []byte{0xa1, 0x63, 's', 'e', 'q', 0x20})...))
	f.Add(compactFrame("stage.chunk.note", []byte{0xff}))
	mux := NewMux()
	HandleCompact(mux, "stage.compact", func(*Conn, wire.StageChunk) {})
	HandleCall(mux, wire.MethodStageRun, func(_ context.Context, _ *Conn, c wire.StageCall) (wire.StageResult, error) {
		return wire.StageResult{ID: c.ID}, nil
	})
	HandleNotification(mux, wire.MethodStageChunk, func(*Conn, wire.StageChunk) {})
	node := NewNode(Config{Hello: func() wire.Hello { return wire.Hello{} }}, mux)
	f.Fuzz(func(t *testing.T, data []byte) {
		ours, theirs := net.Pipe()
		c := node.newConn(theirs, wire.MaxMessage, func() {})
		go drain(ours)
		_ = ours.SetWriteDeadline(time.Now().Add(fuzzTimeout))
		_, _ = ours.Write(data)
		_ = ours.Close()
		select {
		case <-c.Done():
		case <-time.After(fuzzTimeout):
			t.Fatal("the connection did not end")
		}
	})
}

// drain reads until the connection ends, so that replies never block.
func drain(conn net.Conn) {
	buf := make([]byte, 4096)
	for {
		if _, err := conn.Read(buf); err != nil {
			return
		}
	}
}

func frames(messages []string) []byte {
	var out []byte
	for _, m := range messages {
		out = binary.AppendUvarint(out, uint64(len(m)))
		out = append(out, m...)
	}
	return out
}
