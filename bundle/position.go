package bundle

import "github.com/mangostage/mangostage/finding"

// position is where a value stands in the file. It forms a tree in the shape
// of the YAML, so that a check can report the place of the node it judges.
type position struct {
	place finding.Place
	// faulty values have a finding of their own already; judging what was
	// read of them would only report the same mistake again.
	faulty bool
	fields map[string]*position
	items  []*position
}

// field returns the position of a field's value, or that of the mapping
// itself where the field is omitted.
func (p *position) field(name string) *position {
	if f, ok := p.fields[name]; ok {
		return f
	}
	return &position{place: p.place, faulty: p.faulty}
}

// item returns the position of a list's item, or that of the list.
func (p *position) item(i int) *position {
	if i < len(p.items) {
		return p.items[i]
	}
	return &position{place: p.place, faulty: p.faulty}
}
