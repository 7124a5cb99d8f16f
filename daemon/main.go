package daemon

import (
	"context"
	"errors"
	"fmt"
	"os"
	"time"

	"github.com/alexflint/go-arg"

	"github.com/mangostage/mangostage/finding"
	"github.com/mangostage/mangostage/internal/stopsignal"
	"github.com/mangostage/mangostage/settings"
)

// Exit codes of the daemons.
const (
	ExitOK = 0
	// ExitFailed means that the process failed to start or to stop cleanly.
	ExitFailed = 1
	// ExitUsage means that the settings are invalid.
	ExitUsage = 2
)

// stopTimeout bounds a graceful stop; it is longer than any pipeline's deadline.
const stopTimeout = 30 * time.Second

// Stopper is a running process that can be stopped.
type Stopper interface {
	// Stop stops the process gracefully until ctx ends.
	Stop(ctx context.Context) error
}

// Main runs a daemon: it parses settings into dest, starts the process with
// start and stops it at SIGTERM or SIGINT. start checks the settings and adds
// what is wrong to its argument. Main returns the exit code.
func Main(program string, dest any, start func(*finding.List) (Stopper, error)) int {
	parser, err := settings.Parse(program, dest, os.Args[1:])
	switch {
	case errors.Is(err, arg.ErrHelp):
		parser.WriteHelp(os.Stdout)
		return ExitOK
	case errors.Is(err, arg.ErrVersion):
		_, _ = fmt.Fprintln(os.Stdout, settings.Version(program))
		return ExitOK
	case err != nil:
		fmt.Fprintln(os.Stderr, "error:", err)
		return ExitUsage
	}
	stopped := stopsignal.Context()
	var findings finding.List
	process, err := start(&findings)
	if len(findings) > 0 {
		fmt.Fprintln(os.Stderr, findings.Error())
		return ExitUsage
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return ExitFailed
	}
	<-stopped.Done()
	ctx, stop := context.WithTimeout(context.Background(), stopTimeout)
	defer stop()
	if err := process.Stop(ctx); err != nil {
		fmt.Fprintln(os.Stderr, "stop:", err)
		return ExitFailed
	}
	return ExitOK
}
