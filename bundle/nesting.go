package bundle

import (
	"github.com/goccy/go-yaml/lexer"
	"github.com/goccy/go-yaml/token"

	"github.com/mangostage/mangostage/finding"
)

// maxNesting is the allowed depth, far above a bundle's own depth of five.
const maxNesting = 64

// checkNesting checks the file's tokens before they are parsed and reports
// whether parsing is safe.
//
// It guards against a file of, say, a megabyte of opening brackets: the YAML
// parser recurses for each, takes minutes and can end the process by stack
// exhaustion, which recover cannot catch. Each level of its recursion starts
// with a bracket, a deeper indentation, an entry, key or colon on one line, or
// an anchor or tag. Anchors and tags are refused and the others are bounded
// here, which bounds the recursion.
func (d *decoder) checkNesting(data []byte) bool {
	n := nesting{}
	safe := true
	for _, tk := range lexer.Tokenize(string(data)) {
		switch tk.Type {
		case token.AnchorType, token.AliasType, token.TagType, token.MergeKeyType:
			d.findings.Add(d.tokenPlace(tk), "anchors, aliases, merge keys and tags are not allowed")
			safe = false
			continue
		}
		n.addToken(tk)
		if n.depth() > maxNesting {
			d.findings.Add(d.tokenPlace(tk), "nested more than %d levels deep", maxNesting)
			return false
		}
	}
	return safe
}

// tokenPlace returns the place of a token in the file.
func (d *decoder) tokenPlace(tk *token.Token) finding.Place {
	return finding.Place{File: d.file, Line: tk.Position.Line, Column: tk.Position.Column}
}

// nesting computes an upper bound of the parser's recursion depth at a token.
type nesting struct {
	// openBrackets is the number of open brackets.
	openBrackets int
	// indents are the start columns of the current line and of the less indented
	// lines that enclose it.
	indents []int
	// line is the number of the current line.
	line int
	// lineDepth is the number of entries, keys and colons since the start of the
	// line or the last comma; each may be nested in the one before it.
	lineDepth int
}

func (n *nesting) depth() int {
	return n.openBrackets + len(n.indents) + n.lineDepth
}

func (n *nesting) addToken(tk *token.Token) {
	if n.openBrackets == 0 && tk.Position.Line != n.line {
		n.startLine(tk.Position)
	}
	switch tk.Type {
	case token.SequenceStartType, token.MappingStartType:
		n.openBrackets++
	case token.SequenceEndType, token.MappingEndType:
		n.openBrackets = max(0, n.openBrackets-1)
	case token.CollectEntryType:
		n.lineDepth = 0
	case token.SequenceEntryType, token.MappingKeyType, token.MappingValueType:
		n.lineDepth++
	}
}

func (n *nesting) startLine(pos *token.Position) {
	n.line = pos.Line
	n.lineDepth = 0
	for len(n.indents) > 0 && n.indents[len(n.indents)-1] >= pos.Column {
		n.indents = n.indents[:len(n.indents)-1]
	}
	n.indents = append(n.indents, pos.Column)
}
