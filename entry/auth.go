package entry

import (
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"slices"
	"strings"

	"github.com/mangostage/mangostage/bundle"
)

const bearerPrefix = "Bearer "

// credentials maps the SHA-256 hash of a credential to its holder. It is built
// once per bundle and immutable.
type credentials struct {
	accounts  map[[sha256.Size]byte]*bundle.Account
	operators map[[sha256.Size]byte]*bundle.Operator
}

func newCredentials(b *bundle.Bundle) *credentials {
	c := &credentials{
		accounts:  make(map[[sha256.Size]byte]*bundle.Account),
		operators: make(map[[sha256.Size]byte]*bundle.Operator),
	}
	for i := range b.Accounts {
		for _, text := range b.Accounts[i].CredentialSHA256 {
			addHash(c.accounts, text, &b.Accounts[i])
		}
	}
	for i := range b.Operators {
		for _, text := range b.Operators[i].CredentialSHA256 {
			addHash(c.operators, text, &b.Operators[i])
		}
	}
	return c
}

// addHash adds holder under a hex SHA-256 hash. A malformed hash is ignored.
func addHash[T any](to map[[sha256.Size]byte]*T, text string, holder *T) {
	var hash [sha256.Size]byte
	if n, err := hex.Decode(hash[:], []byte(text)); err != nil || n != sha256.Size {
		return
	}
	to[hash] = holder
}

// findHolder returns the holder of the request's bearer credential, or nil. It
// looks up the SHA-256 of the credential: a caller cannot choose the hash byte by
// byte, so the time of the lookup reveals nothing about a stored credential.
func findHolder[T any](from map[[sha256.Size]byte]*T, r *http.Request) *T {
	secret, ok := strings.CutPrefix(r.Header.Get("Authorization"), bearerPrefix)
	if !ok || secret == "" {
		return nil
	}
	presented := sha256.Sum256([]byte(secret))
	return from[presented]
}

func (c *credentials) account(r *http.Request) *bundle.Account { return findHolder(c.accounts, r) }

func (c *credentials) operator(r *http.Request) *bundle.Operator { return findHolder(c.operators, r) }

// mayCall reports whether the account may use the pipeline. An account without a
// list of pipelines may use all of them.
func mayCall(a *bundle.Account, pipeline string) bool {
	return len(a.Pipelines) == 0 || slices.Contains(a.Pipelines, pipeline)
}
