// Package sumtree keeps amounts in the order of a time and sums up those up to
// any time. Each operation takes a time that grows with the logarithm of the
// number of amounts.
package sumtree

import (
	"cmp"
	"time"
)

// Amount is what is summed up.
type Amount struct {
	Pieces int
	Bytes  int64
}

// Plus returns the sum of two amounts.
func (a Amount) Plus(b Amount) Amount {
	return Amount{Pieces: a.Pieces + b.Pieces, Bytes: a.Bytes + b.Bytes}
}

// Key orders amounts by time; ID tells those of one time apart.
type Key struct {
	At time.Time
	ID uint64
}

func (k Key) compare(o Key) int {
	if c := k.At.Compare(o.At); c != 0 {
		return c
	}
	return cmp.Compare(k.ID, o.ID)
}

// Tree is a treap. The zero value is empty; it is not safe for concurrent use.
type Tree struct{ root *node }

type node struct {
	key    Key
	amount Amount
	// sum is that of the whole subtree.
	sum Amount
	// rank is that of no node below.
	rank        uint64
	left, right *node
}

// Set makes the amount of a key the given one; the zero amount takes it out.
func (t *Tree) Set(key Key, amount Amount) {
	if amount == (Amount{}) {
		t.root = t.root.remove(key)
		return
	}
	t.root = t.root.set(key, amount)
}

// Sum is the sum of all amounts.
func (t *Tree) Sum() Amount { return t.root.total() }

// UpTo is the sum of the amounts of keys that are not after a time.
func (t *Tree) UpTo(at time.Time) Amount {
	var sum Amount
	for n := t.root; n != nil; {
		if n.key.At.After(at) {
			n = n.left
			continue
		}
		sum = sum.Plus(n.left.total()).Plus(n.amount)
		n = n.right
	}
	return sum
}

func (n *node) total() Amount {
	if n == nil {
		return Amount{}
	}
	return n.sum
}

// summed brings the sum up to date and returns n.
func (n *node) summed() *node {
	n.sum = n.left.total().Plus(n.amount).Plus(n.right.total())
	return n
}

func (n *node) set(key Key, amount Amount) *node {
	if n == nil {
		return (&node{key: key, amount: amount, rank: mix(key.ID)}).summed()
	}
	switch c := key.compare(n.key); {
	case c < 0:
		n.left = n.left.set(key, amount)
		if n.left.rank < n.rank {
			return n.rotateRight()
		}
	case c > 0:
		n.right = n.right.set(key, amount)
		if n.right.rank < n.rank {
			return n.rotateLeft()
		}
	default:
		n.amount = amount
	}
	return n.summed()
}

func (n *node) remove(key Key) *node {
	if n == nil {
		return nil
	}
	switch c := key.compare(n.key); {
	case c < 0:
		n.left = n.left.remove(key)
	case c > 0:
		n.right = n.right.remove(key)
	default:
		return join(n.left, n.right)
	}
	return n.summed()
}

// join puts two trees together, all keys of the first before those of the second.
func join(a, b *node) *node {
	switch {
	case a == nil:
		return b
	case b == nil:
		return a
	case a.rank < b.rank:
		a.right = join(a.right, b)
		return a.summed()
	}
	b.left = join(a, b.left)
	return b.summed()
}

func (n *node) rotateRight() *node {
	top := n.left
	n.left, top.right = top.right, n
	n.summed()
	return top.summed()
}

func (n *node) rotateLeft() *node {
	top := n.right
	n.right, top.left = top.left, n
	n.summed()
	return top.summed()
}

// mix spreads the bits of an ID, by the finalizer of SplitMix64: IDs are given in
// order, and the ranks must not be.
func mix(h uint64) uint64 {
	h += 0x9e3779b97f4a7c15
	h = (h ^ h>>30) * 0xbf58476d1ce4e5b9
	h = (h ^ h>>27) * 0x94d049bb133111eb
	return h ^ h>>31
}
