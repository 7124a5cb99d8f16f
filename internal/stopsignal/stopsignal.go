// Package stopsignal tells a process that it is to stop.
package stopsignal

import (
	"context"
	"os"
	"os/signal"
	"syscall"
)

// Context returns a context that ends at the first SIGTERM or interrupt. Later ones have no
// effect until the process has exited: with the default action given back, one of a series
// would kill a process that has stopped cleanly.
func Context() context.Context {
	ctx, cancel := context.WithCancel(context.Background())
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	go func() {
		<-signals
		cancel()
	}()
	return ctx
}
