// Package origin plays an app server that streams: bodies go up and down at rates, and break by script. Every
// body is of one pattern, so that whoever reads one knows whether it is the right one.
package origin

import (
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"dunespoke/internal/lab/faults"
)

// Pattern fills p with the bytes of a body from an offset on.
func Pattern(p []byte, offset int64) {
	for i := range p {
		p[i] = byte((offset + int64(i)) % 251)
	}
}

// Wrong reports whether bytes are not those of a body from an offset on.
func Wrong(p []byte, offset int64) bool {
	for i := range p {
		if p[i] != byte((offset+int64(i))%251) {
			return true
		}
	}
	return false
}

// Options set up an origin.
type Options struct {
	Script faults.Script
	Work   time.Duration // that a small request takes
}

// New returns the server. It answers
//
//	GET /down?bytes=N&rate=R&form=chunked    a body of N bytes, at R bytes a second (0: as fast as taken)
//	PUT /up?rate=R&early=N                   takes a body at R bytes a second, or answers 413 after N of it
//	GET /small?bytes=N                       a small answer after the time that work takes
func New(o Options) http.Handler {
	s := &server{Options: o, start: time.Now()}
	mux := http.NewServeMux()
	mux.HandleFunc("/down", s.down)
	mux.HandleFunc("/up", s.up)
	mux.HandleFunc("/small", s.small)
	return mux
}

type server struct {
	Options
	start time.Time
}

// number reads a number of the query; 0 if it has none.
func number(r *http.Request, name string) int64 {
	n, _ := strconv.ParseInt(r.URL.Query().Get(name), 10, 64)
	return max(0, n)
}

// fault is what befalls a request that comes now.
func (s *server) fault() (faults.Step, bool) {
	return s.Script.At(time.Since(s.start), rand.Float64())
}

// mostBody bounds what is sent for one request.
const mostBody = 4 << 30

func (s *server) down(w http.ResponseWriter, r *http.Request) {
	total, rate := min(number(r, "bytes"), mostBody), float64(number(r, "rate"))
	step, bad := s.fault()
	stop := total
	if bad {
		switch step.Kind {
		case faults.Status:
			http.Error(w, "by script", step.Status)
			return
		case faults.Slow:
			rate /= step.Factor
		case faults.Half, faults.Reset, faults.Silent:
			stop = total / 2
		}
	}
	if r.URL.Query().Get("form") != "chunked" {
		w.Header().Set("Content-Length", strconv.FormatInt(total, 10))
	}
	n, err := Send(w, 0, stop, rate)
	switch {
	case err != nil || n == total:
	case step.Kind == faults.Silent:
		http.NewResponseController(w).Flush()
		<-r.Context().Done()
	default:
		panic(http.ErrAbortHandler) // closes the connection in the midst of the answer
	}
}

func (s *server) up(w http.ResponseWriter, r *http.Request) {
	rate, early := float64(number(r, "rate")), number(r, "early")
	step, bad := s.fault()
	if bad {
		switch step.Kind {
		case faults.Slow:
			rate /= step.Factor
		case faults.Status:
			w.WriteHeader(step.Status)
			return
		case faults.Silent:
			<-r.Context().Done()
			return
		case faults.Half, faults.Reset:
			io.CopyN(io.Discard, r.Body, max(1, r.ContentLength/2))
			panic(http.ErrAbortHandler)
		}
	}
	if early > 0 {
		io.CopyN(io.Discard, r.Body, early)
		w.WriteHeader(http.StatusRequestEntityTooLarge)
		return
	}
	n, err := Take(r.Body, rate)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	fmt.Fprint(w, n)
}

func (s *server) small(w http.ResponseWriter, r *http.Request) {
	time.Sleep(s.Work)
	p := make([]byte, min(number(r, "bytes"), 1<<20))
	Pattern(p, 0)
	w.Write(p)
}

// tick is the distance between the pieces of a body that has a rate.
const tick = 50 * time.Millisecond

// piece is how much goes at once at a rate.
func piece(rate float64) int { return max(1, min(64<<10, int(rate*tick.Seconds()))) }

// Send writes the pattern from an offset up to another, at a rate; 0: as fast as it is taken.
func Send(w io.Writer, from, to int64, rate float64) (int64, error) {
	size := 64 << 10
	if rate > 0 {
		size = piece(rate)
	}
	buf := make([]byte, size+251)
	Pattern(buf, 0)
	start, sent := time.Now(), from
	for sent < to {
		n := min(int64(size), to-sent)
		at := sent % 251
		if _, err := w.Write(buf[at : at+n]); err != nil {
			return sent, err
		}
		sent += n
		if rate > 0 {
			if f, ok := w.(http.Flusher); ok {
				f.Flush()
			}
			time.Sleep(time.Until(start.Add(time.Duration(float64(sent-from) / rate * float64(time.Second)))))
		}
	}
	return sent, nil
}

// ErrWrongBytes tells of a body that is not the pattern.
var ErrWrongBytes = errors.New("wrong bytes")

// Take reads a body to its end at a rate, and sees to it that it is the pattern.
func Take(r io.Reader, rate float64) (int64, error) {
	size := 64 << 10
	if rate > 0 {
		size = piece(rate)
	}
	buf := make([]byte, size)
	start, taken := time.Now(), int64(0)
	for {
		n, err := r.Read(buf)
		if Wrong(buf[:n], taken) {
			return taken, fmt.Errorf("%w near %d", ErrWrongBytes, taken)
		}
		taken += int64(n)
		switch {
		case err == io.EOF:
			return taken, nil
		case err != nil:
			return taken, fmt.Errorf("after %d bytes: %w", taken, err)
		case rate > 0:
			time.Sleep(time.Until(start.Add(time.Duration(float64(taken) / rate * float64(time.Second)))))
		}
	}
}
