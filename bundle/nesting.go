package bundle

import (
	"github.com/goccy/go-yaml/lexer"
	"github.com/goccy/go-yaml/token"

	"github.com/mangostage/mangostage/finding"
)

// maxNesting is far more than a bundle's own depth of five.
const maxNesting = 64

// scan looks at the file's tokens before they are parsed and reports whether
// parsing is safe.
//
// It guards against a file of, say, a megabyte of opening brackets: the YAML
// parser recurses for each, takes minutes and can end the process by stack
// exhaustion, which no recover catches. Each level of its recursion opens with
// a bracket, a deeper indentation, an entry, key or colon on one line, or an
// anchor or tag. The last two are refused outright and the others are bounded
// here, which bounds the recursion.
func (d *decoder) scan(data []byte) bool {
	n := nesting{}
	safe := true
	for _, tk := range lexer.Tokenize(string(data)) {
		switch tk.Type {
		case token.AnchorType, token.AliasType, token.TagType, token.MergeKeyType:
			d.findings.Add(d.at(tk), "anchors, aliases, merge keys and tags are not allowed")
			safe = false
			continue
		}
		n.add(tk)
		if n.depth() > maxNesting {
			d.findings.Add(d.at(tk), "nested more than %d levels deep", maxNesting)
			return false
		}
	}
	return safe
}

// at returns where a token stands.
func (d *decoder) at(tk *token.Token) finding.Place {
	return finding.Place{File: d.file, Line: tk.Position.Line, Column: tk.Position.Column}
}

// nesting bounds from above how deep a parser is in its recursion.
type nesting struct {
	// flow is the number of open brackets.
	flow int
	// indents are the columns of the lines around the present one.
	indents []int
	line    int
	// chain is the number of entries, keys and colons that may be nested
	// within one another on the present line.
	chain int
}

func (n *nesting) depth() int {
	return n.flow + len(n.indents) + n.chain
}

func (n *nesting) add(tk *token.Token) {
	if n.flow == 0 && tk.Position.Line != n.line {
		n.startLine(tk.Position)
	}
	switch tk.Type {
	case token.SequenceStartType, token.MappingStartType:
		n.flow++
	case token.SequenceEndType, token.MappingEndType:
		n.flow = max(0, n.flow-1)
	case token.CollectEntryType:
		n.chain = 0
	case token.SequenceEntryType, token.MappingKeyType, token.MappingValueType:
		n.chain++
	}
}

func (n *nesting) startLine(pos *token.Position) {
	n.line = pos.Line
	n.chain = 0
	for len(n.indents) > 0 && n.indents[len(n.indents)-1] >= pos.Column {
		n.indents = n.indents[:len(n.indents)-1]
	}
	n.indents = append(n.indents, pos.Column)
}
