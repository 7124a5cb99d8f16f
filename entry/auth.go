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

// credentials finds the holder of a credential by its hash. It is built once
// for each bundle and immutable.
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

func addHash[T any](to map[[sha256.Size]byte]*T, text string, holder *T) {
	var hash [sha256.Size]byte
	if n, err := hex.Decode(hash[:], []byte(text)); err != nil || n != sha256.Size {
		return
	}
	to[hash] = holder
}

// find returns the holder of the request's bearer credential. It looks up the
// SHA-256 of what was presented: a caller cannot choose the hash's bytes one by
// one, so the time of the lookup tells nothing about a stored credential.
func find[T any](from map[[sha256.Size]byte]*T, r *http.Request) *T {
	secret, ok := strings.CutPrefix(r.Header.Get("Authorization"), bearerPrefix)
	if !ok || secret == "" {
		return nil
	}
	presented := sha256.Sum256([]byte(secret))
	return from[presented]
}

func (c *credentials) account(r *http.Request) *bundle.Account { return find(c.accounts, r) }

func (c *credentials) operator(r *http.Request) *bundle.Operator { return find(c.operators, r) }

// mayCall tells whether the account may use the pipeline.
func mayCall(a *bundle.Account, pipeline string) bool {
	return len(a.Pipelines) == 0 || slices.Contains(a.Pipelines, pipeline)
}
