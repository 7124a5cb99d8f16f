// Package share divides room among client accounts, max-min fair by weight. Room is
// whatever the caller counts: slots, pieces or requests per second. The package does
// no I/O and knows no time but what it is given.
package share
