// Command mangostage is the operators' command-line tool: it checks and signs
// bundles, shows the state of fleets and the history of requests, and runs
// development deployments and load tests.
package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"

	"github.com/alexflint/go-arg"

	"github.com/mangostage/mangostage/finding"
	"github.com/mangostage/mangostage/internal/stopsignal"
	"github.com/mangostage/mangostage/settings"
)

// Exit codes.
const (
	exitOK = 0
	// exitFindings means that the input has findings or was refused.
	exitFindings = 1
	// exitUsage means that the command line is wrong, a file cannot be read or
	// written, or the command failed for another reason.
	exitUsage = 2
)

// arguments is the command line. Each subcommand without subcommands of its own is
// a struct that implements command.
type arguments struct {
	Bundle  *bundleArguments `arg:"subcommand:bundle" help:"check, sign, verify and compare bundles"`
	Dev     *dev             `arg:"subcommand:dev" help:"run a deployment with stand-ins in this process"`
	Load    *loadArguments   `arg:"subcommand:load" help:"drive a deployment with load and faults, and sum up"`
	Explain *explain         `arg:"subcommand:explain" help:"tell what became of one request"`
	Status  *status          `arg:"subcommand:status" help:"show processes, load and cost as the entries see them"`

	Gateway *gatewayArguments `arg:"subcommand:gateway" help:"check, watch and explain gateways on the users' platform"`
}

// command is a subcommand. Results go to out, findings and errors to errOut.
// An error that is a finding.List or a refusal leads to exitFindings, any
// other to exitUsage.
type command interface {
	run(ctx context.Context, out, errOut io.Writer) error
}

// Description implements arg.Described; it returns the first line of the help
// text.
func (arguments) Description() string {
	return "mangostage checks and signs bundles, accounts for requests, and runs trials."
}

// Version implements arg.Versioned; it returns the output of --version.
func (arguments) Version() string {
	return settings.Version("mangostage")
}

func main() {
	os.Exit(execute(stopsignal.Context(), os.Args[1:], os.Stdout, os.Stderr))
}

// execute runs one command line and returns the exit code.
func execute(ctx context.Context, args []string, out, errOut io.Writer) int {
	var parsed arguments
	parser, err := arg.NewParser(arg.Config{Program: "mangostage", Out: errOut}, &parsed)
	if err != nil {
		_, _ = fmt.Fprintln(errOut, err)
		return exitUsage
	}
	err = parser.Parse(args)
	switch {
	case errors.Is(err, arg.ErrHelp):
		_ = writeHelp(out, parser)
		return exitOK
	case errors.Is(err, arg.ErrVersion):
		_, _ = fmt.Fprintln(out, parsed.Version())
		return exitOK
	case err != nil:
		return usage(parser, errOut, err.Error())
	}
	cmd, ok := parser.Subcommand().(command)
	if !ok {
		return usage(parser, errOut, "a subcommand is required")
	}
	return report(errOut, cmd.run(ctx, out, errOut))
}

// usage prints the usage and an error in the command line, and returns the exit
// code.
func usage(parser *arg.Parser, errOut io.Writer, message string) int {
	_ = parser.WriteUsageForSubcommand(errOut, parser.SubcommandNames()...)
	_, _ = fmt.Fprintln(errOut, "error:", message)
	return exitUsage
}

// refusal is an error for which the command exits with exitFindings although it
// has no position in a file: a bundle does not verify, an entry rejects a request,
// or a load test finds wrong results.
type refusal struct {
	err error
}

// Error returns the message of the cause.
func (r refusal) Error() string { return r.err.Error() }

// Unwrap returns the cause.
func (r refusal) Unwrap() error { return r.err }

// report prints a command's error and returns the exit code.
func report(errOut io.Writer, err error) int {
	if err == nil {
		return exitOK
	}
	var findings finding.List
	if errors.As(err, &findings) {
		_, _ = fmt.Fprintln(errOut, findings.Error())
		return exitFindings
	}
	_, _ = fmt.Fprintln(errOut, "error:", err)
	var refused refusal
	if errors.As(err, &refused) {
		return exitFindings
	}
	return exitUsage
}
