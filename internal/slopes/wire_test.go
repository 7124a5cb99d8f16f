package slopes

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"fmt"
	"math/big"
	"net"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mangostage/mangostage/peer"
	"github.com/mangostage/mangostage/suspect"
	"github.com/mangostage/mangostage/wire"
)

// outputBytes is the size of the results that the methods return.
const outputBytes = 1024

// methods returns handlers that reply like an agent, without running anything,
// and that ignore notifications. A bundle fetch returns as many bytes as the
// requested version says.
func methods() *peer.Mux {
	mux := peer.NewMux()
	peer.HandleCall(mux, wire.MethodStageRun, func(_ context.Context, _ *peer.Conn, call wire.StageCall) (wire.StageResult, error) {
		return stageResult(call.ID), nil
	})
	peer.HandleNotification(mux, wire.MethodStageChunk, func(*peer.Conn, wire.StageChunk) {})
	peer.HandleNotification(mux, wire.MethodSuspects, func(*peer.Conn, []suspect.Count) {})
	peer.HandleNotification(mux, wire.MethodBundleHead, func(*peer.Conn, wire.BundleHead) {})
	peer.HandleCall(mux, wire.MethodBundleFetch, func(_ context.Context, _ *peer.Conn, f wire.BundleFetch) (wire.BundleBody, error) {
		return wire.BundleBody{Signed: make([]byte, f.Head.Version)}, nil
	})
	return mux
}

func stageResult(id wire.CallID) wire.StageResult {
	return wire.StageResult{
		ID: id, Status: wire.StatusDone, Output: text(outputBytes), Queued: time.Millisecond, Ran: 400 * time.Millisecond,
		Tokens: 395, Cost: 400 * time.Millisecond, Report: agentReport(1),
	}
}

// link is one connection whose traffic is counted.
type link struct {
	from testNode
	conn *peer.Conn
}

func newLink(tb testing.TB) link {
	from, to := newNode(tb, peer.Config{}), newNode(tb, peer.Config{})
	return link{from: from, conn: connect(tb, from, to, 1)[0]}
}

// bytes returns the bytes sent and received while send runs.
func (l link) bytes(send func()) (out, in int64) {
	traffic := &l.from.node.Traffic
	out, in = traffic.BytesOut.Load(), traffic.BytesIn.Load()
	send()
	return traffic.BytesOut.Load() - out, traffic.BytesIn.Load() - in
}

func (l link) run(tb testing.TB, call wire.StageCall) {
	var result wire.StageResult
	assert.NilError(tb, l.conn.Call(context.Background(), wire.MethodStageRun, call, &result))
}

// BenchmarkWireCall measures a stage call and its reply over a connection, by the
// size of the input in bytes. The time is that of both ends.
func BenchmarkWireCall(b *testing.B) {
	for _, size := range []int{256, 4096, 65536} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			l := newLink(b)
			call := stageCall(1, size)
			out, in := l.bytes(func() { l.run(b, call) })
			cpu := startCPU()
			for b.Loop() {
				l.run(b, call)
			}
			cpu.report(b, b.N)
			b.ReportMetric(float64(out), "out-B")
			b.ReportMetric(float64(in), "in-B")
		})
	}
}

// BenchmarkWireChunk measures one chunk of a stream, by the size of its text in
// bytes.
func BenchmarkWireChunk(b *testing.B) {
	for _, size := range []int{5, 40, 320} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			l := newLink(b)
			chunk := wire.StageChunk{ID: stageCall(1, 64).ID, Seq: 200, Text: strings.Repeat("x", size)}
			send := func() { assert.NilError(b, l.conn.Notify(wire.MethodStageChunk, chunk)) }
			out, _ := l.bytes(send)
			cpu := startCPU()
			for b.Loop() {
				send()
			}
			// The reply to a later call shows that all notifications have been read.
			l.run(b, stageCall(2, 64))
			cpu.report(b, b.N)
			b.ReportMetric(float64(out), "out-B")
		})
	}
}

// BenchmarkWireControl measures the bytes of an exchange of hellos, of a
// notification of a bundle's head and of the fetch of a bundle.
func BenchmarkWireControl(b *testing.B) {
	b.Run("hello", func(b *testing.B) {
		l := newLink(b)
		out, in := l.bytes(func() {
			var peerHello wire.Hello
			assert.NilError(b, l.conn.Call(context.Background(), wire.MethodHello, hello(), &peerHello))
		})
		reportBytes(b, out, in)
	})
	b.Run("head", func(b *testing.B) {
		l := newLink(b)
		out, in := l.bytes(func() { assert.NilError(b, l.conn.Notify(wire.MethodBundleHead, hello().Bundle)) })
		reportBytes(b, out, in)
	})
	for _, size := range accountSizes {
		b.Run(fmt.Sprintf("fetch/%d", size), func(b *testing.B) {
			l := newLink(b)
			_, signed := signedBundle(b, size)
			fetch := func() {
				var body wire.BundleBody
				request := wire.BundleFetch{Head: wire.BundleHead{Version: uint64(len(signed)), Hash: hash("bundle")}}
				assert.NilError(b, l.conn.Call(context.Background(), wire.MethodBundleFetch, request, &body))
			}
			out, in := l.bytes(fetch)
			cpu := startCPU()
			for b.Loop() {
				fetch()
			}
			cpu.report(b, b.N)
			b.ReportMetric(float64(out), "out-B")
			b.ReportMetric(float64(in), "in-B")
		})
	}
}

// BenchmarkWireSuspects measures the notification in which one entry sends
// another its counts of content that crashed endpoints, by the number of such
// contents. It includes those that the entry has learned from other entries.
func BenchmarkWireSuspects(b *testing.B) {
	for _, size := range []int{1, 8, 64} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			l := newLink(b)
			first, second := suspect.New("entry-001/"+incarnation, 3), suspect.New("entry-002/"+incarnation, 3)
			for i := range size {
				first.Crashed(suspect.Key(hash(accountName(i)), "stage-0"), suspect.Crash{Endpoint: endpointName(i)}, epoch)
			}
			second.Merge(first.Counts(epoch), epoch)
			counts := second.Counts(epoch)
			assert.Equal(b, len(counts), size)
			send := func() { assert.NilError(b, l.conn.Notify(wire.MethodSuspects, counts)) }
			out, _ := l.bytes(send)
			cpu := startCPU()
			for b.Loop() {
				send()
			}
			// The reply to a later call shows that all notifications have been read.
			l.run(b, stageCall(2, 64))
			cpu.report(b, b.N)
			b.ReportMetric(float64(out), "out-B")
		})
	}
}

func reportBytes(b *testing.B, out, in int64) {
	b.ReportMetric(float64(out), "out-B")
	b.ReportMetric(float64(in), "in-B")
	b.ReportMetric(0, "ns/op")
}

// mutualTLS returns a configuration for mutual TLS in which both sides use the
// same self-signed certificate.
func mutualTLS(tb testing.TB) *tls.Config {
	tb.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	assert.NilError(tb, err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "process"},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign | x509.KeyUsageDigitalSignature,
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	assert.NilError(tb, err)
	cert, err := x509.ParseCertificate(der)
	assert.NilError(tb, err)
	pool := x509.NewCertPool()
	pool.AddCert(cert)
	return &tls.Config{
		MinVersion: tls.VersionTLS13, RootCAs: pool, ClientCAs: pool, ClientAuth: tls.RequireAndVerifyClientCert,
		Certificates: []tls.Certificate{{Certificate: [][]byte{der}, PrivateKey: key}},
	}
}
