package transfer

import (
	"net/http"
	"sync"

	"dunespoke/internal/flow"
)

// Reply is an answer that waits for where it is to go: its head has come, or there is one attempt left that
// can bring it.
type Reply struct {
	*http.Response          // nil before the head has come
	Interim        [][]byte // heads of 1xx answers that went before it
	Length         int64    // of the body; -1: not known before its end
	NoBody         bool     // it has no body, whatever its head says

	to   chan Dest
	once sync.Once
	cut  func()
}

// Dest is the client's side of an answer. Its methods block, and are called one after the other.
type Dest interface {
	Head(*Reply) error
	Write(piece []byte) error // what is not written when it returns goes out by Flush
	Flush() error
	End(trailer []byte) // the answer is whole
	Cut()               // it never will be
	Fail()              // not even its head will come
	Room() *flow.Transfer
}

// NewReply returns a reply whose head has not come. cut closes the connection that it comes by.
func NewReply(cut func()) *Reply { return &Reply{to: make(chan Dest, 1), cut: cut} }

// To says where the answer is to go. The first call of To or Drop counts.
func (r *Reply) To(d Dest) { r.once.Do(func() { r.to <- d }) }

// Drop says that nobody wants the answer.
func (r *Reply) Drop() { r.once.Do(func() { r.to <- nil }) }

// Wait returns where the answer is to go; nil: nobody wants it.
func (r *Reply) Wait() Dest { return <-r.to }

// Cut closes the connection that the answer comes by.
func (r *Reply) Cut() { r.cut() }
