package transfer

import (
	"net/http"
	"sync"

	"dunespoke/internal/flow"
)

// Reply is a response that waits for its destination. Its head was received, or only one attempt can still
// receive it.
type Reply struct {
	*http.Response          // nil until the head is received
	Interim        [][]byte // heads of the 1xx responses before it
	Length         int64    // of the body; -1: unknown
	NoBody         bool     // the response has no body, even if its head has a length

	to   chan Dest
	once sync.Once
	cut  func()
}

// Dest is the client's side of a response. Its methods may block. They are not called concurrently.
type Dest interface {
	Head(*Reply) error
	Write(piece []byte) error // may buffer output until Flush
	Flush() error
	End(trailer []byte)   // the response is complete
	Cut()                 // the response is truncated
	Fail()                // there is no response, not even its head
	Room() *flow.Transfer // that the memory of the response is reserved from; may be nil
}

// NewReply returns a reply whose head was not received yet. cut closes the server connection of the response.
func NewReply(cut func()) *Reply { return &Reply{to: make(chan Dest, 1), cut: cut} }

// To sets the destination of the response. Only the first call of To or Drop has an effect.
func (r *Reply) To(d Dest) { r.once.Do(func() { r.to <- d }) }

// Drop discards the response: it has no destination.
func (r *Reply) Drop() { r.once.Do(func() { r.to <- nil }) }

// Wait waits for To or Drop and returns the destination, or nil if the response is dropped.
func (r *Reply) Wait() Dest { return <-r.to }

// Cut closes the server connection of the response.
func (r *Reply) Cut() { r.cut() }
