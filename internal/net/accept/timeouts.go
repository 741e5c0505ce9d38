package accept

import (
	"errors"
	"net"
	"time"
)

// Time limits for clients, so that slow, silent and abandoned connections don't use up the resources that
// others need. The platform requires that a client that sends no valid request gets an error or is
// disconnected within 3 s of connecting.
const (
	requestTimeout     = 2500 * time.Millisecond // to send a request; for the first one, from connecting on
	writeTimeout       = 5 * time.Second         // to write a buffered response
	idleTimeout        = 2 * time.Second         // between requests; clients have few connections, too
	slotPollInterval   = 10 * time.Millisecond   // between searches for a connection to evict
	lateReadTimeout    = 2 * time.Millisecond    // to read input received while the process was not scheduled
	silentTimeout      = time.Second             // without a complete request, then the first to be evicted
	refusalLeadTime    = 150 * time.Millisecond  // before the exit, when incomplete requests are refused
	newConnectionGrace = 100 * time.Millisecond  // for the first request, before eviction or a close by a drain
)

// minBytesPerSecond is the minimum rate of a request. A client may send at 64 KiB/s, and its head alone may
// take 2 s. Each received byte extends the time limit at half the client's rate, so that a slowloris client
// gains little, and a request of the largest size gains at most 2.5 s.
const minBytesPerSecond = 32 << 10

// allowance returns the time by which received bytes extend the time limit of a request.
func allowance(received int) time.Duration {
	return time.Duration(received) * time.Second / minBytesPerSecond
}

// setReadDeadline sets the read deadline of a connection; the zero time means none. An error is ignored: it
// means that the connection has ended, and the next read returns it too.
func setReadDeadline(conn net.Conn, at time.Time) { _ = conn.SetReadDeadline(at) }

// setWriteDeadline does the same for the write deadline.
func setWriteDeadline(conn net.Conn, at time.Time) { _ = conn.SetWriteDeadline(at) }

// isTimeout reports whether a read or write failed because its deadline expired.
func isTimeout(err error) bool {
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout()
}
