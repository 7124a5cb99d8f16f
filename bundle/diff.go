package bundle

import (
	"encoding/json"
	"fmt"
	"reflect"
	"slices"
	"strings"
)

// ChangeKind is the way in which a value differs between two bundles.
type ChangeKind string

// The kinds of change.
const (
	ChangeAdded     ChangeKind = "added"
	ChangeRemoved   ChangeKind = "removed"
	ChangeModified  ChangeKind = "modified"
	ChangeReordered ChangeKind = "reordered"
)

// Change is one difference between two bundles.
type Change struct {
	// Path locates the value, such as "pools.encoders.queue".
	Path string     `json:"path"`
	Kind ChangeKind `json:"kind"`
	// Old and New are the values: durations such as "4s", plain strings, JSON for
	// all else. For ChangeReordered they are the comma-separated keys of the items.
	Old string `json:"old,omitempty"`
	New string `json:"new,omitempty"`
}

// String formats the change as one line.
func (c Change) String() string {
	switch c.Kind {
	case ChangeAdded:
		return fmt.Sprintf("+ %s: %s", c.Path, c.New)
	case ChangeRemoved:
		return fmt.Sprintf("- %s: %s", c.Path, c.Old)
	case ChangeReordered:
		return fmt.Sprintf("~ %s: order %s -> %s", c.Path, c.Old, c.New)
	}
	return fmt.Sprintf("~ %s: %s -> %s", c.Path, c.Old, c.New)
}

// Diff lists the changes from one bundle to another, in the order of the
// schema. Items of lists are matched by name.
func Diff(from, to *Bundle) []Change {
	var d differ
	d.compare("", reflect.ValueOf(*from), reflect.ValueOf(*to))
	return d.changes
}

// differ collects the changes between two bundles.
type differ struct {
	changes []Change
}

func (d *differ) add(kind ChangeKind, path, from, to string) {
	d.changes = append(d.changes, Change{Path: path, Kind: kind, Old: from, New: to})
}

// compare adds the changes between two values of the same type.
func (d *differ) compare(path string, from, to reflect.Value) {
	switch from.Kind() {
	case reflect.Struct:
		for i := range from.NumField() {
			name := fieldName(from.Type().Field(i))
			d.compare(joinPath(path, name), from.Field(i), to.Field(i))
		}
	case reflect.Slice:
		d.compareLists(path, from, to)
	default:
		if !from.Equal(to) {
			d.add(ChangeModified, path, formatValue(from), formatValue(to))
		}
	}
}

// compareLists adds the changes between two lists, whose items are matched by key.
func (d *differ) compareLists(path string, from, to reflect.Value) {
	oldKeys := keysOf(from)
	newKeys := keysOf(to)
	var oldOrder, newOrder []string
	for i, key := range oldKeys {
		j := slices.Index(newKeys, key)
		if j < 0 {
			d.addItem(ChangeRemoved, path, key, from.Index(i))
			continue
		}
		oldOrder = append(oldOrder, key)
		if from.Index(i).Kind() == reflect.Struct {
			d.compare(joinPath(path, key), from.Index(i), to.Index(j))
		}
	}
	for j, key := range newKeys {
		if slices.Contains(oldKeys, key) {
			newOrder = append(newOrder, key)
			continue
		}
		d.addItem(ChangeAdded, path, key, to.Index(j))
	}
	if !slices.Equal(oldOrder, newOrder) {
		d.add(ChangeReordered, path, strings.Join(oldOrder, ", "), strings.Join(newOrder, ", "))
	}
}

// addItem adds a change for a whole item of a list that was added or removed.
func (d *differ) addItem(kind ChangeKind, path, key string, v reflect.Value) {
	if v.Kind() == reflect.Struct {
		path = joinPath(path, key)
	}
	if kind == ChangeAdded {
		d.add(kind, path, "", formatValue(v))
		return
	}
	d.add(kind, path, formatValue(v), "")
}

// keysOf returns the names of a list's items, or the items themselves if they
// are strings.
func keysOf(list reflect.Value) []string {
	keys := make([]string, list.Len())
	for i := range keys {
		item := list.Index(i)
		if item.Kind() == reflect.Struct {
			item = item.FieldByName("Name")
		}
		keys[i] = item.String()
	}
	return keys
}

// formatValue formats a value as one line.
func formatValue(v reflect.Value) string {
	switch value := v.Interface().(type) {
	case Duration:
		return value.D().String()
	case string:
		return value
	}
	text, err := json.Marshal(v.Interface())
	if err != nil {
		return fmt.Sprint(v.Interface())
	}
	return string(text)
}

func joinPath(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}
