// Package examples holds the bundles of two example deployments, for
// development and tests.
package examples

import (
	"embed"
	"slices"

	"github.com/joomcode/errorx"
)

// The example deployments.
const (
	Brunnhofer  = "brunnhofer"
	Stroomwacht = "stroomwacht"
)

// The failure domains of Brunnhofer.
const (
	DomainWinterthur = "winterthur"
	DomainStGallen   = "st-gallen"
	DomainFrauenfeld = "frauenfeld"
)

// The failure domains of Stroomwacht.
const (
	DomainAmsterdam1 = "amsterdam-1"
	DomainAmsterdam2 = "amsterdam-2"
	DomainRotterdam  = "rotterdam"
)

// CredentialPrefix is the prefix of the bearer credentials in the example
// bundles: a credential is the prefix followed by the name of the client account
// or operator.
const CredentialPrefix = "dev-"

var (
	errs = errorx.NewNamespace("examples")
	// ErrUnknownDeployment is returned for a name that is not in Names.
	ErrUnknownDeployment = errs.NewType("unknown_deployment")
)

//go:embed *.yaml
var files embed.FS

// Names lists the example deployments.
func Names() []string {
	return []string{Brunnhofer, Stroomwacht}
}

// Bundle returns the unsigned YAML bundle of a deployment. For a name that is
// not in Names the error is ErrUnknownDeployment.
func Bundle(name string) ([]byte, error) {
	if !slices.Contains(Names(), name) {
		return nil, unknownDeployment(name)
	}
	return files.ReadFile(name + ".yaml")
}

// Domains lists the failure domains of a deployment. For a name that is not in
// Names the error is ErrUnknownDeployment.
func Domains(name string) ([]string, error) {
	switch name {
	case Brunnhofer:
		return []string{DomainWinterthur, DomainStGallen, DomainFrauenfeld}, nil
	case Stroomwacht:
		return []string{DomainAmsterdam1, DomainAmsterdam2, DomainRotterdam}, nil
	}
	return nil, unknownDeployment(name)
}

func unknownDeployment(name string) error {
	return ErrUnknownDeployment.New("no example deployment %q; known: %v", name, Names())
}
