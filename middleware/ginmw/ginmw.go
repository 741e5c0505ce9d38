// Package ginmw makes a middleware.Limiter and a middleware.BearerGuard gin middlewares. It is a thin
// adapter.
package ginmw

import (
	"net/http"

	"github.com/gin-gonic/gin"

	"dunespoke/middleware"
)

// New returns a gin middleware: the handlers behind it are the limiter's backend.
func New(l *middleware.Limiter) gin.HandlerFunc {
	return func(c *gin.Context) {
		own := c.Writer
		done := l.Do(own, c.Request, func(w http.ResponseWriter, r *http.Request) {
			kept := &writer{ResponseWriter: own, to: w}
			c.Writer, c.Request = kept, r
			c.Next()
			kept.WriteHeaderNow()
		})
		<-done // gin reuses its context, so nothing may use it any more
		c.Writer = own
		c.Abort() // all that was to run has run, or must not
	}
}

// Bearer returns a gin middleware that lets requests through by their access tokens. Handlers behind it find
// what is known of the token by middleware.Claims(c.Request.Context()).
func Bearer(g *middleware.BearerGuard) gin.HandlerFunc {
	return func(c *gin.Context) {
		r, ok := g.Check(c.Writer, c.Request)
		if !ok {
			c.Abort()
			return
		}
		c.Request = r
		c.Next()
	}
}

// writer is gin's view of the answer that the limiter keeps back.
type writer struct {
	gin.ResponseWriter // for what is not overridden here
	to                 http.ResponseWriter
	status, size       int // a status may be set anew until the first byte is written, as gin has it
}

func (w *writer) Header() http.Header { return w.to.Header() }
func (w *writer) Status() int         { return max(w.status, http.StatusOK) }
func (w *writer) Size() int           { return w.size }
func (w *writer) Written() bool       { return w.size > 0 }

// Flush is of effect where the request streams.
func (w *writer) Flush() {
	if f, ok := w.to.(http.Flusher); ok {
		w.WriteHeaderNow()
		f.Flush()
	}
}

func (w *writer) WriteHeader(status int) {
	if status > 0 {
		w.status = status
	}
}

func (w *writer) WriteHeaderNow() { w.to.WriteHeader(w.Status()) }

func (w *writer) Write(p []byte) (int, error) {
	w.WriteHeaderNow()
	n, err := w.to.Write(p)
	w.size += n
	return n, err
}

func (w *writer) WriteString(s string) (int, error) { return w.Write([]byte(s)) }
