package introspect

import (
	"bytes"
	"crypto/ecdsa"
	"crypto/sha256"
	"fmt"
	"net/http"
	"net/url"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-jose/go-jose/v4"
	"github.com/rs/zerolog"

	"dunespoke/choice"
	"dunespoke/core"
	"dunespoke/internal/breaker"
	"dunespoke/internal/freshness"
	"dunespoke/internal/http1"
	"dunespoke/internal/issuers"
	"dunespoke/internal/lab/sign"
	"dunespoke/internal/localcount"
)

// service is an upstream that simulates an introspection service in memory.
type service struct {
	mu            sync.Mutex
	answer        func(token string) (text string, after time.Duration) // empty text: no answer
	questionCount map[string]int
}

// pendingAttempt is a running attempt; a nil timer means that it never ends by itself.
type pendingAttempt struct{ timer *time.Timer }

func (n pendingAttempt) Abort() bool {
	if n.timer != nil {
		n.timer.Stop()
	}
	return true
}

func (s *service) Drop(core.Server) {}

func (s *service) Start(a core.Attempt) core.Running {
	m := a.Payload.(*message)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.questionCount[m.token]++
	text, after := s.answer(m.token)
	if text == "" {
		return pendingAttempt{}
	}
	return pendingAttempt{time.AfterFunc(after, func() {
		a.End(Judge(&http1.Response{Response: &http.Response{StatusCode: http.StatusOK}, Content: []byte(text)}))
	})}
}

// totalQueries returns the number of attempts for all tokens.
func (s *service) totalQueries() (n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, times := range s.questionCount {
		n += times
	}
	return n
}

func (s *service) setAnswer(answer func(string) (string, time.Duration)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.answer = answer
}

// times returns the number of attempts for a token, once all goroutines are idle.
func (s *service) times(token string) int {
	synctest.Wait()
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.questionCount[token]
}

func respondWith(text string, after time.Duration) func(string) (string, time.Duration) {
	return func(string) (string, time.Duration) { return text, after }
}

// fixture is a front with simulated services.
type fixture struct {
	t        *testing.T
	front    *Front
	options  Options
	services []*service
	log      bytes.Buffer
}

// newFixture starts a front with one issuer for each rule. It must be called in a synctest bubble.
func newFixture(t *testing.T, rules []issuers.Rule, fresh freshness.Options, rate float64) *fixture {
	t.Helper()
	r := &fixture{t: t}
	table, err := issuers.New(rules)
	if err != nil {
		t.Fatal(err)
	}
	o := Options{Table: table, Path: "/introspect", Patience: 3 * time.Second, Gateways: len(rules),
		Draining: func() bool { return false },
		Clients:  []Client{{ID: "a", Plan: "member", SecretHash: sha256.Sum256([]byte("b"))}}}
	set := choice.Settings{Gateways: 1, MaxUnits: 1, MaxAttempts: 3, DialTimeout: 250 * time.Millisecond,
		MaxRetryAfter: 10 * time.Second, Cancel: true, QueueField: -1, CounterTimeout: 50 * time.Millisecond,
		Classes: []choice.Class{Class(time.Second, 3*time.Second)}, Plans: []choice.Plan{QuestionPlan()}}
	counts := localcount.New()
	log := zerolog.New(&r.log)
	start := func(set choice.Settings, up core.Upstream, servers int) *core.Core {
		c, err := core.New(core.Config{Settings: set, Seed: 1, Upstream: up, Counter: counts})
		if err != nil {
			t.Fatal(err)
		}
		var list []core.Server
		for i := range servers {
			list = append(list, core.Server{Name: fmt.Sprint(i), State: choice.Live})
		}
		c.Servers(true, list)
		go c.Run(t.Context())
		return c
	}
	for _, rule := range rules {
		s := &service{questionCount: map[string]int{}, answer: respondWith(`{"active":true}`, 10*time.Millisecond)}
		r.services = append(r.services, s)
		asks := set
		asks.Gateways, asks.MaxAttempts, asks.Counter = len(rules), 1, true
		asks.Classes = []choice.Class{Class(3*time.Second, 3*time.Second)}
		asks.Plans = []choice.Plan{{Name: "member", Rate: rate, Burst: rate, Price: 1}}
		o.Issuers = append(o.Issuers, &Issuer{Asks: start(asks, Desks{}, 64),
			Desk: NewDesk(DeskOptions{Issuer: rule.Name, Questions: start(set, Attempts{Upstream: s}, 4),
				Limit: 3 * time.Second, Silence: 500 * time.Millisecond, Freshness: fresh,
				Breaker: breaker.Options{MaxInFlight: 256}, Log: log})})
	}
	o.Log = log
	r.options, r.front = o, New(o)
	synctest.Wait()
	return r
}

