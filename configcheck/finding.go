package configcheck

import (
	"fmt"
	"strings"
)

// Kind says what a finding means for the requests that the configuration serves.
type Kind string

// The kinds.
const (
	// KindError is an entry that cannot be applied as it is written.
	KindError Kind = "error"
	// KindUnreachable is an entry that no request can ever match.
	KindUnreachable Kind = "unreachable"
	// KindOpened is an entry that lets in everybody where the configuration in force asks for
	// a key.
	KindOpened Kind = "opened"
	// KindContradiction is a limit that another one makes impossible or pointless.
	KindContradiction Kind = "contradiction"
)

// List is a list of entries of a configuration.
type List string

// The lists.
const (
	ListRoutes   List = "routes"
	ListServices List = "services"
	ListAccounts List = "accounts"
	ListLimits   List = "limits"
)

// Field is a field of an entry.
type Field string

// The fields.
const (
	FieldName        Field = "name"
	FieldHost        Field = "host"
	FieldPrefix      Field = "prefix"
	FieldObjective   Field = "objective"
	FieldTimeout     Field = "timeout"
	FieldEventGap    Field = "event_gap"
	FieldPriority    Field = "priority"
	FieldSplit       Field = "split"
	FieldMaxAttempts Field = "max_attempts"
	FieldStages      Field = "stages"
	FieldModel       Field = "model"
	FieldResumable   Field = "resumable"
	FieldKeys        Field = "keys"
	FieldSlots       Field = "slots"
	FieldCacheTokens Field = "cache_tokens"
	FieldColdRate    Field = "cold_rate"
	FieldResultTTL   Field = "result_ttl"
	FieldRoom        Field = "room"
	FieldVersion     Field = "version"
	FieldBodyBytes   Field = "body_bytes"
	FieldHeaderBytes Field = "header_bytes"
	FieldIdleTimeout Field = "idle_timeout"
	FieldKind        Field = "kind"
	FieldPublic      Field = "public"
	FieldBatch       Field = "batch"
	FieldColdStart   Field = "cold_start"

	FieldHeaderTimeout Field = "header_timeout"
)

// Place is where in a configuration a finding is.
type Place struct {
	List List
	// Index is the position in the list, from 0; -1 for the list as a whole.
	Index int
	// Name is the entry's name, if it has one.
	Name  string
	Field Field
}

// at returns the place of a field of the entry at p.
func (p Place) at(f Field) Place {
	p.Field = f
	return p
}

// Names translates lists and fields to the names that they have in the file.
type Names struct {
	List  func(List) string
	Field func(Field) string
}

// Text returns the place with the names of the file, such as
// routes[3] "search" objective.
func (p Place) Text(n Names) string {
	text := n.List(p.List)
	if p.Index >= 0 {
		text += fmt.Sprintf("[%d]", p.Index)
	}
	if p.Name != "" {
		text += fmt.Sprintf(" %q", p.Name)
	}
	if p.Field != "" {
		text += " " + n.Field(p.Field)
	}
	return strings.TrimSpace(text)
}

// Finding is one fault of a configuration.
type Finding struct {
	Kind    Kind
	Place   Place
	Message string
}
