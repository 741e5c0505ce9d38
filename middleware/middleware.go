// Package middleware holds a program's own HTTP handlers to quotas, by the same core as the ingress. The
// wrapped handler is the core's one backend: it is run when the core sends a request on, and its answer is
// kept back whole until it is the final one. Where a request streams, only the answer's head is.
package middleware

import (
	"bytes"
	"context"
	"errors"
	"io"
	"math"
	"net/http"
	"strconv"
	"time"

	"dunespoke/choice"
	"dunespoke/core"
	"dunespoke/internal/flow"
)

// Options are what New needs.
type Options struct {
	Settings choice.Settings
	Seed     uint64
	Counter  core.Counter      // shared with other gateways; may be nil where Settings.Counter is false
	Log      func(line string) // may be nil
	// Classify says what a request counts as: its class, plan, customer, units and spread. An error is
	// answered 400.
	Classify func(*http.Request) (core.Request, error)
	MostBody int64 // bytes of a request's body that is held whole; 0: 64 KiB
	// Streams says whether a request's body and its answer are passed on as they come, in any length; nil:
	// none are. MostStreams are so at a time; more are answered 503. 0: 1,000.
	Streams     func(*http.Request) bool
	MostStreams int
}

// Limiter admits requests.
type Limiter struct {
	Options
	core     *core.Core
	patience map[string]time.Duration
	streams  *flow.Budget
	start    time.Time
}

// errClass names a class that the settings don't have.
var errClass = errors.New("middleware: the request is of no known class")

// New returns a limiter that works until the context ends.
func New(ctx context.Context, o Options) (*Limiter, error) {
	if o.Classify == nil {
		return nil, errors.New("middleware: Options.Classify is missing")
	}
	o.Settings.MaxAttempts = 1 // there is nobody else to ask
	o.Settings.Cancel = true
	if o.MostBody == 0 {
		o.MostBody = 64 << 10
	}
	c, err := core.New(core.Config{Settings: o.Settings, Seed: o.Seed, Upstream: local{}, Counter: o.Counter,
		Log: o.Log})
	if err != nil {
		return nil, err
	}
	if o.MostStreams <= 0 {
		o.MostStreams = 1000
	}
	l := &Limiter{Options: o, core: c, patience: map[string]time.Duration{}, streams: budget(o.MostStreams),
		start: time.Now()}
	for _, k := range o.Settings.Classes {
		l.patience[k.Name] = k.Deadline
	}
	c.Servers(true, []core.Server{{Name: "handler", Zone: o.Settings.Zone, State: choice.Live}})
	go c.Run(ctx)
	return l, nil
}

// Middleware wraps a handler.
func (l *Limiter) Middleware(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { l.Do(w, r, next.ServeHTTP) })
}

// Do admits one request and runs it, or answers for it. The answer goes out as soon as it is final, whether
// or not the run heeds the end of its context; done is closed when the run has ended, or if there was none.
func (l *Limiter) Do(w http.ResponseWriter, r *http.Request, run http.HandlerFunc) (done <-chan struct{}) {
	c := &call{run: run, ended: make(chan struct{}), answer: make(chan core.Answer, 1)}
	in, err := l.Classify(r)
	patience, known := l.patience[in.Class]
	if err == nil && !known {
		err = errClass
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return c.none()
	}
	c.request = r
	in.Payload, in.Reply = c, func(a core.Answer) { c.answer <- a }
	if l.Streams != nil && l.Streams(r) {
		in.Deadline = l.core.Now() + patience
		c.context, c.cancel = context.WithCancel(r.Context())
		return l.stream(w, r, in, c)
	}
	// Read whole first: a client that is slow to send holds nothing of the core, and a run that outlives its
	// answer reads nothing that is no longer there.
	c.body, err = io.ReadAll(http.MaxBytesReader(w, r.Body, l.MostBody))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		http.Error(w, "body too large", http.StatusRequestEntityTooLarge)
		return c.none()
	case err != nil:
		http.Error(w, "body can't be read", http.StatusBadRequest)
		return c.none()
	}
	in.Deadline = l.core.Now() + patience
	ticket := l.core.Submit(in)
	var a core.Answer
	select {
	case a = <-c.answer:
		write(w, a)
	case <-r.Context().Done(): // the client has gone
		ticket.Leave()
	}
	if c.begun.CompareAndSwap(false, true) { // and now it won't be run any more
		return c.none()
	}
	return c.ended
}

func write(w http.ResponseWriter, a core.Answer) {
	switch a.Kind {
	case core.Served:
		a.Body.(*recorder).copyTo(w)
	case core.Refused:
		seconds := max(1, int(math.Ceil(a.RetryAfter.Seconds())))
		w.Header().Set("Retry-After", strconv.Itoa(seconds))
		http.Error(w, "refused: try again later", http.StatusTooManyRequests)
	default:
		http.Error(w, "no answer", http.StatusBadGateway)
	}
	http.NewResponseController(w).Flush() // of no effect where the server can't
}

// recorder keeps an answer until it is known to be the final one.
type recorder struct {
	header http.Header
	status int
	body   bytes.Buffer
}

func (r *recorder) Header() http.Header { return r.header }

func (r *recorder) WriteHeader(status int) {
	if r.status == 0 && status >= 200 {
		r.status = status
	}
}

func (r *recorder) Write(p []byte) (int, error) {
	r.WriteHeader(http.StatusOK)
	return r.body.Write(p)
}

func (r *recorder) copyTo(w http.ResponseWriter) {
	for name, values := range r.header {
		w.Header()[name] = values
	}
	if w.Header().Get("Content-Length") == "" {
		w.Header().Set("Content-Length", strconv.Itoa(r.body.Len()))
	}
	w.WriteHeader(max(r.status, http.StatusOK))
	w.Write(r.body.Bytes())
}
