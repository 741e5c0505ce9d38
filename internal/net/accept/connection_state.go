package accept

// connectionState is what a streamConnection is in. It changes by streamConnection.transition alone.
type connectionState int

// The states of a streamConnection.
const (
	stateIdle      connectionState = iota // it is new, or was answered, and nothing of a next request has come
	stateReceiving                        // part of a request has come that is to come whole
	stateServing                          // a request is with the Streamer
	stateLingering                        // the last answer is out: what still comes is read and dropped
	stateClosed
)

func (s connectionState) String() string {
	return [...]string{"idle", "receiving", "serving", "lingering", "closed"}[s]
}

// transition is the one place where the state changes. A connection that is closed stays so. The lock is
// held.
func (c *streamConnection) transition(to connectionState) {
	if c.state != stateClosed {
		c.state = to
	}
}