// pendingAnswer is one request to the front and its response.
type pendingAnswer struct {
	mu     sync.Mutex
	answer *http1.Answer
	times  int // number of responses
	took   time.Duration
	leave  func()
}

// ask queries a token as client "a".
func (r *fixture) ask(token string) *pendingAnswer {
	return r.send(url.Values{"token": {token}}, func(req *http.Request) { req.SetBasicAuth("a", "b") })
}

// send sends a form to the front; with, if not nil, modifies the request before.
func (r *fixture) send(form url.Values, with func(*http.Request)) *pendingAnswer {
	body := form.Encode()
	req, err := http.NewRequest(http.MethodPost, "http://h/introspect", strings.NewReader(body))
	if err != nil {
		r.t.Fatal(err)
	}
	req.Header.Set("Content-Type", "application/x-www-form-urlencoded")
	if with != nil {
		with(req)
	}
	a, since := &pendingAnswer{}, time.Now()
	a.leave = r.front.Serve(&http1.Request{Request: req, Content: []byte(body)}, func(answer *http1.Answer) {
		a.mu.Lock()
		defer a.mu.Unlock()
		a.answer, a.took = answer, time.Since(since)
		a.times++
	})
	return a
}

// status waits until all goroutines are idle and returns the status of the response, or 0 if there is none.
func (a *pendingAnswer) status() int {
	synctest.Wait()
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.answer == nil {
		return 0
	}
	return a.answer.Status
}

// body waits like status and returns the response body, or an empty string.
func (a *pendingAnswer) body() string {
	synctest.Wait()
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.answer == nil {
		return ""
	}
	return string(a.answer.Body)
}

// inBubble runs f in a synctest bubble.
func inBubble(t *testing.T, f func(t *testing.T)) {
	synctest.Test(t, func(t *testing.T) {
		f(t)
		time.Sleep(time.Minute) // lets everything that still waits reach its timeout
	})
}

var oneRule = []issuers.Rule{{Name: "only"}}

func TestSharedQuestionSurvivesItsFirstAsker(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		r := newFixture(t, oneRule, freshness.Options{}, 1e6)
		r.services[0].setAnswer(respondWith(`{"active":true,"sub":"me"}`, 300*time.Millisecond))
		var all []*pendingAnswer
		for range 1000 {
			all = append(all, r.ask("tok"))
			synctest.Wait()
		}
		time.Sleep(100 * time.Millisecond)
		all[0].leave()
		time.Sleep(5 * time.Second)
		for i, a := range all[1:] {
			if a.status() != 200 || !strings.Contains(a.body(), `"sub":"me"`) || a.times != 1 {
				t.Fatalf("request %d: %d %s, %d responses", i+1, a.status(), a.body(), a.times)
			}
		}
		if all[0].status() != 0 {
			t.Error("response to an aborted request")
		}
		if n := r.services[0].totalQueries(); n != 1 {
			t.Errorf("%d upstream queries for one token, want 1", n)
		}
	})
}

