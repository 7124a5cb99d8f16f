package origin

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// Origin is where a stream began.
type Origin struct {
	Service string `json:"service"`
	// Version is that of the endpoint's software.
	Version string `json:"version,omitempty"`
	// Unclear means that the process that began the stream may have had another version
	// than the entry said: no endpoint is known to fit.
	Unclear bool `json:"unclear,omitempty"`
}

// Stream identifies a stream: it is the hash of the ID of the client's attempt that brought
// the first event.
type Stream uint64

// StreamOf returns the stream that an attempt began.
func StreamOf(attempt string) Stream { return Stream(xxhash.Sum64String(attempt)) }

// Record is what is known of a stream.
type Record struct {
	Origin
	// Proof is what has to be looked at before Origin is believed.
	Proof Proof
	// Learned is when this process learned it, From the name of the member that told it,
	// empty for this process.
	Learned time.Time
	From    string
	// Until is when it may be forgotten.
	Until time.Time
}
