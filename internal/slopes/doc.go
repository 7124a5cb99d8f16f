// Package slopes contains benchmarks that measure how the memory, processor time
// and traffic of an entry and of an agent grow with the numbers of accounts,
// endpoints, connections, requests and tokens. They give the figures of
// docs/CAPACITY.md. The package has no code except tests.
package slopes
