package configcheck

import (
	"fmt"
	"reflect"
	"slices"

	"github.com/mangostage/mangostage/catalog"
)

// Change is one difference between two configurations.
type Change struct {
	Place Place
	// From and To are the values before and after; empty where an entry is new or gone.
	From, To string
}

// Diff returns what differs between the configuration in force and the next one, by
// the names of entries. Keys of accounts are counted and never shown.
func Diff(inForce, next *catalog.Config) []Change {
	var d differ
	d.compare(limitPlace(FieldHeaderBytes), inForce.Limits.HeaderBytes, next.Limits.HeaderBytes)
	d.compare(limitPlace(FieldBodyBytes), inForce.Limits.BodyBytes, next.Limits.BodyBytes)
	d.compare(limitPlace(FieldHeaderTimeout), inForce.Limits.HeaderTimeout, next.Limits.HeaderTimeout)
	d.compare(limitPlace(FieldIdleTimeout), inForce.Limits.IdleTimeout, next.Limits.IdleTimeout)
	d.compare(accountsPlace().at(FieldKeys), neededText(inForce), neededText(next))
	diffEntries(&d, ListRoutes, inForce.Routes, next.Routes, func(r *catalog.Route) string { return r.Name }, (*differ).route)
	diffEntries(&d, ListServices, inForce.Services, next.Services, func(s *catalog.Service) string { return s.Name }, (*differ).service)
	diffEntries(&d, ListAccounts, inForce.Accounts, next.Accounts, func(a *catalog.Account) string { return a.Name }, (*differ).account)
	return d.changes
}

// CheckVersion returns a finding if the next configuration would not come into force
// after the other one.
func CheckVersion(inForce, next *catalog.Config) []Finding {
	if next.Version > inForce.Version {
		return nil
	}
	return []Finding{{
		Kind: KindError, Place: Place{Index: -1, Field: FieldVersion},
		Message: fmt.Sprintf("%d is not above %d, the version in force", next.Version, inForce.Version),
	}}
}

// differ collects changes.
type differ struct{ changes []Change }

// compare adds a change if the two values differ.
func (d *differ) compare(place Place, from, to any) {
	if !reflect.DeepEqual(from, to) {
		d.changes = append(d.changes, Change{Place: place, From: valueText(from), To: valueText(to)})
	}
}

// valueText returns a value as text, what a pointer points to instead of the pointer.
func valueText(value any) string {
	if v := reflect.ValueOf(value); v.Kind() == reflect.Pointer {
		if v.IsNil() {
			return "none"
		}
		value = v.Elem().Interface()
	}
	return fmt.Sprint(value)
}

// diffEntries compares two lists by the names of their entries.
func diffEntries[T any](d *differ, list List, before, after []T, name func(*T) string, compare func(*differ, Place, *T, *T)) {
	old := make(map[string]*T, len(before))
	for i := range before {
		old[name(&before[i])] = &before[i]
	}
	kept := make(map[string]bool, len(after))
	for i := range after {
		place := Place{List: list, Index: i, Name: name(&after[i])}
		kept[place.Name] = true
		if previous := old[place.Name]; previous != nil {
			compare(d, place, previous, &after[i])
			continue
		}
		d.changes = append(d.changes, Change{Place: place, To: "added"})
	}
	for i := range before {
		if n := name(&before[i]); !kept[n] {
			d.changes = append(d.changes, Change{Place: Place{List: list, Index: -1, Name: n}, From: "removed"})
		}
	}
}

func (d *differ) route(p Place, a, b *catalog.Route) {
	d.compare(p.at(FieldHost), a.Host, b.Host)
	d.compare(p.at(FieldPrefix), a.Prefix, b.Prefix)
	d.compare(p.at(FieldKind), a.Kind, b.Kind)
	d.compare(p.at(FieldTimeout), a.Timeout, b.Timeout)
	d.compare(p.at(FieldObjective), a.Objective, b.Objective)
	d.compare(p.at(FieldEventGap), a.EventGap, b.EventGap)
	d.compare(p.at(FieldPriority), a.Priority, b.Priority)
	d.compare(p.at(FieldSplit), a.Split, b.Split)
	d.compare(p.at(FieldMaxAttempts), a.MaxAttempts, b.MaxAttempts)
	d.compare(p.at(FieldStages), a.Stages, b.Stages)
	d.compare(p.at(FieldPublic), a.Public, b.Public)
	d.compare(p.at(FieldModel), a.Model, b.Model)
	d.compare(p.at(FieldResumable), a.Resumable, b.Resumable)
}

func (d *differ) service(p Place, a, b *catalog.Service) {
	d.compare(p.at(FieldModel), a.Model, b.Model)
	d.compare(p.at(FieldBatch), a.Batch, b.Batch)
	d.compare(p.at(FieldColdStart), a.ColdStart, b.ColdStart)
	d.compare(p.at(FieldColdRate), a.ColdRate, b.ColdRate)
}

func (d *differ) account(p Place, a, b *catalog.Account) {
	d.compare(p.at(FieldPriority), a.Priority, b.Priority)
	added, removed := missingFrom(a.Keys, b.Keys), missingFrom(b.Keys, a.Keys)
	if added+removed > 0 {
		d.changes = append(d.changes, Change{
			Place: p.at(FieldKeys), From: fmt.Sprintf("%d removed", removed), To: fmt.Sprintf("%d added", added),
		})
	}
}

// neededText says whether requests need a key.
func neededText(c *catalog.Config) string {
	if c.Open {
		return "not needed"
	}
	return "needed"
}

// missingFrom counts the keys that are in list and not in known.
func missingFrom(known, list []string) int {
	n := 0
	for _, key := range list {
		if !slices.Contains(known, key) {
			n++
		}
	}
	return n
}
