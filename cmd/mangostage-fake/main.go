// Command mangostage-fake runs stand-ins for model engines, plain services and
// the platform, for tests and first tries. It prints one JSON line with their
// addresses when all of them listen, and ends on SIGTERM or SIGINT.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/alexflint/go-arg"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	var a args
	parser := arg.MustParse(&a)
	if parser.Subcommand() == nil {
		parser.Fail("name one of the subcommands")
	}
	set, err := a.build()
	if err == nil {
		err = run(ctx, set, os.Stdout)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// ready is the line printed when all stand-ins listen.
type ready struct {
	Listening []listening `json:"listening"`
}

type listening struct {
	Name string `json:"name"`
	Kind kind   `json:"kind"`
	URL  string `json:"url"`
}

// run starts the set, prints its addresses and waits for ctx to end.
func run(ctx context.Context, set []standIn, out *os.File) error {
	var line ready
	for _, s := range set {
		if err := s.server.Start(s.listen); err != nil {
			return err
		}
		defer s.server.Close()
		line.Listening = append(line.Listening, listening{Name: s.name, Kind: s.kind, URL: s.server.URL()})
	}
	if err := json.NewEncoder(out).Encode(line); err != nil {
		return err
	}
	<-ctx.Done()
	return nil
}
