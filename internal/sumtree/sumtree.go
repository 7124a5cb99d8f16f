// Package sumtree keeps amounts ordered by time and computes the sum of those up
// to a given time. Each operation takes expected time logarithmic in the number
// of amounts.
package sumtree

import (
	"cmp"
	"time"

	"github.com/mangostage/mangostage/internal/hashmix"
)

// Amount is a number of pieces and of bytes.
type Amount struct {
	Pieces int
	Bytes  int64
}

// Plus returns the sum of two amounts.
func (a Amount) Plus(b Amount) Amount {
	return Amount{Pieces: a.Pieces + b.Pieces, Bytes: a.Bytes + b.Bytes}
}

// Key identifies an amount. Keys are ordered by time, and keys with the same time
// by ID.
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
	// sum is the sum of the amounts in the subtree of this node.
	sum Amount
	// priority is not greater than that of any descendant.
	priority    uint64
	left, right *node
}

// Set sets the amount of a key; the zero amount removes the key.
func (t *Tree) Set(key Key, amount Amount) {
	if amount == (Amount{}) {
		t.root = t.root.remove(key)
		return
	}
	t.root = t.root.set(key, amount)
}

// Sum returns the sum of all amounts.
func (t *Tree) Sum() Amount { return t.root.subtreeSum() }

// UpTo returns the sum of the amounts whose time is not after at.
func (t *Tree) UpTo(at time.Time) Amount {
	var sum Amount
	for n := t.root; n != nil; {
		if n.key.At.After(at) {
			n = n.left
			continue
		}
		sum = sum.Plus(n.left.subtreeSum()).Plus(n.amount)
		n = n.right
	}
	return sum
}

func (n *node) subtreeSum() Amount {
	if n == nil {
		return Amount{}
	}
	return n.sum
}

// updateSum recomputes the sum of n from its children and returns n.
func (n *node) updateSum() *node {
	n.sum = n.left.subtreeSum().Plus(n.amount).Plus(n.right.subtreeSum())
	return n
}

func (n *node) set(key Key, amount Amount) *node {
	if n == nil {
		return (&node{key: key, amount: amount, priority: mixBits(key.ID)}).updateSum()
	}
	switch c := key.compare(n.key); {
	case c < 0:
		n.left = n.left.set(key, amount)
		if n.left.priority < n.priority {
			return n.rotateRight()
		}
	case c > 0:
		n.right = n.right.set(key, amount)
		if n.right.priority < n.priority {
			return n.rotateLeft()
		}
	default:
		n.amount = amount
	}
	return n.updateSum()
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
	return n.updateSum()
}

// join merges two subtrees; all keys of a must precede those of b.
func join(a, b *node) *node {
	switch {
	case a == nil:
		return b
	case b == nil:
		return a
	case a.priority < b.priority:
		a.right = join(a.right, b)
		return a.updateSum()
	}
	b.left = join(a, b.left)
	return b.updateSum()
}

func (n *node) rotateRight() *node {
	top := n.left
	n.left, top.right = top.right, n
	n.updateSum()
	return top.updateSum()
}

func (n *node) rotateLeft() *node {
	top := n.right
	n.right, top.left = top.left, n
	n.updateSum()
	return top.updateSum()
}

// mixBits hashes an ID with the finalizer of SplitMix64. IDs are assigned in
// ascending order, and the priorities of a treap must look random.
func mixBits(h uint64) uint64 {
	return hashmix.Mix(h + 0x9e3779b97f4a7c15)
}
