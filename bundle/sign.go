package bundle

import (
	"bytes"
	"crypto/ed25519"
	"crypto/sha256"
	"encoding/base64"
	"encoding/hex"
	"encoding/json"
	"errors"
	"io"

	"github.com/joomcode/errorx"

	"github.com/mangostage/mangostage/wire"
)

var (
	errs = errorx.NewNamespace("bundle")
	// ErrOversized is returned for a value over MaxBytes.
	ErrOversized = errs.NewType("oversized")
	// ErrTruncated is returned for a value that ends early, such as one that was
	// read while it was being written.
	ErrTruncated = errs.NewType("truncated")
	// ErrMalformed is returned for a value that is not a signed bundle.
	ErrMalformed = errs.NewType("malformed")
	// ErrFormat is returned for a format version that this build does not know.
	ErrFormat = errs.NewType("unknown_format")
	// ErrUnknownKey is returned when none of the accepted keys signed the value.
	ErrUnknownKey = errs.NewType("unknown_key")
	// ErrSignature is returned when the signature does not match the content.
	ErrSignature = errs.NewType("bad_signature")
	// ErrContent is returned for a correctly signed bundle that fails Check; it
	// wraps a finding.List.
	ErrContent = errs.NewType("bad_content")
	// ErrKey is returned for a key that cannot be parsed, encoded or generated.
	ErrKey = errs.NewType("key")
)

// formatVersion is the version of the signed envelope.
const formatVersion = 1

// signatureDomain is the prefix of every signed message. It keeps a signature
// made for another purpose, or for another version of the envelope, from being
// valid for a bundle.
const signatureDomain = "mangostage bundle envelope 1\x00"

// payloadFileName is the file name shown in findings on a signed bundle's content.
const payloadFileName = "bundle"

// envelope is the signed value as published in the configuration service, in JSON.
type envelope struct {
	Format    int    `json:"format"`
	KeyID     string `json:"key_id"`
	Payload   []byte `json:"payload"`
	Signature []byte `json:"signature"`
}

// Verified is a bundle whose signature and content have been verified. It is immutable.
type Verified struct {
	Bundle *Bundle
	// Head identifies the bundle; its hash is the hex SHA-256 of the YAML.
	Head wire.BundleHead
	// Signed is the value as published, to be passed on to peers.
	Signed []byte
}

// Sign returns the value to publish: the YAML with a signature by priv. It
// does not check the YAML; every process that is offered the value does. The
// error is ErrKey or ErrOversized.
func Sign(priv ed25519.PrivateKey, yaml []byte) ([]byte, error) {
	if len(priv) != ed25519.PrivateKeySize {
		return nil, ErrKey.New("private key has %d bytes, want %d", len(priv), ed25519.PrivateKeySize)
	}
	signed, err := json.Marshal(envelope{
		Format:    formatVersion,
		KeyID:     KeyID(priv.Public().(ed25519.PublicKey)),
		Payload:   yaml,
		Signature: ed25519.Sign(priv, signedMessage(yaml)),
	})
	if err != nil {
		return nil, ErrMalformed.Wrap(err, "encode envelope")
	}
	if len(signed) > MaxBytes {
		return nil, ErrOversized.New("signed bundle has %d bytes; at most %d are allowed", len(signed), MaxBytes)
	}
	return signed, nil
}

// Verify checks a published value: its envelope, its signature by one of keys,
// and its content. The type of the error tells which check failed.
func Verify(keys []ed25519.PublicKey, signed []byte) (*Verified, error) {
	e, err := parseEnvelope(signed)
	if err != nil {
		return nil, err
	}
	if err := e.verify(keys); err != nil {
		return nil, err
	}
	b, err := Check(payloadFileName, e.Payload)
	if err != nil {
		return nil, ErrContent.Wrap(err, "signed bundle fails its check")
	}
	sum := sha256.Sum256(e.Payload)
	return &Verified{
		Bundle: b,
		Head:   wire.BundleHead{Version: b.Version, Hash: hex.EncodeToString(sum[:])},
		Signed: bytes.Clone(signed),
	}, nil
}

// parseEnvelope decodes an envelope without verifying its signature.
func parseEnvelope(signed []byte) (*envelope, error) {
	if len(signed) > MaxBytes {
		return nil, ErrOversized.New("value has %d bytes; at most %d are allowed", len(signed), MaxBytes)
	}
	if len(bytes.TrimSpace(signed)) == 0 {
		return nil, ErrTruncated.New("value is empty")
	}
	decoder := json.NewDecoder(bytes.NewReader(signed))
	decoder.DisallowUnknownFields()
	var e envelope
	if err := decoder.Decode(&e); err != nil {
		if errors.Is(err, io.ErrUnexpectedEOF) {
			return nil, ErrTruncated.New("value ends after %d bytes, in the middle of the envelope", len(signed))
		}
		return nil, ErrMalformed.Wrap(err, "value is no signed bundle")
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return nil, ErrMalformed.New("value goes on after the envelope")
	}
	if e.Format != formatVersion {
		return nil, ErrFormat.New("envelope has format %d; this build knows %d", e.Format, formatVersion)
	}
	return &e, nil
}

// verify checks the signature. The key ID only selects the key; it proves nothing.
func (e *envelope) verify(keys []ed25519.PublicKey) error {
	for _, key := range keys {
		if KeyID(key) != e.KeyID {
			continue
		}
		if !ed25519.Verify(key, signedMessage(e.Payload), e.Signature) {
			return ErrSignature.New("signature by key %s does not match the content", e.KeyID)
		}
		return nil
	}
	return ErrUnknownKey.New("signed by key %q, which is not among the %d accepted", e.KeyID, len(keys))
}

// signedMessage returns the bytes that a signature covers.
func signedMessage(payload []byte) []byte {
	message := make([]byte, 0, len(signatureDomain)+len(payload))
	message = append(message, signatureDomain...)
	return append(message, payload...)
}

// signedSize returns the length in bytes of the envelope of a payload of that length.
func signedSize(payload int) int {
	empty, err := json.Marshal(envelope{
		Format:    formatVersion,
		KeyID:     KeyID(make(ed25519.PublicKey, ed25519.PublicKeySize)),
		Payload:   []byte{},
		Signature: make([]byte, ed25519.SignatureSize),
	})
	if err != nil {
		panic("bundle: envelope cannot be encoded: " + err.Error())
	}
	return len(empty) + base64.StdEncoding.EncodedLen(payload)
}
