package bundle

import "github.com/mangostage/mangostage/finding"

// position is the place of a value in the file. Positions form a tree with the
// structure of the YAML, so that a check can report the place of the node that
// it validates.
type position struct {
	place finding.Place
	// invalid is true if a finding has been added for the value; checks skip it,
	// because they would report the same mistake again.
	invalid bool
	fields  map[string]*position
	items   []*position
}

// field returns the position of a field's value, or that of the mapping
// itself if the field is omitted.
func (p *position) field(name string) *position {
	if f, ok := p.fields[name]; ok {
		return f
	}
	return &position{place: p.place, invalid: p.invalid}
}

// item returns the position of an item of a list, or that of the list if there
// is no such item.
func (p *position) item(i int) *position {
	if i < len(p.items) {
		return p.items[i]
	}
	return &position{place: p.place, invalid: p.invalid}
}
