package gateway

import (
	"net/http"

	"github.com/mangostage/mangostage/catalog"
)

// access says why a request is let in, or why it is not.
type access string

const (
	// accessAccount means that a client account holds the request's key.
	accessAccount access = "account"
	// accessPublic means that the route needs no key.
	accessPublic access = "public"
	// accessOpen means that the configuration has no list of client accounts.
	accessOpen access = "open"
	// accessNoAccounts means that no client account holds a key: nobody is let in.
	accessNoAccounts access = "no_accounts"
	// accessNoKey means that the request has no key.
	accessNoKey access = "no_key"
	// accessUnknownKey means that no client account holds the request's key.
	accessUnknownKey access = "unknown_key"
)

// accessTo returns whether a configuration lets a request with the key in on a route, and the
// account that holds the key; nil without one.
func accessTo(index *catalog.Index, route *catalog.Route, key string) (access, *catalog.Account) {
	account := index.Account(key)
	switch {
	case account != nil:
		return accessAccount, account
	case route.Public:
		return accessPublic, nil
	case !index.NeedsKey():
		return accessOpen, nil
	case !index.HasKeys():
		return accessNoAccounts, nil
	case key == "":
		return accessNoKey, nil
	}
	return accessUnknownKey, nil
}

// problem returns the problem to answer with; nil if the request is let in.
func (a access) problem() *problem {
	switch a {
	case accessAccount, accessPublic, accessOpen:
		return nil
	}
	return &problem{status: http.StatusUnauthorized, reason: string(a)}
}
