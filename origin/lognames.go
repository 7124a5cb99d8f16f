package origin

// Event names of the log lines, and of the counters.
const (
	// logFound is logged when the origin of a stream that a client takes up was looked for.
	logFound = "stream_origin"
	// countTold counts the streams that other members were told of, countToldMessages the
	// messages, countToldLost the streams told to members that could not be reached.
	countTold         = "told"
	countToldMessages = "told_messages"
	countToldLost     = "told_in_vain"
	// countAsked counts the calls to other members for streams, countAskedVouch those for the
	// processes of endpoints.
	countAsked      = "asked"
	countAskedVouch = "asked_vouch"
)
