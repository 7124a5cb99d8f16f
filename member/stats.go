package member

import "sync/atomic"

// Stats has the counters of a Service.
type Stats struct {
	// ListCalls, ReadCalls and WatchCalls count the calls to the platform;
	// PlatformFailures counts those of all kinds that failed.
	ListCalls, ReadCalls, WatchCalls, PlatformFailures atomic.Int64
	// PlatformBytes is the total size in bytes of the values read from the platform.
	PlatformBytes atomic.Int64
	// Fetches counts fetches of bundles from peers, and FetchFailures those that
	// failed. FetchesServed counts bundles served to peers, and FetchesRefused
	// fetches refused because maxServedFetches were being served.
	Fetches, FetchFailures, FetchesServed, FetchesRefused atomic.Int64
	// BundleBytesIn and BundleBytesOut are the total sizes in bytes of the bundles
	// fetched and served.
	BundleBytesIn, BundleBytesOut atomic.Int64
	// HeadsSent and HeadsReceived count notifications of a bundle's head.
	HeadsSent, HeadsReceived atomic.Int64
	// Adopted and Refused count the offered bundles that were adopted and refused.
	Adopted, Refused atomic.Int64
	// Dials and DialFailures count dials; Wakes counts detected pauses of the process.
	Dials, DialFailures, Wakes atomic.Int64
}

// StatsSnapshot has the values of Stats and of the counters of peer connections at
// one time. It is published through expvar.
type StatsSnapshot struct {
	ListCalls        int64 `json:"list_calls"`
	ReadCalls        int64 `json:"read_calls"`
	WatchCalls       int64 `json:"watch_calls"`
	PlatformFailures int64 `json:"platform_failures"`
	PlatformBytes    int64 `json:"platform_bytes"`
	Fetches          int64 `json:"fetches"`
	FetchFailures    int64 `json:"fetch_failures"`
	FetchesServed    int64 `json:"fetches_served"`
	FetchesRefused   int64 `json:"fetches_refused"`
	BundleBytesIn    int64 `json:"bundle_bytes_in"`
	BundleBytesOut   int64 `json:"bundle_bytes_out"`
	HeadsSent        int64 `json:"heads_sent"`
	HeadsReceived    int64 `json:"heads_received"`
	Adopted          int64 `json:"adopted"`
	Refused          int64 `json:"refused"`
	Dials            int64 `json:"dials"`
	DialFailures     int64 `json:"dial_failures"`
	// DialLimit is the current limit of concurrent dials.
	DialLimit       int   `json:"dial_limit"`
	Wakes           int64 `json:"wakes"`
	PeerBytesIn     int64 `json:"peer_bytes_in"`
	PeerBytesOut    int64 `json:"peer_bytes_out"`
	PeerMessagesIn  int64 `json:"peer_messages_in"`
	PeerMessagesOut int64 `json:"peer_messages_out"`
	PeerRejected    int64 `json:"peer_rejected"`
	// PeerHandshakesRefused counts incoming connections whose TLS handshake failed,
	// for example for lack of a valid certificate.
	PeerHandshakesRefused int64 `json:"peer_handshakes_refused"`
}

// Stats returns the counters, including those of the peer connections.
func (s *Service) Stats() StatsSnapshot {
	st, traffic := &s.stats, &s.node.Traffic
	return StatsSnapshot{
		ListCalls:        st.ListCalls.Load(),
		DialLimit:        s.dials.currentLimit(),
		ReadCalls:        st.ReadCalls.Load(),
		WatchCalls:       st.WatchCalls.Load(),
		PlatformFailures: st.PlatformFailures.Load(),
		PlatformBytes:    st.PlatformBytes.Load(),
		Fetches:          st.Fetches.Load(),
		FetchFailures:    st.FetchFailures.Load(),
		FetchesServed:    st.FetchesServed.Load(),
		FetchesRefused:   st.FetchesRefused.Load(),
		BundleBytesIn:    st.BundleBytesIn.Load(),
		BundleBytesOut:   st.BundleBytesOut.Load(),
		HeadsSent:        st.HeadsSent.Load(),
		HeadsReceived:    st.HeadsReceived.Load(),
		Adopted:          st.Adopted.Load(),
		Refused:          st.Refused.Load(),
		Dials:            st.Dials.Load(),
		DialFailures:     st.DialFailures.Load(),
		Wakes:            st.Wakes.Load(),
		PeerBytesIn:      traffic.BytesIn.Load(),
		PeerBytesOut:     traffic.BytesOut.Load(),
		PeerMessagesIn:   traffic.MessagesIn.Load(),
		PeerMessagesOut:  traffic.MessagesOut.Load(),
		PeerRejected:     traffic.Rejected.Load(),

		PeerHandshakesRefused: traffic.HandshakesRefused.Load(),
	}
}
