package kernel

import (
	"context"
	"encoding/json"

	"github.com/ThreeDotsLabs/watermill"
	"github.com/ThreeDotsLabs/watermill/message"
	"github.com/ThreeDotsLabs/watermill/message/router/middleware"
	"github.com/ThreeDotsLabs/watermill/pubsub/gochannel"
	"github.com/joomcode/errorx"
	"github.com/rs/zerolog"
)

// busBuffer is the number of undelivered events that a subscriber may have
// before publishers wait for it.
const busBuffer = 1024

// Topic names a stream of events of one type.
type Topic string

// The topics of a process.
const (
	// TopicBundle carries a BundleEvent for each bundle that is offered to the
	// process.
	TopicBundle Topic = "bundle"
	// TopicMember carries a MemberEvent for each change of the view of VMs.
	TopicMember Topic = "member"
	// TopicView carries a ViewEvent for each change of a gateway's view.
	TopicView Topic = "view"
	// TopicRecord carries a ledger.Record for each fact about a request.
	TopicRecord Topic = "record"
)

// BundleEvent reports that a bundle was offered and whether it was adopted.
type BundleEvent struct {
	Version uint64 `json:"version"`
	Hash    string `json:"hash"`
	// Adopted is false when the bundle was refused; Reason says why.
	Adopted bool   `json:"adopted"`
	Reason  string `json:"reason"`
	Source  string `json:"source"`
}

// MemberEvent reports a change of one VM in this process's view.
type MemberEvent struct {
	VM       string `json:"vm"`
	Endpoint string `json:"endpoint,omitempty"`
	Pool     string `json:"pool,omitempty"`
	State    string `json:"state"`
	Reason   string `json:"reason"`
}

// ViewEvent reports that the configuration or the endpoints in a gateway's view
// have changed.
type ViewEvent struct {
	// Revision is the view's number in this process.
	Revision uint64 `json:"revision"`
}

// Bus delivers events between the parts of one process and runs each handler in
// its own goroutine. Stage calls do not use it: they need replies, ordering and
// backpressure, which a broadcast does not provide.
type Bus struct {
	channel *gochannel.GoChannel
	router  *message.Router
}

// NewBus returns a bus that logs failed deliveries to log. Handlers must be
// added before Run.
func NewBus(log zerolog.Logger) (*Bus, error) {
	adapter := watermillLog{log}
	channel := gochannel.NewGoChannel(gochannel.Config{OutputChannelBuffer: busBuffer}, adapter)
	router, err := message.NewRouter(message.RouterConfig{}, adapter)
	if err != nil {
		return nil, errorx.Decorate(err, "event bus")
	}
	router.AddMiddleware(middleware.Recoverer)
	return &Bus{channel: channel, router: router}, nil
}

// Handle registers fn to be called for each event of the topic; name identifies
// the handler. An event that cannot be decoded is dropped: publisher and handler
// are in the same process, so only a bug in the program can cause it.
func Handle[E any](b *Bus, name string, topic Topic, fn func(E)) {
	b.router.AddConsumerHandler(name, string(topic), b.channel, func(msg *message.Message) error {
		var event E
		if err := json.Unmarshal(msg.Payload, &event); err != nil {
			return nil //nolint:nilerr // a redelivery would fail in the same way
		}
		fn(event)
		return nil
	})
}

// Publish sends an event to all handlers of the topic.
func Publish[E any](b *Bus, topic Topic, event E) error {
	payload, err := json.Marshal(event)
	if err != nil {
		return errorx.Decorate(err, "encode event for %s", topic)
	}
	return b.channel.Publish(string(topic), message.NewMessage(watermill.NewShortUUID(), payload))
}

// Run delivers events until ctx ends.
func (b *Bus) Run(ctx context.Context) error { return b.router.Run(ctx) }

// Running returns a channel that is closed once handlers receive events.
func (b *Bus) Running() <-chan struct{} { return b.router.Running() }

// Close stops the delivery of events and waits for running handlers.
func (b *Bus) Close() error { return b.router.Close() }

// logBusError is the value of "event" in the bus's log lines.
const logBusError = "event_bus_error"

// watermillLog passes the errors of the Watermill library to the process's log.
type watermillLog struct{ log zerolog.Logger }

// Error logs a failed delivery.
func (l watermillLog) Error(msg string, err error, fields watermill.LogFields) {
	l.log.Error().Str("event", logBusError).Err(err).Fields(map[string]any(fields)).Msg(msg)
}

// Info discards the message.
func (l watermillLog) Info(string, watermill.LogFields) {}

// Debug discards the message.
func (l watermillLog) Debug(string, watermill.LogFields) {}

// Trace discards the message.
func (l watermillLog) Trace(string, watermill.LogFields) {}

// With returns a logger that adds fields to each line.
func (l watermillLog) With(fields watermill.LogFields) watermill.LoggerAdapter {
	return watermillLog{l.log.With().Fields(map[string]any(fields)).Logger()}
}
