package bundle

import (
	"encoding/json"
	"fmt"
	"reflect"
	"slices"
	"strings"
)

// ChangeKind tells how a value differs between two bundles.
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
	// Path names the value, as in "pools.encoders.queue".
	Path string     `json:"path"`
	Kind ChangeKind `json:"kind"`
	// Old and New are the values as written in YAML or, for mappings, JSON.
	Old string `json:"old,omitempty"`
	New string `json:"new,omitempty"`
}

// String writes the change on one line.
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

// Diff lists what changes from one bundle to another, in the order of the
// schema. Parts that have a name are matched by it.
func Diff(from, to *Bundle) []Change {
	var d differ
	d.compare("", reflect.ValueOf(*from), reflect.ValueOf(*to))
	return d.changes
}

type differ struct {
	changes []Change
}

func (d *differ) add(kind ChangeKind, path, from, to string) {
	d.changes = append(d.changes, Change{Path: path, Kind: kind, Old: from, New: to})
}

func (d *differ) compare(path string, from, to reflect.Value) {
	switch from.Kind() {
	case reflect.Struct:
		for i := range from.NumField() {
			name := fieldName(from.Type().Field(i))
			d.compare(join(path, name), from.Field(i), to.Field(i))
		}
	case reflect.Slice:
		d.lists(path, from, to)
	default:
		if !from.Equal(to) {
			d.add(ChangeModified, path, show(from), show(to))
		}
	}
}

// lists matches the items of two lists by key.
func (d *differ) lists(path string, from, to reflect.Value) {
	oldKeys := keysOf(from)
	newKeys := keysOf(to)
	var kept, common []string
	for i, key := range oldKeys {
		j := slices.Index(newKeys, key)
		if j < 0 {
			d.item(ChangeRemoved, path, key, from.Index(i))
			continue
		}
		kept = append(kept, key)
		if from.Index(i).Kind() == reflect.Struct {
			d.compare(join(path, key), from.Index(i), to.Index(j))
		}
	}
	for j, key := range newKeys {
		if slices.Contains(oldKeys, key) {
			common = append(common, key)
			continue
		}
		d.item(ChangeAdded, path, key, to.Index(j))
	}
	if !slices.Equal(kept, common) {
		d.add(ChangeReordered, path, strings.Join(kept, ", "), strings.Join(common, ", "))
	}
}

// item reports a whole item of a list as added or removed.
func (d *differ) item(kind ChangeKind, path, key string, v reflect.Value) {
	if v.Kind() == reflect.Struct {
		path = join(path, key)
	}
	if kind == ChangeAdded {
		d.add(kind, path, "", show(v))
		return
	}
	d.add(kind, path, show(v), "")
}

// keysOf returns the names of a list's parts, or its values if they are scalars.
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

// show writes a value on one line.
func show(v reflect.Value) string {
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

func join(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}
