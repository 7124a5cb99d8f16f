package peer

import (
	"encoding/binary"
	"fmt"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mangostage/mangostage/internal/testwait"
	"github.com/mangostage/mangostage/wire"
)

// compactWait bounds each wait of these tests.
const compactWait = 10 * time.Second

// compactNote is a message of these tests.
type compactNote struct {
	Number int               `json:"number"`
	Took   time.Duration     `json:"took,omitempty"`
	Texts  []string          `json:"texts,omitempty"`
	Faults map[int]string    `json:"faults,omitempty"`
	Inner  *wire.Process     `json:"inner,omitempty"`
	Named  map[string]string `json:"named,omitempty"`
}

// receiveNotes returns a mux that passes on the notes that it gets.
func receiveNotes() (*Mux, chan compactNote) {
	mux, notes := NewMux(), make(chan compactNote, 1000)
	HandleCompact(mux, "note", func(_ *Conn, n compactNote) { notes <- n })
	return mux, notes
}

// Guards against compact messages that overtake each other or notifications, and against a value
// that comes otherwise than it was sent.
func TestCompactMessages(t *testing.T) {
	mux, notes := receiveNotes()
	_, conn, _ := pair(t, mux)
	assert.Assert(t, conn.Compact())
	sent := compactNote{
		Took: 3 * time.Second, Texts: []string{"a", ""}, Faults: map[int]string{3: "late"},
		Inner: &wire.Process{Name: "p"}, Named: map[string]string{"a": "b"},
	}
	for i := range 100 {
		sent.Number = i
		if i%10 == 0 {
			assert.NilError(t, conn.Notify("note", sent))
			continue
		}
		assert.NilError(t, conn.Send("note", sent))
	}
	for i := range 100 {
		select {
		case got := <-notes:
			sent.Number = i
			assert.DeepEqual(t, got, sent)
		case <-time.After(compactWait):
			t.Fatal("a message is missing")
		}
	}
}

// Guards against a job that nobody decides because a header of its client is no UTF-8.
func TestCompactMessageHoldsAnyBytes(t *testing.T) {
	mux, notes := receiveNotes()
	_, conn, _ := pair(t, mux)
	sent := compactNote{Texts: []string{"\xff\xfe", "\x00"}, Named: map[string]string{"\x80": "\xc3\x28"}}
	assert.NilError(t, conn.Send("note", sent))
	select {
	case got := <-notes:
		assert.DeepEqual(t, got, sent)
	case <-time.After(compactWait):
		t.Fatal("the message does not arrive")
	}
}

// Guards against a process that counts as two: what identifies it goes with each of its hellos, and
// only those of a connection's start say what it knows.
func TestHelloKeepsTheIdentityOfAProcess(t *testing.T) {
	server, conn, _ := pair(t, NewMux())
	named := server.cfg.Hello().Process
	assert.Equal(t, conn.Peer().Process, named)
	assert.Assert(t, conn.Compact())
	conn.completeHello(wire.Hello{Process: named})
	assert.Assert(t, conn.Compact())
}

// Guards against a message that a peer of an older build cannot read, which ends the connection.
func TestOlderPeerGetsNotifications(t *testing.T) {
	mux, notes := receiveNotes()
	server, conn, _ := pair(t, mux)
	conn.compact.Store(false)
	before := server.Traffic.Rejected.Load()
	assert.NilError(t, conn.Send("note", compactNote{Number: 7}))
	assert.Equal(t, (<-notes).Number, 7)
	assert.Equal(t, server.Traffic.Rejected.Load(), before)
}

// Guards against a compact message that cannot be read and takes the connection, with all others'
// calls, along, and against one before the hello.
func TestUnreadableCompactMessageIsRejected(t *testing.T) {
	mux, notes := receiveNotes()
	server, conn, addr := pair(t, mux)
	assert.NilError(t, conn.Send("unknown", compactNote{}))
	assert.NilError(t, conn.Send("note", "a text"))
	assert.NilError(t, conn.Send("note", compactNote{Number: 1}))
	assert.Equal(t, (<-notes).Number, 1)
	assert.Equal(t, server.Traffic.Rejected.Load(), int64(2))

	stranger, err := net.Dial("tcp", addr)
	assert.NilError(t, err)
	defer func() { _ = stranger.Close() }()
	_, err = stranger.Write(compactFrame("note", []byte{0xa0}))
	assert.NilError(t, err)
	testwait.For(t, compactWait, func() bool { return server.Traffic.Rejected.Load() == 3 })
	assert.Equal(t, len(notes), 0)
}

// Guards against a length that makes a process allocate more than a message may have.
func TestCompactMessageIsBounded(t *testing.T) {
	mux, _ := receiveNotes()
	server, _, addr := pair(t, mux)
	for i, frame := range [][]byte{
		binary.AppendUvarint(binary.AppendUvarint(nil, compactMark), 1<<60),
		binary.AppendUvarint(append(binary.AppendUvarint(binary.AppendUvarint(nil, compactMark), 1), 'n'), wire.MaxMessage+1),
	} {
		conn, err := net.Dial("tcp", addr)
		assert.NilError(t, err)
		_, err = conn.Write(frame)
		assert.NilError(t, err)
		_ = conn.SetReadDeadline(time.Now().Add(compactWait))
		_, err = conn.Read(make([]byte, 1))
		assert.Assert(t, err != nil, fmt.Sprint(i))
		assert.Equal(t, server.Traffic.Rejected.Load(), int64(i+1))
		_ = conn.Close()
	}
}

// compactFrame returns a compact message.
func compactFrame(method string, data []byte) []byte {
	frame := binary.AppendUvarint(nil, compactMark)
	frame = binary.AppendUvarint(frame, uint64(len(method)))
	frame = append(frame, method...)
	frame = binary.AppendUvarint(frame, uint64(len(data)))
	return append(frame, data...)
}
