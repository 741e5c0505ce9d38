package middleware

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"sync/atomic"

	"dunespoke/choice"
	"dunespoke/core"
)

// call is one request on its way through a Limiter.
type call struct {
	run     http.HandlerFunc
	request *http.Request
	body    []byte
	answer  chan core.Answer
	ended   chan struct{}
	begun   atomic.Bool // set by the start of the run, or by a client that left before it
	stream  *streamed   // nil: request and answer are held whole
	context context.Context
	cancel  context.CancelFunc // ends the run of a stream
}

// none returns a channel that is closed already.
func (c *call) none() <-chan struct{} {
	done := make(chan struct{})
	close(done)
	return done
}

// local is the core's upstream of a handler in this program.
type local struct{}

func (local) Drop(core.Server) {}

func (local) Start(a core.Attempt) core.Running {
	c := a.Payload.(*call)
	if !c.begun.CompareAndSwap(false, true) {
		a.End(core.Result{Code: choice.Skipped})
		return running(func() {})
	}
	if c.stream != nil { // what takes long after its head is not late
		c.stream.end = a.End
		go c.stream.run(c.context)
		return running(c.cancel)
	}
	ctx, cancel := context.WithTimeout(c.request.Context(), a.Timeout)
	go c.serve(ctx, a.End)
	return running(cancel)
}

type running context.CancelFunc

// Abort ends the context of the run. What has been started may have its effect.
func (r running) Abort() (mayHaveRun bool) {
	r()
	return true
}

// serve runs the handler. One that panics has failed like one that answers 500: the program lives on.
func (c *call) serve(ctx context.Context, end func(core.Result)) {
	w := &recorder{header: http.Header{}}
	result := core.Result{Code: choice.Error}
	defer func() {
		recover()
		close(c.ended)
		end(result)
	}()
	r := c.request.Clone(ctx)
	r.Body = io.NopCloser(bytes.NewReader(c.body))
	c.run(w, r)
	if w.status != http.StatusInternalServerError {
		result = core.Result{Code: choice.OK, Body: w}
	}
}
