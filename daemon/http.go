package daemon

import (
	"context"
	"errors"
	"maps"
	"net"
	"net/http"
	"time"

	"github.com/joomcode/errorx"
	"github.com/rs/zerolog"

	"github.com/mangostage/mangostage/intake"
	"github.com/mangostage/mangostage/internal/clientconn"
	"github.com/mangostage/mangostage/internal/sleep"
)

// defaultClientLimits bound the requests of addresses for which nothing else is configured.
var defaultClientLimits = clientconn.Limits{
	HeadBytes:   64 << 10,
	HeadTimeout: 5 * time.Second,
	IdleTimeout: 90 * time.Second,
}

// endedLogInterval is the shortest time between two log lines on clients that were ended.
const endedLogInterval = 10 * time.Second

// checksRoom is the room of an address that only answers checks and metrics.
var checksRoom = intake.Limits{Conns: 32, Bytes: 1 << 20}

// httpServer serves one address within bounds on what its clients take of the process.
type httpServer struct {
	*http.Server
	conns *clientconn.Conns
	// addr is the address bound.
	addr net.Addr
	// stopTicks ends the watch on connections that take too long.
	stopTicks context.CancelFunc
}

// newHTTPServer returns a server that does not listen yet.
func newHTTPServer(handler http.Handler, room intake.Limits, limits clientconn.Limits) *httpServer {
	s := &httpServer{Server: &http.Server{Handler: handler}}
	s.conns = clientconn.Attach(s.Server, room, limits)
	return s
}

// serveHTTP serves handler on address until the server is shut down. The server is nil if the
// address cannot be bound.
func serveHTTP(address string, handler http.Handler, room intake.Limits, log zerolog.Logger) (*httpServer, error) {
	s := newHTTPServer(handler, room, defaultClientLimits)
	if err := s.listen(address, log); err != nil {
		return nil, err
	}
	return s, nil
}

// listen serves on address until the server is shut down.
func (s *httpServer) listen(address string, log zerolog.Logger) error {
	ctx, stop := context.WithCancel(context.Background())
	listener, err := clientconn.Listen(ctx, address)
	if err != nil {
		stop()
		return errorx.Decorate(err, "listen for HTTP")
	}
	s.addr, s.stopTicks = listener.Addr(), stop
	go s.conns.Run(ctx)
	go s.logEnded(ctx, log.With().Stringer("address", s.addr).Logger())
	go s.serve(s.conns.Listener(listener), log)
	return nil
}

// serve serves until the server is shut down; it logs any other end.
func (s *httpServer) serve(listener net.Listener, log zerolog.Logger) {
	if err := s.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		log.Error().Str("event", logHTTPEnded).Err(err).Msg("HTTP server ended")
	}
}

// logEnded logs how many clients were ended or refused by the process itself, and why, since the
// line before. Connections that were idle for too long are no reason for a line.
func (s *httpServer) logEnded(ctx context.Context, log zerolog.Logger) {
	logged := make(map[intake.Reason]int64)
	for sleep.For(ctx, endedLogInterval) {
		stats := s.conns.Stats()
		delete(stats.Ended, intake.ReasonIdleTimeout)
		if maps.Equal(stats.Ended, logged) {
			continue
		}
		line := log.Warn().Str("event", logClientsEnded)
		for reason, n := range stats.Ended {
			if more := n - logged[reason]; more > 0 {
				line.Int64(string(reason), more)
			}
		}
		logged = stats.Ended
		line.Int64("bytes", stats.Bytes).Any("connections_now", stats.Conns).Msg("connections of clients were ended or refused")
	}
}

// Shutdown implements the method of http.Server.
func (s *httpServer) Shutdown(ctx context.Context) error {
	defer s.stopTicks()
	return s.Server.Shutdown(ctx)
}

// Close implements the method of http.Server.
func (s *httpServer) Close() error {
	s.stopTicks()
	return s.Server.Close()
}
