package intake

// Reserve reserves memory for a connection's request, which belongs to a client account. If there
// is none left, requests that hold much and move little are told to end, or those of an account
// that holds more than this one. It returns false if the request must be refused.
func (t *Table) Reserve(c *Client, account string, bytes int64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if c.evicted {
		return false
	}
	if c.reserved == 0 {
		c.reservedAt = t.tick.Load()
	}
	t.setAccount(c, account)
	t.searches++
	for t.reserved+bytes > t.limits.Bytes {
		victim := t.slowest(c)
		if victim == nil {
			victim = t.largestOfOthers(c, bytes)
		}
		if victim == nil || float64(t.endingBytes) > endingShare*float64(t.limits.Bytes) {
			t.ended[ReasonMemory]++
			return false
		}
		if !t.evict(victim, ReasonMemory) {
			victim.declined = t.searches
		}
	}
	c.reserved += bytes
	t.reserved += bytes
	t.accounts[c.account] += bytes
	t.mostBytes = max(t.mostBytes, t.reserved+t.endingBytes)
	return true
}

// setAccount counts what a connection has reserved as a client account's, which may be known only
// after its head has come.
func (t *Table) setAccount(c *Client, account string) {
	if c.account == account {
		return
	}
	held := c.reserved
	if held > 0 {
		t.drop(c, held)
		t.reserved += held
		t.accounts[account] += held
	}
	c.account = account
}

// evictable reports whether a request may be told to end to make room: no endpoint has it.
func (c *Client) evictable() bool {
	p := c.Phase()
	return !c.evicted && c.reserved > 0 && (p == Head || p == Body) && c.declined != c.table.searches
}

// slowest returns, of the requests that come slowly, the one that holds most; nil if there is none.
func (t *Table) slowest(asking *Client) *Client {
	var found *Client
	tick := t.tick.Load()
	for c := range t.clients {
		if c != asking && c.evictable() && c.slow(tick) && (found == nil || c.reserved > found.reserved) {
			found = c
		}
	}
	return found
}

// largestOfOthers returns the request that holds most of the account that does, if that is not
// the one that asks and holds more than it would; else nil.
func (t *Table) largestOfOthers(asking *Client, bytes int64) *Client {
	account, most := "", t.accounts[asking.account]+bytes
	for name, reserved := range t.accounts {
		if name != asking.account && reserved > most {
			account, most = name, reserved
		}
	}
	if most == t.accounts[asking.account]+bytes {
		return nil
	}
	var found *Client
	for c := range t.clients {
		if c.account == account && c.evictable() && (found == nil || c.reserved > found.reserved) {
			found = c
		}
	}
	return found
}