func TestLastAskerWithdrawsTheQuestion(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		r := newFixture(t, oneRule, freshness.Options{}, 1000)
		r.services[0].setAnswer(respondWith("", 0))
		a, b := r.ask("tok"), r.ask("tok")
		synctest.Wait()
		a.leave()
		b.leave()
		synctest.Wait()
		r.services[0].setAnswer(respondWith(`{"active":true}`, 0))
		c := r.ask("tok")
		time.Sleep(time.Millisecond)
		if c.status() != 200 || r.services[0].totalQueries() != 2 {
			t.Errorf("status %d after %d upstream queries, want 200 after 2", c.status(), r.services[0].totalQueries())
		}
	})
}

// The abort of a request may be the failure that opens the breaker. Requests whose upstream queries are late
// by then must be rejected immediately, not when they time out.
func TestLeavingAskerOpensTheBreaker(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		r := newFixture(t, oneRule, freshness.Options{}, 1e6)
		r.services[0].setAnswer(respondWith("", 0))
		var late, leaving []*pendingAnswer
		for i := range 4 {
			late = append(late, r.ask(fmt.Sprint("late-", i)))
		}
		time.Sleep(200 * time.Millisecond)
		leaving = append(leaving, r.ask("leaving"))
		time.Sleep(450 * time.Millisecond) // four are late; the fifth is past half of the silence timeout
		leaving[0].leave()
		for i, a := range late {
			if a.status() != 503 || a.times != 1 {
				t.Errorf("request %d: status %d, %d responses, want one 503", i, a.status(), a.times)
			}
		}
	})
}

// The service is silent for 10 s. Each request gets one error response before its timeout, 95% within 50 ms,
// and none is told that its token is inactive. From 2 s after the service has recovered, all requests
// succeed.
func TestIssuerSilentForTenSeconds(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		r := newFixture(t, oneRule, freshness.Options{}, 1e6)
		for i := range 100 { // the service is healthy at first
			r.ask(fmt.Sprint("before-", i))
			time.Sleep(10 * time.Millisecond)
		}
		r.services[0].setAnswer(respondWith("", 0))
		var all []*pendingAnswer
		for i := range 4000 {
			all = append(all, r.ask(fmt.Sprint("token-", i)))
			time.Sleep(2500 * time.Microsecond)
		}
		time.Sleep(time.Second) // until the last probe is given up, too
		early := 0
		upstreamQueries := r.services[0].totalQueries() - 100
		r.services[0].setAnswer(respondWith(`{"active":true}`, 10*time.Millisecond))
		for i, a := range all {
			if a.status() == 0 || strings.Contains(a.body(), "active") || a.times != 1 ||
				a.took > 3*time.Second || a.answer.Header[len(a.answer.Header)-1][0] != "Retry-After" {
				t.Fatalf("request %d: %d %s after %v, %d responses", i, a.status(), a.body(), a.took, a.times)
			}
			if a.took < 50*time.Millisecond {
				early++
			}
		}
		if early < 3800 {
			t.Errorf("%d of 4000 rejected within 50 ms, want 95%%", early)
		}
		if upstreamQueries > 260 {
			t.Errorf("%d upstream queries to a silent service, want at most 260", upstreamQueries)
		}
		time.Sleep(2 * time.Second)
		for i := range 200 {
			a := r.ask(fmt.Sprint("after-", i))
			time.Sleep(12 * time.Millisecond)
			if a.status() != 200 {
				t.Errorf("request %d, over 2 s after the recovery: status %d", i, a.status())
			}
		}
		for _, code := range []string{"issuer-left-alone", "issuer-returns", "issuer-back"} {
			if !strings.Contains(r.log.String(), code) {
				t.Errorf("no log line with code %s", code)
			}
		}
		if strings.Contains(r.log.String(), "token-") {
			t.Error("a token is in the log")
		}
	})
}

