package configcheck

import (
	"slices"

	"github.com/mangostage/mangostage/catalog"
)

// checkAccounts checks all client accounts. It never names a key.
func (c *checker) checkAccounts() {
	names := make(map[string]int)
	owners := make(map[string]int)
	for i := range c.config.Accounts {
		a := &c.config.Accounts[i]
		place := Place{List: ListAccounts, Index: i, Name: a.Name}
		c.checkName(names, place, "account")
		c.checkKeys(owners, place, a)
	}
	c.checkSomebodyIsLetIn()
}

// checkSomebodyIsLetIn adds a finding if routes need a key and no account has one.
func (c *checker) checkSomebodyIsLetIn() {
	index := catalog.NewIndex(c.config)
	private := func(r catalog.Route) bool { return !r.Public }
	if index.NeedsKey() && !index.HasKeys() && slices.ContainsFunc(c.config.Routes, private) {
		c.add(KindUnreachable, accountsPlace(), "no account has a key: nobody is let in but on public routes")
	}
}

// CheckAccess returns a finding if the next configuration lets in everybody and the one in force
// asks for keys.
func CheckAccess(inForce, next *catalog.Config) []Finding {
	if inForce.Open || !next.Open {
		return nil
	}
	return []Finding{{
		Kind: KindOpened, Place: accountsPlace(),
		Message: "the list is left out: requests need no key any more; an empty list lets nobody in",
	}}
}

// accountsPlace returns the place of the list of client accounts as a whole.
func accountsPlace() Place { return Place{List: ListAccounts, Index: -1} }

// checkKeys checks the keys of an account. owners maps the keys before them to the
// positions of their accounts.
func (c *checker) checkKeys(owners map[string]int, place Place, a *catalog.Account) {
	if len(a.Keys) == 0 {
		c.add(KindUnreachable, place.at(FieldKeys), "the account has no key")
	}
	for k, key := range a.Keys {
		owner, known := owners[key]
		switch {
		case key == "":
			c.add(KindError, place.at(FieldKeys), "key %d is empty", k)
		case known && owner != place.Index:
			c.add(KindError, place.at(FieldKeys), "key %d is also one of the account at position %d, which loses it", k, owner)
		case known:
			c.add(KindUnreachable, place.at(FieldKeys), "key %d is listed twice", k)
		}
		owners[key] = place.Index
	}
}
