package accept

// connectionState is the state of a streamConnection. Only streamConnection.transition changes it.
type connectionState int

// The states of a streamConnection.
const (
	stateIdle      connectionState = iota // new, or between requests: no part of the next request was received
	stateReceiving                        // part of a head or of a body that is buffered was received
	stateServing                          // the Streamer has a request
	stateLingering                        // the last response was sent: further input is discarded
	stateClosed
)

func (s connectionState) String() string {
	return [...]string{"idle", "receiving", "serving", "lingering", "closed"}[s]
}

// transition changes the state, unless the connection is closed, which is final. It must be called with mu
// held.
func (c *streamConnection) transition(to connectionState) {
	if c.state != stateClosed {
		c.state = to
	}
}
