package main

import (
	"fmt"
	"io"
	"strings"

	"github.com/alexflint/go-arg"
)

// help is the part of a command's help text after its arguments.
type help struct {
	examples []string
	// onFindings describes when the command exits with exitFindings; it is empty
	// if the command never does.
	onFindings string
}

// helpByCommand holds the help of each command by its full name, such as "bundle
// check"; the program's own help is under the empty name.
var helpByCommand = map[string]help{
	"": {
		examples: []string{
			"mangostage dev",
			"mangostage bundle check examples/brunnhofer.yaml",
			"mangostage status --entries 127.0.0.1:7600 --credential dev-operator",
			"mangostage COMMAND --help",
		},
		onFindings: "the input has findings or was refused",
	},
	"bundle": {
		examples: []string{
			"mangostage bundle keygen --out keys",
			"mangostage bundle check bundle.yaml",
			"mangostage bundle diff old.yaml bundle.yaml",
			"mangostage bundle sign --key keys/bundle-private.pem bundle.yaml -o bundle.json",
			"mangostage bundle verify --key keys/bundle-public.pem bundle.json",
		},
		onFindings: "the input has findings or was refused",
	},
	"bundle check": {
		examples:   []string{"mangostage bundle check bundle.yaml", "mangostage bundle check --output json bundle.yaml"},
		onFindings: "the bundle has findings",
	},
	"bundle keygen": {
		examples: []string{"mangostage bundle keygen --out keys"},
	},
	"bundle sign": {
		examples: []string{
			"mangostage bundle sign --key keys/bundle-private.pem bundle.yaml -o bundle.json",
			"mangostage bundle sign --key keys/bundle-private.pem bundle.yaml > bundle.json",
		},
		onFindings: "the bundle has findings; it is not signed",
	},
	"bundle verify": {
		examples: []string{
			"mangostage bundle verify --key keys/bundle-public.pem bundle.json",
			"mangostage bundle verify --key old.pem --key new.pem --output json bundle.json",
		},
		onFindings: "no key signed it, or it is damaged, or has findings",
	},
	"bundle diff": {
		examples:   []string{"mangostage bundle diff old.yaml bundle.yaml"},
		onFindings: "one of the bundles has findings",
	},
	"bundle schema": {
		examples: []string{"mangostage bundle schema > bundle.schema.json"},
	},
	"dev": {
		examples: []string{
			"mangostage dev",
			"mangostage dev --deployment stroomwacht --listen 127.0.0.1:7601 --log-level info",
		},
	},
	"load": {
		examples: []string{
			"mangostage load --list",
			"mangostage load --self-contained calm burst+straggler --seed 7",
			"mangostage load --self-contained overload-2x --compare naive --output json",
			"mangostage load --self-contained burst --compare naive --plot burst.png",
		},
		onFindings: "the run broke a promise",
	},
	"explain": {
		examples: []string{
			"mangostage explain --entries 127.0.0.1:7600 --credential dev-operator REQUEST",
			"mangostage explain --entries 10.0.0.1:7600 --entries 10.0.0.2:7600 --output json REQUEST",
		},
		onFindings: "the entries refused: no operator's credential, or not an ID of this fleet",
	},
	"status": {
		examples: []string{
			"mangostage status --entries 127.0.0.1:7600 --credential dev-operator",
			"MANGOSTAGE_ENTRIES=10.0.0.1:7600,10.0.0.2:7600 mangostage status --output json",
		},
		onFindings: "the entries refused: no operator's credential",
	},
	"gateway": {
		examples: []string{
			"mangostage gateway check boot.toml",
			"mangostage gateway status 10.1.0.41:9464",
			"mangostage gateway explain REQUEST gateway-1.log gateway-2.log",
		},
		onFindings: "the settings file has findings",
	},
	"gateway config": {
		examples:   []string{"mangostage gateway config check next.json --against current.json"},
		onFindings: "the configuration has findings",
	},
	"gateway config check": {
		examples: []string{
			"mangostage gateway config check next.json",
			"mangostage gateway config check --output json next.json --against current.json",
		},
		onFindings: "the configuration has findings",
	},
	"gateway check": {
		examples:   []string{"mangostage gateway check /etc/mangostage/boot.toml"},
		onFindings: "the settings file has findings",
	},
	"gateway dev": {
		examples: []string{
			"mangostage gateway dev",
			"mangostage gateway dev --gateways 5 --log-level info",
		},
	},
	"gateway explain": {
		examples: []string{
			"mangostage gateway explain REQUEST gateway-1.log gateway-2.log",
			"cat *.log | mangostage gateway explain --output json REQUEST",
		},
	},
	"gateway load": {
		examples: []string{
			"mangostage gateway load --seconds 10 --seed 7",
			"mangostage gateway load --scenario burst --compare --plot burst.png",
			"mangostage gateway load --scenario stops --seconds 30 --output json",
		},
		onFindings: "an answer was incomplete or another request's",
	},
	"gateway status": {
		examples: []string{
			"mangostage gateway status 10.1.0.41:9464 10.2.0.25:9464",
			"mangostage gateway status --output json 10.1.0.41:9464",
		},
	},
}

// writeHelp writes the help of the command that parser has found in the arguments.
func writeHelp(out io.Writer, parser *arg.Parser) error {
	names := parser.SubcommandNames()
	if err := parser.WriteHelpForSubcommand(out, names...); err != nil {
		return err
	}
	_, err := io.WriteString(out, helpByCommand[strings.Join(names, " ")].text())
	return err
}

// text returns the examples and the exit codes.
func (h help) text() string {
	var b strings.Builder
	b.WriteString("\nExamples:\n")
	for _, example := range h.examples {
		b.WriteString("  " + example + "\n")
	}
	b.WriteString("\nExit codes:\n")
	line := func(code int, meaning string) { _, _ = fmt.Fprintf(&b, "  %d  %s\n", code, meaning) }
	line(exitOK, "success")
	if h.onFindings != "" {
		line(exitFindings, h.onFindings)
	}
	line(exitUsage, "wrong command line, unusable file, or a failure on the way")
	return b.String()
}
