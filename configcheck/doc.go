// Package configcheck finds faults in a configuration before it is published: errors,
// entries that can never match, limits that contradict each other, and what differs
// from another version. It does no I/O.
package configcheck
