package peer

import (
	"encoding/binary"

	"github.com/fxamacker/cbor/v2"

	"github.com/mangostage/mangostage/wire"
)

// compactMark stands in place of the length of a JSON-RPC message and says that a compact message
// follows: the length of its method, the method, the length of its params, and these in CBOR.
//
// It guards against a process to which hundreds of others send messages and which spends half of
// its processor time on their JSON.
const compactMark = wire.MaxMessage + 1

// maxMethod bounds the name of a method in bytes.
const maxMethod = 64

// compactDecoder decodes params. Texts may hold any bytes, since clients' headers may.
var compactDecoder = newCompactDecoder()

func newCompactDecoder() cbor.DecMode {
	mode, err := cbor.DecOptions{UTF8: cbor.UTF8DecodeInvalid}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}

// HandleCompact registers fn for a method whose messages have no reply and are compact or, from
// peers that know no compact messages, notifications. Like that of a notification, fn must not
// block.
func HandleCompact[P any](m *Mux, method string, fn func(from *Conn, params P)) {
	HandleNotification(m, method, fn)
	m.compact[method] = func(from *Conn, data []byte) error {
		var params P
		if err := compactDecoder.Unmarshal(data, &params); err != nil {
			return ErrMalformed.Wrap(err, "%s", method)
		}
		fn(from, params)
		return nil
	}
}

// Compact reports whether the peer knows compact messages.
func (c *Conn) Compact() bool { return c.compact.Load() }

// Send sends a message without a reply: a compact one if the peer knows these, else a
// notification. Its error is of type ErrNotWritten or ErrLost.
func (c *Conn) Send(method string, params any) error {
	if !c.Compact() {
		return c.Notify(method, params)
	}
	if err := c.checkWritable(); err != nil {
		return err
	}
	data, err := cbor.Marshal(params)
	if err != nil {
		return ErrNotWritten.Wrap(err, "%s", method)
	}
	if len(data) > wire.MaxMessage || len(method) > maxMethod {
		return ErrNotWritten.New("%s: a message of %d bytes", method, len(data))
	}
	frame := make([]byte, 0, len(data)+len(method)+3*binary.MaxVarintLen64)
	frame = binary.AppendUvarint(frame, compactMark)
	frame = binary.AppendUvarint(frame, uint64(len(method)))
	frame = append(frame, method...)
	frame = binary.AppendUvarint(frame, uint64(len(data)))
	frame = append(frame, data...)
	return c.stream.writeFrame(frame)
}

// readCompact reads a compact message behind its mark and has it handled.
func (s *stream) readCompact() error {
	method, err := s.readBytes(maxMethod)
	if err != nil {
		return err
	}
	data, err := s.readBytes(uint64(s.maxMessage.Load()))
	if err != nil {
		return err
	}
	s.traffic.BytesIn.Add(int64(len(method) + len(data)))
	s.traffic.MessagesIn.Add(1)
	s.handleCompact(string(method), data)
	return nil
}

// readBytes reads a length, which is limit at most, and as many bytes.
func (s *stream) readBytes(limit uint64) ([]byte, error) {
	size, err := binary.ReadUvarint(s.reader)
	if err != nil {
		return nil, err
	}
	if size > limit {
		s.traffic.Rejected.Add(1)
		return nil, ErrMalformed.New("%d bytes exceed %d", size, limit)
	}
	return readMessage(s.reader, int(size))
}

// handleCompact dispatches a compact message received on c.
func (c *Conn) handleCompact(method string, data []byte) {
	<-c.ready
	authenticated := c.authenticated.Load()
	handler, ok := c.node.mux.compact[method]
	if !ok || !authenticated {
		c.node.Traffic.Rejected.Add(1)
		if !authenticated && !c.dialed.Load() {
			c.Close()
		}
		return
	}
	if err := handler(c, data); err != nil {
		c.node.Traffic.Rejected.Add(1)
	}
}
