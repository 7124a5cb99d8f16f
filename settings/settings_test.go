package settings

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/hex"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mangostage/mangostage/bundle"
	"github.com/mangostage/mangostage/finding"
)

func validArgs(t *testing.T) []string {
	t.Helper()
	public, _, err := bundle.GenerateKey()
	assert.NilError(t, err)
	text, err := bundle.MarshalPublicKey(public)
	assert.NilError(t, err)
	return []string{
		"--vm", "vm-1", "--domain", "winterthur", "--platform", "http://127.0.0.1:1", "--insecure",
		"--bundle-keys=" + string(text), "--fleet-key", hex.EncodeToString(make([]byte, 32)),
	}
}

func TestEntrySettings(t *testing.T) {
	var s Entry
	_, err := Parse("mangostage-entry", &s, validArgs(t))
	assert.NilError(t, err)
	var findings finding.List
	loaded := s.Load(&findings)
	s.Check(&findings)
	assert.NilError(t, findings.Err())
	assert.Equal(t, len(loaded.BundleKeys), 1)
	assert.Equal(t, len(loaded.FleetKeys), 1)
}

// Guards against defaults in the code that differ from those of the flags.
func TestDefaultsOfClientBoundsAreThoseOfTheFlags(t *testing.T) {
	var s Entry
	_, err := Parse("mangostage-entry", &s, nil)
	assert.NilError(t, err)
	assert.Equal(t, s.MaxConns, DefaultMaxConns)
	assert.Equal(t, s.ClientMemoryMB, DefaultClientMemoryMB)
}

// A daemon that is started with several wrong settings must report all of them at
// once, each with its flag, instead of one per restart.
func TestFindingsAreReportedTogether(t *testing.T) {
	var s Agent
	_, err := Parse("mangostage-agent", &s, []string{
		"--peer-listen", "nowhere", "--platform", "ftp://x", "--bundle-keys", "file:/does/not/exist",
		"--fleet-key", "abc", "--log-level", "loud", "--protocol", "smtp", "--decision-log", "some", "--insecure", "--tls-cert", "x",
	})
	assert.NilError(t, err)
	var findings finding.List
	s.Load(&findings)
	s.Check(&findings)
	for _, flag := range []string{
		"--vm:", "--domain:", "--peer-listen:", "--platform:", "--bundle-keys:", "--fleet-key:",
		"--log-level:", "--decision-log:", "--insecure:", "--endpoint:", "--pool:", "--endpoint-url:", "--protocol:",
	} {
		assert.Assert(t, strings.Contains(findings.Error(), flag), "%s is not among\n%s", flag, findings.Error())
	}
}

// writePair writes a self-signed certificate with the serial number and its key.
func writePair(t *testing.T, dir string, serial int64) (certFile, keyFile string) {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	assert.NilError(t, err)
	template := &x509.Certificate{
		SerialNumber:          big.NewInt(serial),
		Subject:               pkix.Name{CommonName: "peer"},
		NotBefore:             time.Now().Add(-time.Hour),
		NotAfter:              time.Now().Add(time.Hour),
		IPAddresses:           []net.IP{net.IPv4(127, 0, 0, 1)},
		IsCA:                  true,
		BasicConstraintsValid: true,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	assert.NilError(t, err)
	keyDER, err := x509.MarshalECPrivateKey(key)
	assert.NilError(t, err)
	certFile, keyFile = filepath.Join(dir, "cert.pem"), filepath.Join(dir, "key.pem")
	assert.NilError(t, os.WriteFile(certFile, pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der}), 0o600))
	assert.NilError(t, os.WriteFile(keyFile, pem.EncodeToMemory(&pem.Block{Type: "EC PRIVATE KEY", Bytes: keyDER}), 0o600))
	return certFile, keyFile
}

// A certificate is renewed while the process runs. Without a reload the process
// would keep the old one and lose its peers when it expires. A new pair must be in
// use after the next check; a broken pair must not replace the one in use.
func TestCertificateIsReloaded(t *testing.T) {
	dir := t.TempDir()
	certFile, keyFile := writePair(t, dir, 1)
	loaded, err := newTLS(certFile, keyFile, certFile)
	assert.NilError(t, err)
	serial := func(now time.Time) int64 {
		leaf, err := x509.ParseCertificate(loaded.currentCert(now).Certificate[0])
		assert.NilError(t, err)
		return leaf.SerialNumber.Int64()
	}
	now := time.Now()
	assert.Equal(t, serial(now), int64(1))
	writePair(t, dir, 2)
	later := now.Add(2 * certCheckInterval)
	assert.NilError(t, os.Chtimes(certFile, later, later))
	assert.Equal(t, serial(later), int64(2))
	assert.NilError(t, os.WriteFile(certFile, []byte("broken"), 0o600))
	latest := later.Add(2 * certCheckInterval)
	assert.NilError(t, os.Chtimes(certFile, latest, latest))
	assert.Equal(t, serial(latest), int64(2))
}

func TestPeersAreAuthenticated(t *testing.T) {
	certFile, keyFile := writePair(t, t.TempDir(), 1)
	ours, err := newTLS(certFile, keyFile, certFile)
	assert.NilError(t, err)
	otherCert, otherKey := writePair(t, t.TempDir(), 2)
	other, err := newTLS(otherCert, otherKey, certFile)
	assert.NilError(t, err)
	listener, err := tls.Listen("tcp", "127.0.0.1:0", ours.Config())
	assert.NilError(t, err)
	defer func() { _ = listener.Close() }()
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			_, _ = conn.Write([]byte("ok"))
			_ = conn.Close()
		}
	}()
	read := func(c *TLS) error {
		conn, err := tls.Dial("tcp", listener.Addr().String(), c.Config())
		if err != nil {
			return err
		}
		defer func() { _ = conn.Close() }()
		_, err = conn.Read(make([]byte, 2))
		return err
	}
	assert.NilError(t, read(ours))
	assert.ErrorContains(t, read(other), "certificate")
}
