// Package load asks an introspection front questions in an open loop: arrivals don't wait for answers, so
// that a front that slows down is not spared for it. It is for loopback addresses, and bounded in count and
// time.
package load

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/url"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Options set up a load.
type Options struct {
	URL        string
	ID, Secret string
	Rate       float64       // questions a second, at exponentially distributed distances
	For        time.Duration // up to an hour
	Tokens     int           // different ones
	Zipf       float64       // skew of their use, above 1
	Patience   time.Duration // of each asker
	Inactive   float64       // part of the tokens that are not active
	Early      time.Duration // refusals within it count as early
	MostOut    int           // questions out at once, as a bound on sockets; 0: 2000
	Marks      []time.Duration
	Client     *http.Client // nil: one of its own
}

// Phase is what became of the questions that arrived between two marks.
type Phase struct {
	From, To     time.Duration
	Asked        int
	Served       int // whole answers on the token
	Late         int // of them, over Patience
	RefusedEarly int // 429 or 503 within Early
	RefusedLate  int
	NoRetryAfter int // refusals that don't say when to come back
	Failed       int // any other answer
	Unanswered   int // within Patience and a half
	Wrong        int // answers that say otherwise than is true of the token
	NotAsked     int // beyond MostOut
	Took         *hdrhistogram.Histogram
	LastBad      time.Duration // arrival of the last question that was not served
}

// Report is the outcome of a load, by phases.
type Report struct{ Phases []*Phase }

// Limits of what a load may ask for.
const (
	mostRate = 20_000
	mostTime = time.Hour
)

// Run makes a load. It ends by itself, with the context or with its time.
func Run(ctx context.Context, o Options) (*Report, error) {
	u, err := url.Parse(o.URL)
	if err != nil {
		return nil, fmt.Errorf("load: %w", err)
	}
	if ip := net.ParseIP(u.Hostname()); u.Hostname() != "localhost" && (ip == nil || !ip.IsLoopback()) {
		return nil, fmt.Errorf("load: %s is not a loopback address", u.Hostname())
	}
	if !(o.Rate > 0 && o.Rate <= mostRate) || o.For <= 0 || o.For > mostTime || o.Tokens < 1 || o.Zipf <= 1 {
		return nil, errors.New("load: want a rate up to 20000/s, a time up to 1h, tokens, and a skew above 1")
	}
	if o.MostOut == 0 {
		o.MostOut = 2000
	}
	if o.Client == nil {
		o.Client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: o.MostOut, MaxIdleConns: o.MostOut,
			IdleConnTimeout: time.Second}}
	}
	r := &runner{Options: o, out: make(chan struct{}, o.MostOut)}
	from := time.Duration(0)
	for _, to := range append(o.Marks, o.For) {
		r.phases = append(r.phases, &Phase{From: from, To: to, Took: hdrhistogram.New(1, 60_000_000, 3)})
		from = to
	}
	r.run(ctx)
	return &Report{r.phases}, nil
}

type runner struct {
	Options
	out    chan struct{}
	wait   sync.WaitGroup
	mu     sync.Mutex
	phases []*Phase
}

func (r *runner) run(ctx context.Context) {
	rng := rand.New(rand.NewPCG(7, 11)) // the same questions at the same times in each run
	zipf := rand.NewZipf(rng, r.Zipf, 1, uint64(r.Tokens-1))
	start := time.Now()
	for at := time.Duration(0); ; {
		at += time.Duration(rng.ExpFloat64() / r.Rate * float64(time.Second))
		if at >= r.For {
			break
		}
		n := zipf.Uint64()
		if wait := time.Until(start.Add(at)); wait > 0 {
			select {
			case <-time.After(wait):
			case <-ctx.Done():
			}
		}
		if ctx.Err() != nil {
			break
		}
		p := r.phase(at)
		select {
		case r.out <- struct{}{}:
			r.wait.Add(1)
			go r.ask(ctx, p, at, n)
		default:
			r.mu.Lock()
			p.Asked++
			p.NotAsked++
			r.mu.Unlock()
		}
	}
	r.wait.Wait()
}

func (r *runner) phase(at time.Duration) *Phase {
	for _, p := range r.phases {
		if at < p.To {
			return p
		}
	}
	return r.phases[len(r.phases)-1]
}

// active tells the truth about a token: by its number, spread evenly.
func (r *runner) active(n uint64) bool { return float64(n*2654435761%1000) >= r.Inactive*1000 }

func (r *runner) ask(ctx context.Context, p *Phase, at time.Duration, n uint64) {
	defer func() { <-r.out; r.wait.Done() }()
	active := r.active(n)
	token := fmt.Sprintf("tok-%06d", n)
	if !active {
		token = fmt.Sprintf("no-%06d", n)
	}
	ctx, cancel := context.WithTimeout(ctx, r.Patience+r.Patience/2)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, r.URL,
		strings.NewReader(url.Values{"token": {token}}.Encode()))
	if err != nil {
		return // the URL was parsed before
	}
	req.SetBasicAuth(url.QueryEscape(r.ID), url.QueryEscape(r.Secret))
	req.Header.Set("Content-Type", "application/x-www-form-urlencoded")
	req.Header.Set("X-Remaining", fmt.Sprintf("%.3f", r.Patience.Seconds()))
	since := time.Now()
	res, err := r.Client.Do(req)
	var text []byte
	if err == nil {
		text, err = io.ReadAll(io.LimitReader(res.Body, 1<<20))
		res.Body.Close()
	}
	r.count(p, at, time.Since(since), res, string(text), err, active)
}

func (r *runner) count(
	p *Phase,
	at, took time.Duration,
	res *http.Response,
	text string,
	err error,
	active bool,
) {
	r.mu.Lock()
	defer r.mu.Unlock()
	p.Asked++
	served := false
	switch {
	case err != nil:
		p.Unanswered++
	case res.StatusCode == http.StatusOK:
		served = true
		p.Served++
		p.Took.RecordValue(took.Microseconds())
		if took > r.Patience {
			p.Late++
		}
		said := !strings.Contains(strings.ReplaceAll(text, " ", ""), `"active":false`)
		if said != active {
			p.Wrong++
		}
	case res.StatusCode == http.StatusTooManyRequests || res.StatusCode == http.StatusServiceUnavailable:
		if took <= r.Early {
			p.RefusedEarly++
		} else {
			p.RefusedLate++
		}
		if res.Header.Get("Retry-After") == "" {
			p.NoRetryAfter++
		}
	default:
		p.Failed++
	}
	if !served {
		p.LastBad = max(p.LastBad, at)
	}
}

// Total is the sum of the phases from one on.
func (r *Report) Total() *Phase {
	sum := &Phase{Took: hdrhistogram.New(1, 60_000_000, 3)}
	for _, p := range r.Phases {
		sum.To = p.To
		sum.Asked += p.Asked
		sum.Served += p.Served
		sum.Late += p.Late
		sum.RefusedEarly += p.RefusedEarly
		sum.RefusedLate += p.RefusedLate
		sum.NoRetryAfter += p.NoRetryAfter
		sum.Failed += p.Failed
		sum.Unanswered += p.Unanswered
		sum.Wrong += p.Wrong
		sum.NotAsked += p.NotAsked
		sum.Took.Merge(p.Took)
	}
	return sum
}