func TestOneOfTwoIssuersSilent(t *testing.T) {
	two := []issuers.Rule{{Name: "a", Prefixes: []string{"a-"}}, {Name: "b", Prefixes: []string{"b-"}}}
	run := func(silent bool) (slowest time.Duration) {
		inBubble(t, func(t *testing.T) {
			r := newFixture(t, two, freshness.Options{}, 1e6)
			if silent {
				r.services[0].setAnswer(respondWith("", 0))
			}
			var other []*pendingAnswer
			for i := range 1000 {
				r.ask(fmt.Sprint("a-", i))
				other = append(other, r.ask(fmt.Sprint("b-", i)))
				time.Sleep(5 * time.Millisecond)
			}
			time.Sleep(time.Second)
			for i, a := range other {
				if a.status() != 200 {
					t.Fatalf("request %d for the healthy issuer: status %d", i, a.status())
				}
				slowest = max(slowest, a.took)
			}
		})
		return slowest
	}
	if before, during := run(false), run(true); during > before {
		t.Errorf("requests for the healthy issuer took up to %v, and %v while the other is silent", before, during)
	}
}

func TestIssuersInOrder(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		r := newFixture(t, []issuers.Rule{{Name: "a"}, {Name: "b"}}, freshness.Options{}, 1000)
		no, yes := respondWith(`{"active":false}`, time.Millisecond),
			respondWith(`{"active":true}`, time.Millisecond)
		silent := respondWith("", 0)
		for name, c := range map[string]struct {
			first, second func(string) (string, time.Duration)
			status        int
			text          string
		}{
			"active at the second":          {no, yes, 200, `{"active":true}`},
			"active at the first":           {yes, no, 200, `{"active":true}`},
			"inactive at both":              {no, no, 200, `{"active":false}`},
			"first silent, second inactive": {silent, no, 429, "temporarily_unavailable"},
			"first inactive, second silent": {no, silent, 429, "temporarily_unavailable"},
		} {
			r.services[0].setAnswer(c.first)
			r.services[1].setAnswer(c.second)
			a := r.ask(name)
			time.Sleep(2990 * time.Millisecond)
			if a.status() != c.status || !strings.Contains(a.body(), c.text) {
				t.Errorf("%s: %d %s", name, a.status(), a.body())
			}
		}
	})
}

// Each request counts against the quota, even if it would share an upstream query, and is rejected beyond it.
func TestQuotaCountsEachAsker(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		r := newFixture(t, []issuers.Rule{{Name: "a", Prefixes: []string{"a-"}},
			{Name: "b", Prefixes: []string{"b-"}}}, freshness.Options{}, 10)
		var all []*pendingAnswer
		for i := range 40 {
			all = append(all, r.ask([]string{"a-tok", "b-tok"}[i%2]))
			synctest.Wait()
		}
		time.Sleep(time.Second)
		served := 0
		for _, a := range all {
			if a.status() == 200 {
				served++
			} else if a.status() != 429 {
				t.Errorf("status %d", a.status())
			}
		}
		if served < 8 || served > 11 {
			t.Errorf("%d requests served, want 8 to 11 for a quota of 10 over both issuers", served)
		}
	})
}

func TestCachedAnswerExpires(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		r := newFixture(t, oneRule, freshness.Options{Positive: time.Minute, Negative: 2 * time.Second}, 1000)
		exp := time.Now().Add(30 * time.Second).Unix()
		r.services[0].setAnswer(func(token string) (string, time.Duration) {
			if token == "bad" {
				return `{"active":false}`, time.Millisecond
			}
			return fmt.Sprintf(`{"active":true,"exp":%d}`, exp), time.Millisecond
		})
		for _, step := range []struct {
			wait          time.Duration
			token         string
			wantQuestions int
		}{{0, "good", 1}, {time.Second, "good", 1}, {0, "bad", 1}, {time.Second, "bad", 1}, {time.Second, "bad", 2},
			{20 * time.Second, "good", 1}, {10 * time.Second, "good", 2}} {
			time.Sleep(step.wait)
			a := r.ask(step.token)
			time.Sleep(10 * time.Millisecond)
			if n := r.services[0].times(step.token); a.status() != 200 || n != step.wantQuestions {
				t.Errorf("%+v: status %d after %d upstream queries", step, a.status(), n)
			}
		}
		a := r.ask("good") // expired, although the service still reports it as active
		time.Sleep(10 * time.Millisecond)
		if a.body() != `{"active":false}` {
			t.Errorf("expired token: %s", a.body())
		}
	})
}

