package peer

import (
	"bufio"
	"encoding/binary"
	"encoding/json"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/mangostage/mangostage/internal/socket"
	"github.com/mangostage/mangostage/wire"
)

const (
	// writeTimeout bounds the write of one chunk. A peer that is stopped while its
	// socket buffer is full would otherwise block every sender on the connection.
	writeTimeout = 2 * time.Second
	// writeChunkSize is the number of bytes that must be written within
	// writeTimeout; a chunk takes 50 ms on a link of 10 Mbit/s. With one timeout
	// for a whole message, the longest messages, which take three seconds on
	// such a link, ended the connection each time.
	writeChunkSize = 64 << 10
)

// Traffic has the counters of all connections of a node.
type Traffic struct {
	BytesIn, BytesOut       atomic.Int64
	MessagesIn, MessagesOut atomic.Int64
	// Rejected counts messages that were oversized, malformed, of an unknown
	// method, or received before the hello. Only an oversized message, or one
	// that cannot be decoded as JSON-RPC, ends its connection.
	Rejected atomic.Int64
	// HandshakesRefused counts incoming connections whose TLS handshake failed.
	HandshakesRefused atomic.Int64
}

// stream implements jsonrpc2.ObjectStream. It frames JSON objects with a varint
// length and bounds their size by wire.MaxMessage.
type stream struct {
	conn net.Conn
	// raw is the socket below conn; nil if there is none.
	raw     syscall.RawConn
	reader  *bufio.Reader
	traffic *Traffic
	// maxMessage is the longest message in bytes that may come now.
	maxMessage atomic.Int64
	// handleCompact gets the compact messages.
	handleCompact func(method string, params []byte)

	// mu serialises writes and guards broken.
	mu sync.Mutex
	// broken is the error of the first failed write; nil while none has failed.
	broken error
}

func newStream(conn net.Conn, traffic *Traffic) *stream {
	s := &stream{conn: conn, raw: socket.Raw(conn), reader: bufio.NewReader(conn), traffic: traffic}
	s.maxMessage.Store(wire.MaxMessage)
	return s
}

// WriteObject writes one message. An oversized or unencodable object is rejected
// with ErrNotWritten before any byte of it is written, and the stream stays usable.
func (s *stream) WriteObject(obj any) error {
	payload, err := json.Marshal(obj)
	if err != nil {
		return ErrNotWritten.Wrap(err, "encode message")
	}
	if len(payload) > wire.MaxMessage {
		return ErrNotWritten.New("message of %d bytes exceeds %d", len(payload), wire.MaxMessage)
	}
	frame := binary.AppendUvarint(make([]byte, 0, len(payload)+binary.MaxVarintLen64), uint64(len(payload)))
	frame = append(frame, payload...)
	return s.writeFrame(frame)
}

func (s *stream) writeFrame(frame []byte) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	// Another frame must not follow one that was truncated by a failed write:
	// the reader would take its bytes for the rest of the truncated frame.
	if s.broken != nil {
		return ErrNotWritten.Wrap(s.broken, "connection is broken")
	}
	// A busy process may be late to read that the peer has closed the connection.
	// A message written in the meantime is lost, and the caller cannot know
	// whether the peer acted on it.
	if s.raw != nil && socket.ClosedByPeer(s.raw) {
		return ErrNotWritten.New("the peer has closed the connection")
	}
	if err := s.extendWriteDeadline(); err != nil {
		return ErrNotWritten.Wrap(err, "set write deadline")
	}
	for at := 0; at < len(frame); at += writeChunkSize {
		if err := s.writeChunk(frame[at:min(at+writeChunkSize, len(frame))], at > 0); err != nil {
			s.broken = err
			_ = s.conn.Close()
			return ErrLost.Wrap(err, "write message")
		}
	}
	s.traffic.MessagesOut.Add(1)
	return nil
}

// extendWriteDeadline gives the next write writeTimeout from now.
func (s *stream) extendWriteDeadline() error {
	return s.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
}

// writeChunk writes a part of a frame; later is true if it is not the first.
func (s *stream) writeChunk(chunk []byte, later bool) error {
	if later {
		if err := s.extendWriteDeadline(); err != nil {
			return err
		}
	}
	n, err := s.conn.Write(chunk)
	s.traffic.BytesOut.Add(int64(n))
	return err
}

// ReadObject reads one JSON-RPC message into v, and has the compact messages before it handled.
func (s *stream) ReadObject(v any) error {
	size, err := binary.ReadUvarint(s.reader)
	for ; err == nil && size == compactMark; size, err = binary.ReadUvarint(s.reader) {
		if err := s.readCompact(); err != nil {
			return err
		}
	}
	if err != nil {
		return err
	}
	if limit := uint64(s.maxMessage.Load()); size > limit {
		s.traffic.Rejected.Add(1)
		return ErrMalformed.New("message of %d bytes exceeds %d", size, limit)
	}
	payload, err := readMessage(s.reader, int(size))
	if err != nil {
		return err
	}
	s.traffic.BytesIn.Add(int64(size) + 1)
	s.traffic.MessagesIn.Add(1)
	if err := json.Unmarshal(payload, v); err != nil {
		s.traffic.Rejected.Add(1)
		return ErrMalformed.Wrap(err, "decode message")
	}
	return nil
}

// Close closes the connection.
func (s *stream) Close() error { return s.conn.Close() }
