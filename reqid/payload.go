package reqid

import (
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/mangostage/mangostage/wire"
)

// maxPairs bounds the number of bindings in a payload.
const maxPairs = 16

const (
	kindMinted = 1
	kindHeld   = 2
)

// payload is the CBOR form of Fields. Times are in milliseconds since the Unix
// epoch.
type payload struct {
	Entry    string             `cbor:"1,keyasint"`
	Issued   int64              `cbor:"2,keyasint"`
	Random   []byte             `cbor:"3,keyasint"`
	Account  string             `cbor:"4,keyasint"`
	Pipeline string             `cbor:"5,keyasint"`
	Bindings map[string]binding `cbor:"6,keyasint,omitempty"`
	Expiry   int64              `cbor:"7,keyasint"`
	Kind     int                `cbor:"8,keyasint"`
}

// binding is the CBOR form of wire.Binding.
type binding struct {
	Agent       string `cbor:"1,keyasint"`
	Incarnation string `cbor:"2,keyasint"`
}

var (
	encMode = mustEncMode()
	decMode = mustDecMode()
)

// mustEncMode panics only if the library rejects an option, which would be a
// programming error.
func mustEncMode() cbor.EncMode {
	mode, err := cbor.CanonicalEncOptions().EncMode()
	if err != nil {
		panic(err)
	}
	return mode
}

// mustDecMode panics only if the library rejects an option, which would be a
// programming error.
func mustDecMode() cbor.DecMode {
	mode, err := cbor.DecOptions{
		DupMapKey:         cbor.DupMapKeyEnforcedAPF,
		IndefLength:       cbor.IndefLengthForbidden,
		TagsMd:            cbor.TagsForbidden,
		MaxMapPairs:       maxPairs,
		MaxArrayElements:  maxPairs,
		MaxNestedLevels:   4,
		ExtraReturnErrors: cbor.ExtraDecErrorUnknownField,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}

// encode returns the CBOR payload of f, or ErrMalformed if f has a kind that a
// request ID cannot have.
func encode(f Fields) ([]byte, error) {
	p := payload{
		Entry:    f.Entry,
		Issued:   f.Issued.UnixMilli(),
		Random:   f.Random[:],
		Account:  f.Account,
		Pipeline: f.Pipeline,
		Expiry:   f.Expiry.UnixMilli(),
	}
	switch f.Kind {
	case wire.IdentityMinted:
		p.Kind = kindMinted
	case wire.IdentityHeld:
		p.Kind = kindHeld
	default:
		return nil, ErrMalformed.New("identity kind %q is not valid in a request ID", f.Kind)
	}
	if len(f.Bindings) > 0 {
		p.Bindings = make(map[string]binding, len(f.Bindings))
	}
	for stage, b := range f.Bindings {
		p.Bindings[stage] = binding{Agent: b.Agent, Incarnation: b.Incarnation}
	}
	return encMode.Marshal(p)
}

// decode parses a CBOR payload; its error is of type ErrMalformed.
func decode(raw []byte) (Fields, error) {
	var p payload
	if err := decMode.Unmarshal(raw, &p); err != nil {
		return Fields{}, ErrMalformed.New("cannot decode the payload: %v", err)
	}
	f := Fields{
		Entry:    p.Entry,
		Issued:   time.UnixMilli(p.Issued),
		Account:  p.Account,
		Pipeline: p.Pipeline,
		Expiry:   time.UnixMilli(p.Expiry),
	}
	if copy(f.Random[:], p.Random) != randomLen || len(p.Random) != randomLen {
		return Fields{}, ErrMalformed.New("the payload does not have %d random bytes", randomLen)
	}
	switch p.Kind {
	case kindMinted:
		f.Kind = wire.IdentityMinted
	case kindHeld:
		f.Kind = wire.IdentityHeld
	default:
		return Fields{}, ErrMalformed.New("the payload has unknown kind %d", p.Kind)
	}
	if len(p.Bindings) > 0 {
		f.Bindings = make(map[string]wire.Binding, len(p.Bindings))
	}
	for stage, b := range p.Bindings {
		f.Bindings[stage] = wire.Binding{Agent: b.Agent, Incarnation: b.Incarnation}
	}
	return f, nil
}
