// Command mangostage-fake runs stand-ins for model engines, plain services and
// the platform, for tests and development. When all of them listen, it prints
// one JSON line with their addresses; it exits on SIGTERM or SIGINT.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"

	"github.com/alexflint/go-arg"

	"github.com/mangostage/mangostage/internal/stopsignal"
)

func main() {
	ctx := stopsignal.Context()
	var a args
	parser := arg.MustParse(&a)
	if parser.Subcommand() == nil {
		parser.Fail("name one of the subcommands")
	}
	standIns, err := a.build()
	if err == nil {
		err = run(ctx, standIns, os.Stdout)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// readyLine is the JSON line printed when all stand-ins listen.
type readyLine struct {
	Listening []listener `json:"listening"`
}

// listener is the address of one stand-in.
type listener struct {
	Name string `json:"name"`
	Kind kind   `json:"kind"`
	URL  string `json:"url"`
}

// run starts the stand-ins, prints their addresses and waits for ctx to end.
func run(ctx context.Context, standIns []standIn, out *os.File) error {
	var line readyLine
	for _, s := range standIns {
		if err := s.server.Start(s.listen); err != nil {
			return err
		}
		defer s.server.Close()
		line.Listening = append(line.Listening, listener{Name: s.name, Kind: s.kind, URL: s.server.URL()})
	}
	if err := json.NewEncoder(out).Encode(line); err != nil {
		return err
	}
	<-ctx.Done()
	return nil
}
