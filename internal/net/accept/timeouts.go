package accept

import (
	"errors"
	"net"
	"time"
)

// Limits on a client's time, so that slow, silent and forgotten ones don't hold what others need. The
// platform owes a client that sends nothing of use an error or a close within 3 s of its connecting.
const (
	requestWait = 2500 * time.Millisecond // to send one request, the first from the time of connecting on
	answerWait  = 5 * time.Second         // to take an answer
	idleWait    = 2 * time.Second         // between requests: clients too have only so many connections
	busyWait    = 10 * time.Millisecond   // between looks for a connection that could make room
	lateWait    = 2 * time.Millisecond    // for what came while this program stood still
	silentWait  = time.Second             // for a request, while connections are short; then it goes
	turnWait    = 150 * time.Millisecond  // before the process ends, for clients that still send to be told
	newWait     = 100 * time.Millisecond  // for a request, while there is nobody else to make room
)

// slowest is the pace of a body that is still waited for: a client may send at 64 kB a second, and the head
// alone may take it 2 s. What a request has sent so far adds to its time at half that pace, so that a loris
// gains little and a request of the largest size at most 2.5 s.
const slowest = 32 << 10

func allowance(fed int) time.Duration { return time.Duration(fed) * time.Second / slowest }

// setReadDeadline has reads of a connection end by a time; zero: never. An error tells that the
// connection has ended, which the next read tells, too.
func setReadDeadline(conn net.Conn, at time.Time) { _ = conn.SetReadDeadline(at) }

// setWriteDeadline does the same for writes.
func setWriteDeadline(conn net.Conn, at time.Time) { _ = conn.SetWriteDeadline(at) }

// isTimeout reports whether a read or write has ended by its deadline.
func isTimeout(err error) bool {
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout()
}
