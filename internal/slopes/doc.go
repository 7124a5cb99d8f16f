// Package slopes measures how the cost of an entry and of an agent grows with
// the numbers of accounts, endpoints, connections, requests and tokens. Its
// benchmarks give the figures of docs/CAPACITY.md; it has no code of its own.
package slopes
