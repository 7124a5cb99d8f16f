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

// certCheckInterval is how often the certificate files are looked at, so that
// a new pair is in use within seconds and without a restart.
const certCheckInterval = 2 * time.Second

// TLS holds a process's certificate and the authorities of its peers. The
// files are read again when they change; a broken new pair keeps the old one.
type TLS struct {
	certFile, keyFile string
	roots             *x509.CertPool

	mu      sync.Mutex
	cert    *tls.Certificate
	modTime time.Time
	checked time.Time
	stats   TLSStats
}

// TLSStats tell whether the certificate in use will do. A new pair that cannot
// be used is noticed here, while the old one still works.
type TLSStats struct {
	// NotAfter is when the certificate in use expires.
	NotAfter time.Time `json:"not_after"`
	// Loads counts pairs taken into use, the first included, and LoadFailures
	// counts attempts to read a changed pair that failed.
	Loads        int64 `json:"loads"`
	LoadFailures int64 `json:"load_failures"`
	// LastFailure is why the last such attempt failed; empty after a success.
	LastFailure string `json:"last_failure,omitempty"`
}

// Stats looks at the files, if that is due, and returns the state.
func (t *TLS) Stats(now time.Time) TLSStats {
	t.current(now)
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.stats
}

// Config returns a configuration for both ends of a connection in which each
// proves who it is.
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
			return t.current(time.Now()), nil
		},
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return t.current(time.Now()), nil
		},
	}
}

func (t *TLS) current(now time.Time) *tls.Certificate {
	t.mu.Lock()
	defer t.mu.Unlock()
	if now.Sub(t.checked) < certCheckInterval {
		return t.cert
	}
	t.checked = now
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
	t.use(&cert)
	t.modTime = info.ModTime()
	return t.cert
}

// use takes a pair into use. The caller holds mu, or is alone with t.
func (t *TLS) use(cert *tls.Certificate) {
	t.cert = cert
	t.stats.Loads++
	t.stats.LastFailure = ""
	if cert.Leaf != nil {
		t.stats.NotAfter = cert.Leaf.NotAfter
	}
}

func newTLS(certFile, keyFile, caFile string) (*TLS, error) {
	// The time is taken first: a pair that changes while it is read is read again.
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
	t.use(&cert)
	return t, nil
}

func (c *Common) loadTLS(findings *finding.List) *TLS {
	if c.Insecure {
		if c.TLSCert != "" || c.TLSKey != "" || c.TLSCA != "" {
			findings.Add(flag("--insecure"), "contradicts --tls-cert, --tls-key and --tls-ca")
		}
		return nil
	}
	required(findings, "--tls-cert", c.TLSCert)
	required(findings, "--tls-key", c.TLSKey)
	required(findings, "--tls-ca", c.TLSCA)
	if c.TLSCert == "" || c.TLSKey == "" || c.TLSCA == "" {
		return nil
	}
	loaded, err := newTLS(c.TLSCert, c.TLSKey, c.TLSCA)
	if err != nil {
		findings.Add(flag("--tls-cert"), "%v", err)
	}
	return loaded
}
