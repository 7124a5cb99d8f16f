package origin

import (
	"encoding/binary"
	"time"
)

// Methods between processes.
const (
	MethodTell  = "origin.tell"
	MethodAsk   = "origin.ask"
	MethodPast  = "origin.past"
	MethodVouch = "origin.vouch"
)

// maxTold bounds the streams of one message.
const maxTold = 1024

// toldProof is a Proof in a message; empty for the zero Proof.
type toldProof struct {
	Endpoint string `json:"endpoint,omitempty"`
	// Age is how long ago the connection was opened.
	Age time.Duration `json:"opened_ns,omitempty"`
}

// tellProof returns the message of a Proof.
func tellProof(now time.Time, p Proof) toldProof {
	if p.IsZero() {
		return toldProof{}
	}
	return toldProof{Endpoint: p.Endpoint, Age: now.Sub(p.Opened)}
}

// proof returns the Proof of a message.
func (t toldProof) proof(now time.Time) Proof {
	if t.Endpoint == "" {
		return Proof{}
	}
	return Proof{Endpoint: t.Endpoint, Opened: now.Add(-t.Age)}
}

// vouchReply is the answer whether the process of a Proof is the one that the list names.
type vouchReply struct {
	Vouches bool `json:"vouches,omitempty"`
}

// told are streams of one origin.
type told struct {
	Origin
	Proof toldProof `json:"proof,omitzero"`
	// Left is how long they are to be held.
	Left time.Duration `json:"left_ns"`
	// Streams holds the streams, eight bytes each.
	Streams []byte `json:"streams"`
}

// add adds a stream.
func (t *told) add(s Stream) { t.Streams = binary.BigEndian.AppendUint64(t.Streams, uint64(s)) }

// each calls yield with the streams.
func (t *told) each(yield func(Stream)) {
	for rest := t.Streams; len(rest) >= streamBytes; rest = rest[streamBytes:] {
		yield(Stream(binary.BigEndian.Uint64(rest)))
	}
}

// streamBytes is the length of a stream in a message.
const streamBytes = 8

// askCall asks for the origin of a stream.
type askCall struct {
	Stream Stream `json:"stream,string"`
	Question
	// Prove asks the member to find out, if it does not know the stream, whether there is one
	// origin that the stream can have had. That takes up to settleTime and proofTimeout.
	Prove bool `json:"prove,omitempty"`
}

// askReply is the answer: that the origin is known, or proved to be the only one that the
// stream can have had.
type askReply struct {
	Origin
	Proof toldProof `json:"proof,omitzero"`
	Known bool      `json:"known,omitempty"`
	Sole  bool      `json:"proved,omitempty"`
	// Age is how long ago the member learned it, Left how long it holds it.
	Age  time.Duration `json:"age_ns,omitempty"`
	Left time.Duration `json:"left_ns,omitempty"`
}
