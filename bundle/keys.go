package bundle

import (
	"crypto/ed25519"
	"crypto/rand"
	"crypto/sha256"
	"crypto/x509"
	"encoding/hex"
	"encoding/pem"
)

// PEM block types of the keys.
const (
	privateBlock = "PRIVATE KEY"
	publicBlock  = "PUBLIC KEY"
)

// keyIDBytes is the number of bytes of a key's SHA-256 hash in its ID.
const keyIDBytes = 8

// GenerateKey generates a key pair from the operating system's random source.
func GenerateKey() (ed25519.PublicKey, ed25519.PrivateKey, error) {
	pub, priv, err := ed25519.GenerateKey(rand.Reader)
	if err != nil {
		return nil, nil, ErrKey.Wrap(err, "generate key")
	}
	return pub, priv, nil
}

// KeyID returns the hex ID by which an envelope refers to a key.
func KeyID(key ed25519.PublicKey) string {
	sum := sha256.Sum256(key)
	return hex.EncodeToString(sum[:keyIDBytes])
}

// MarshalPrivateKey encodes a key as PKCS #8 in PEM.
func MarshalPrivateKey(key ed25519.PrivateKey) ([]byte, error) {
	der, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return nil, ErrKey.Wrap(err, "encode private key")
	}
	return pem.EncodeToMemory(&pem.Block{Type: privateBlock, Bytes: der}), nil
}

// MarshalPublicKey encodes a key as PKIX in PEM.
func MarshalPublicKey(key ed25519.PublicKey) ([]byte, error) {
	der, err := x509.MarshalPKIXPublicKey(key)
	if err != nil {
		return nil, ErrKey.Wrap(err, "encode public key")
	}
	return pem.EncodeToMemory(&pem.Block{Type: publicBlock, Bytes: der}), nil
}

// LoadPrivateKey reads one Ed25519 key as PKCS #8 in PEM, or returns ErrKey.
func LoadPrivateKey(data []byte) (ed25519.PrivateKey, error) {
	block, _ := pem.Decode(data)
	if block == nil || block.Type != privateBlock {
		return nil, ErrKey.New("no %q block in PEM", privateBlock)
	}
	parsed, err := x509.ParsePKCS8PrivateKey(block.Bytes)
	if err != nil {
		return nil, ErrKey.Wrap(err, "parse private key")
	}
	key, ok := parsed.(ed25519.PrivateKey)
	if !ok {
		return nil, ErrKey.New("private key is a %T, not Ed25519", parsed)
	}
	return key, nil
}

// LoadPublicKeys reads one or more Ed25519 keys as PKIX in PEM, or returns
// ErrKey. Several keys allow key rotation: bundles signed by any are accepted.
func LoadPublicKeys(data []byte) ([]ed25519.PublicKey, error) {
	var keys []ed25519.PublicKey
	for {
		var block *pem.Block
		block, data = pem.Decode(data)
		if block == nil {
			break
		}
		key, err := parsePublicKey(block)
		if err != nil {
			return nil, err
		}
		keys = append(keys, key)
	}
	if len(keys) == 0 {
		return nil, ErrKey.New("no %q block in PEM", publicBlock)
	}
	return keys, nil
}

func parsePublicKey(block *pem.Block) (ed25519.PublicKey, error) {
	if block.Type != publicBlock {
		return nil, ErrKey.New("PEM block is a %q, want a %q", block.Type, publicBlock)
	}
	parsed, err := x509.ParsePKIXPublicKey(block.Bytes)
	if err != nil {
		return nil, ErrKey.Wrap(err, "parse public key")
	}
	key, ok := parsed.(ed25519.PublicKey)
	if !ok {
		return nil, ErrKey.New("public key is a %T, not Ed25519", parsed)
	}
	return key, nil
}
