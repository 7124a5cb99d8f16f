package fleet

// Event names of the log lines.
const (
	logOwnerChanged  = "owner_changed"
	logPeerConnected = "peer_connected"
	logPeerLost      = "peer_lost"
	logReachChanged  = "reach_changed"
)
