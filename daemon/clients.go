package daemon

import (
	"cmp"
	"runtime/debug"
	"time"

	"github.com/mangostage/mangostage/catalog"
	"github.com/mangostage/mangostage/intake"
	"github.com/mangostage/mangostage/internal/clientconn"
	"github.com/mangostage/mangostage/platform"
)

const (
	// defaultMemory, in bytes, and defaultDescriptors apply to a gateway whose settings file
	// names none.
	defaultMemory      = 144 << 20
	defaultDescriptors = 3075
	// fileDescriptors is the part of the descriptors that is kept for files; sockets and pipes
	// share the rest.
	fileDescriptors = 200
	// unauthenticatedShare is the part of the sockets for connections to the address for peers
	// whose other side has not said who it is, minUnauthenticated the fewest: members that
	// start at once connect at the same time.
	unauthenticatedShare = 0.1
	minUnauthenticated   = 16
	// heapShare is the part of the memory that the heap and the stacks may take before the
	// garbage collector works harder. The rest is for what sockets hold unread and for the
	// program itself.
	heapShare = 0.7
	// defaultHeadTimeout and defaultIdleTimeout apply where the configuration names none.
	// The latter is longer than any idle limit of the clients, so that the gateway never
	// closes a connection while a request is on its way.
	defaultHeadTimeout = 10 * time.Second
	defaultIdleTimeout = 90 * time.Second
)

// clientRoom returns what the clients of a gateway may hold of its process.
func clientRoom(p platform.Settings) intake.Limits {
	return intake.ForProcess(cmp.Or(p.MemoryBytes, defaultMemory), sockets(p))
}

// sockets returns how many sockets and pipes a process may have.
func sockets(p platform.Settings) int {
	return max(0, cmp.Or(p.MaxDescriptors, defaultDescriptors)-fileDescriptors)
}

// maxEndpointConns returns how many connections to endpoints a process keeps open while some of
// them are idle: as many as its clients may have.
func maxEndpointConns(p platform.Settings) int { return int(intake.SocketShare * float64(sockets(p))) }

// maxUnauthenticated returns how many connections to the address for peers a process takes whose
// other side has not said who it is.
func maxUnauthenticated(p platform.Settings) int {
	return max(minUnauthenticated, int(unauthenticatedShare*float64(sockets(p))))
}

// clientLimits returns the bounds of single requests that a configuration sets.
func clientLimits(l catalog.Limits) clientconn.Limits {
	return clientconn.Limits{
		HeadBytes:   cmp.Or(max(0, l.HeaderBytes), defaultClientLimits.HeadBytes),
		HeadTimeout: cmp.Or(max(0, l.HeaderTimeout), defaultHeadTimeout),
		IdleTimeout: cmp.Or(max(0, l.IdleTimeout), defaultIdleTimeout),
	}
}

// boundHeap makes the garbage collector keep the heap within the memory of the process, in bytes, if
// the settings name one.
func boundHeap(memory int64) {
	if memory > 0 {
		debug.SetMemoryLimit(int64(heapShare * float64(memory)))
	}
}
