package rawhttp

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
)

// Server is a stand-in of a server on loopback.
type Server struct {
	// Addr is the server's address, host:port.
	Addr string
	// Requests counts the requests whose head has come.
	Requests atomic.Int64
	// Carried is how many requests have come over the connection that carried most.
	Carried atomic.Int64

	listener net.Listener
	serve    func(conn *net.TCPConn, req *http.Request)
	open     sync.Map
	running  sync.WaitGroup
}

// Start starts a server that calls serve for each request whose head has come, and closes the
// connection if serve has left a part of the request's body unread. It ends with the test.
func Start(t testing.TB, serve func(conn *net.TCPConn, req *http.Request)) *Server {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &Server{Addr: listener.Addr().String(), listener: listener, serve: serve}
	s.running.Go(s.accept)
	t.Cleanup(s.close)
	return s
}

// StartCase starts a server that reads each request and answers it in the way of the case. An answer
// that ends with its connection is followed by the end of the server's side.
func StartCase(t testing.TB, c Case, answer func(req *http.Request) Answer) *Server {
	t.Helper()
	return Start(t, func(conn *net.TCPConn, req *http.Request) {
		if _, err := io.Copy(io.Discard, req.Body); err == nil {
			c.Write(conn, answer(req))
		}
	})
}

func (s *Server) accept() {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.open.Store(conn, nil)
		s.running.Go(func() {
			defer func() {
				_ = conn.Close()
				s.open.Delete(conn)
			}()
			s.serveConn(conn.(*net.TCPConn))
		})
	}
}

func (s *Server) serveConn(conn *net.TCPConn) {
	reader := bufio.NewReader(conn)
	for carried := int64(1); ; carried++ {
		req, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		s.Requests.Add(1)
		s.noteCarried(carried)
		s.serve(conn, req)
		if n, err := req.Body.Read(make([]byte, 1)); n > 0 || err != io.EOF {
			return
		}
	}
}

// noteCarried notes that a connection has carried n requests.
func (s *Server) noteCarried(n int64) {
	for most := s.Carried.Load(); n > most && !s.Carried.CompareAndSwap(most, n); most = s.Carried.Load() {
	}
}

func (s *Server) close() {
	_ = s.listener.Close()
	s.open.Range(func(conn, _ any) bool {
		_ = conn.(net.Conn).Close()
		return true
	})
	s.running.Wait()
}
