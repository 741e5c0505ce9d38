package direct

import "errors"

// ErrUnwanted is returned by Conn.ReadWanted if data, the end of the stream or an error arrives while the
// caller wants none. It is left unread.
var ErrUnwanted = errors.New("received unwanted data or the end of the stream")
