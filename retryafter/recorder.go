package retryafter

import (
	"time"

	"github.com/rs/zerolog"
)

// Recorder records backoffs in a table and logs those that begin.
type Recorder struct {
	table *Table
	log   zerolog.Logger
}

// NewRecorder returns a recorder for the table.
func NewRecorder(table *Table, log zerolog.Logger) *Recorder {
	return &Recorder{table: table, log: log}
}

// Observe records that the endpoint refused a request and asked for a backoff of after; 0
// if it did not ask.
func (r *Recorder) Observe(endpoint, request string, after time.Duration) {
	if r.table.Observe(time.Now(), endpoint, after) {
		r.log.Warn().Str("event", logBackoffAsked).Str("endpoint", endpoint).Str("request", request).
			Dur("retry_after_ms", after).Msg("an endpoint refuses and asks for a backoff")
	}
}
