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
		return t.cert
	}
	t.cert = &cert
	t.modTime = info.ModTime()
	return t.cert
}

func newTLS(certFile, keyFile, caFile string) (*TLS, error) {
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
	return &TLS{certFile: certFile, keyFile: keyFile, roots: roots, cert: &cert}, nil
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
