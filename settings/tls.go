package settings

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync"
	"time"

	"github.com/joomcode/errorx"

	"github.com/mangostage/mangostage/finding"
)

// certCheckInterval is the minimum time between two checks of the certificate
// file, so that a new pair is in use within seconds and without a restart.
const certCheckInterval = 2 * time.Second

// TLS holds a process's certificate and key, and the certificate authorities of
// its peers. The pair is reloaded when the certificate file changes; if the new
// pair cannot be loaded, the old one stays in use.
type TLS struct {
	certFile, keyFile string
	roots             *x509.CertPool

	// mu guards all fields below.
	mu   sync.Mutex
	cert *tls.Certificate
	// modTime is the certificate file's modification time when cert was loaded.
	modTime   time.Time
	lastCheck time.Time
	stats     TLSStats
}

// TLSStats describes the certificate in use and the attempts to reload it. A new
// pair that cannot be loaded shows here while the old one still works.
type TLSStats struct {
	// NotAfter is when the certificate in use expires.
	NotAfter time.Time `json:"not_after"`
	// Loads counts the pairs loaded, including the first, and LoadFailures the
	// failed attempts to load a changed pair.
	Loads        int64 `json:"loads"`
	LoadFailures int64 `json:"load_failures"`
	// LastFailure is the error of the last failed attempt; empty after a success.
	LastFailure string `json:"last_failure,omitempty"`
}

// Stats reloads the pair if a check is due and the file has changed, and returns
// the statistics.
func (t *TLS) Stats(now time.Time) TLSStats {
	t.currentCert(now)
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.stats
}

// Config returns a configuration for mutual TLS, for use as client and as server.
// It returns nil if t is nil.
func (t *TLS) Config() *tls.Config {
	if t == nil {
		return nil
	}
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		RootCAs:    t.roots,
		ClientCAs:  t.roots,
		ClientAuth: tls.RequireAndVerifyClientCert,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			return t.currentCert(time.Now()), nil
		},
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return t.currentCert(time.Now()), nil
		},
	}
}

// currentCert returns the certificate in use, after it has reloaded the pair if a
// check is due and the certificate file has changed.
func (t *TLS) currentCert(now time.Time) *tls.Certificate {
	t.mu.Lock()
	defer t.mu.Unlock()
	if now.Sub(t.lastCheck) < certCheckInterval {
		return t.cert
	}
	t.lastCheck = now
	info, err := os.Stat(t.certFile)
	if err != nil || info.ModTime().Equal(t.modTime) {
		return t.cert
	}
	cert, err := tls.LoadX509KeyPair(t.certFile, t.keyFile)
	if err != nil {
		t.stats.LoadFailures++
		t.stats.LastFailure = err.Error()
		return t.cert
	}
	t.setCert(&cert)
	t.modTime = info.ModTime()
	return t.cert
}

// setCert puts a pair into use. The caller holds mu, or t is not shared yet.
func (t *TLS) setCert(cert *tls.Certificate) {
	t.cert = cert
	t.stats.Loads++
	t.stats.LastFailure = ""
	if cert.Leaf != nil {
		t.stats.NotAfter = cert.Leaf.NotAfter
	}
}

// newTLS loads a certificate pair and the certificate authorities of the peers.
func newTLS(certFile, keyFile, caFile string) (*TLS, error) {
	// The modification time is read first, so that a pair that changes while it is
	// loaded is loaded again.
	info, err := os.Stat(certFile)
	if err != nil {
		return nil, errorx.Decorate(err, "load certificate")
	}
	cert, err := tls.LoadX509KeyPair(certFile, keyFile)
	if err != nil {
		return nil, errorx.Decorate(err, "load certificate")
	}
	pem, err := os.ReadFile(caFile)
	if err != nil {
		return nil, errorx.Decorate(err, "load authorities")
	}
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(pem) {
		return nil, errorx.IllegalArgument.New("no certificate in %s", caFile)
	}
	t := &TLS{certFile: certFile, keyFile: keyFile, roots: roots, modTime: info.ModTime()}
	t.setCert(&cert)
	return t, nil
}

// loadTLS returns nil if c is insecure, or if it added a finding.
func (c *Common) loadTLS(findings *finding.List) *TLS {
	if c.Insecure {
		if c.TLSCert != "" || c.TLSKey != "" || c.TLSCA != "" {
			findings.Add(flagPlace("--insecure"), "contradicts --tls-cert, --tls-key and --tls-ca")
		}
		return nil
	}
	checkRequired(findings, "--tls-cert", c.TLSCert)
	checkRequired(findings, "--tls-key", c.TLSKey)
	checkRequired(findings, "--tls-ca", c.TLSCA)
	if c.TLSCert == "" || c.TLSKey == "" || c.TLSCA == "" {
		return nil
	}
	loaded, err := newTLS(c.TLSCert, c.TLSKey, c.TLSCA)
	if err != nil {
		findings.Add(flagPlace("--tls-cert"), "%v", err)
	}
	return loaded
}
