package intake

const (
	// connBytes is about what a connection with an ordinary request takes: its goroutines,
	// buffers and what its sockets hold unread.
	connBytes = 96 << 10
	// connShare is the part of the memory for connections, requestShare that for what
	// requests reserve beyond that. The rest is the process's own.
	connShare    = 0.4
	requestShare = 0.2
	// minConns is the fewest connections, and minRequestBytes the least memory in bytes for
	// requests, that a process of any size takes.
	minConns        = 16
	minRequestBytes = 8 << 20
)

// SocketShare is the part of the sockets of a process for its clients. As many are left for their
// requests to endpoints, and the rest for peers, store and checks.
const SocketShare = 0.45

// Limits are the bounds of a Table.
type Limits struct {
	// Conns is the number of connections.
	Conns int
	// Bytes is the memory in bytes that requests may reserve in all.
	Bytes int64
}

// ForProcess returns the limits of a process with memory, in bytes, and sockets that it may have
// open.
func ForProcess(memory int64, sockets int) Limits {
	byMemory := int(connShare * float64(memory) / connBytes)
	bySockets := int(SocketShare * float64(sockets))
	return Limits{
		Conns: max(minConns, min(byMemory, bySockets)),
		Bytes: max(minRequestBytes, int64(requestShare*float64(memory))),
	}
}
