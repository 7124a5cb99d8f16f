// Package part knows the parts that prompts are made of, by IDs that do not depend on how a
// client writes them.
package part
