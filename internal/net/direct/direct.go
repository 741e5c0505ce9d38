package direct

import "errors"

// ErrUnwanted tells that something has come that is not wanted.
var ErrUnwanted = errors.New("what has come is not wanted")