// While the breaker is open, a token that passes local validation is reported as active for at most
// Fallback.For. A token with a wrong signature is refused with 503, not reported as inactive.
func TestFallback(t *testing.T) {
	key, stranger := sign.Key(t), sign.Key(t)
	inBubble(t, func(t *testing.T) {
		r := newFixture(t, oneRule, freshness.Options{}, 1e6)
		desk := r.options.Issuers[0].Desk
		desk.Fallback = &Fallback{Issuer: "https://as", Audiences: []string{"api"}, For: 5 * time.Second,
			Keys: func() []jose.JSONWebKey { return []jose.JSONWebKey{{Key: &key.PublicKey}} }}
		token := func(by *ecdsa.PrivateKey) string {
			now := time.Now().Unix()
			return sign.JWT(t, jose.ES256, by, "at+jwt", "", false, map[string]any{"iss": "https://as", "aud": "api",
				"sub": "me", "jti": "1", "client_id": "x", "iat": now, "exp": now + 60})
		}
		good, forged := token(key), token(stranger)
		r.services[0].setAnswer(respondWith("", 0))
		for i := range 10 {
			r.ask(fmt.Sprint("first-", i))
		}
		time.Sleep(time.Second)
		r.ask("probe")
		synctest.Wait()
		a, b := r.ask(good), r.ask(forged)
		if a.status() != 200 || !strings.Contains(a.body(), `"introspection_source":"local"`) ||
			!strings.Contains(a.body(), `"active":true`) || b.status() != 503 {
			t.Errorf("good: %d %s, forged: %d %s", a.status(), a.body(), b.status(), b.body())
		}
		time.Sleep(5 * time.Second)
		if c := r.ask(good); c.status() == 200 {
			t.Errorf("after Fallback.For: %s", c.body())
		}
		log := r.log.String()
		if !strings.Contains(log, "answered-by-fallback") || strings.Contains(log, good) {
			t.Errorf("the log:\n%s", log)
		}
	})
}

func TestTokenWithoutIssuer(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		r := newFixture(t, []issuers.Rule{{Name: "a", Prefixes: []string{"a-"}}}, freshness.Options{}, 1000)
		if a := r.ask("z-1"); a.body() != `{"active":false}` || r.services[0].totalQueries() != 0 {
			t.Errorf("%s after %d upstream queries", a.body(), r.services[0].totalQueries())
		}
	})
}

// An attempt ends with TimedOut at Attempts.Limit, before its timeout.
func TestAttemptLimit(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		s := &service{questionCount: map[string]int{}, answer: respondWith("", 0)}
		ended := make(chan core.Result, 2)
		running := Attempts{Upstream: s, Limit: 200 * time.Millisecond}.Start(core.Attempt{Timeout: time.Second,
			Payload: &message{token: "tok"}, End: func(r core.Result) { ended <- r }})
		time.Sleep(200 * time.Millisecond)
		synctest.Wait()
		select {
		case r := <-ended:
			if r.Code != choice.TimedOut {
				t.Errorf("code %d", r.Code)
			}
		default:
			t.Error("the attempt has not timed out")
		}
		if !running.Abort() {
			t.Error("Abort() = false for an attempt that was sent, want true: it may have run")
		}
	})
}
