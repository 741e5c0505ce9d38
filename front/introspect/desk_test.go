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

// service is an upstream that plays an introspection service in memory.
type service struct {
	mu     sync.Mutex
	answer func(token string) (text string, after time.Duration) // "": never
	asked  map[string]int
}

type never struct{ timer *time.Timer }

func (n never) Abort() bool {
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
	s.asked[m.token]++
	text, after := s.answer(m.token)
	if text == "" {
		return never{}
	}
	return never{time.AfterFunc(after, func() {
		a.End(Judge(&http1.Response{Response: &http.Response{StatusCode: http.StatusOK}, Content: []byte(text)}))
	})}
}

func (s *service) questions() (n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, times := range s.asked {
		n += times
	}
	return n
}

func (s *service) becomes(answer func(string) (string, time.Duration)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.answer = answer
}

func (s *service) times(token string) int {
	synctest.Wait()
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.asked[token]
}

func says(text string, after time.Duration) func(string) (string, time.Duration) {
	return func(string) (string, time.Duration) { return text, after }
}

// rig is a front before services in memory.
type rig struct {
	t        *testing.T
	front    *Front
	options  Options
	services []*service
	log      bytes.Buffer
}

// newRig starts a front in a bubble, with one issuer for each rule.
func newRig(t *testing.T, rules []issuers.Rule, fresh freshness.Options, rate float64) *rig {
	t.Helper()
	r := &rig{t: t}
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
		s := &service{asked: map[string]int{}, answer: says(`{"active":true}`, 10*time.Millisecond)}
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

// asked is one question and what became of it.
type asked struct {
	mu     sync.Mutex
	answer *http1.Answer
	times  int
	took   time.Duration
	leave  func()
}

func (r *rig) ask(token string) *asked {
	return r.send(url.Values{"token": {token}}, func(req *http.Request) { req.SetBasicAuth("a", "b") })
}

// send asks by a form and whatever else is done to the request.
func (r *rig) send(form url.Values, with func(*http.Request)) *asked {
	body := form.Encode()
	req, err := http.NewRequest(http.MethodPost, "http://h/introspect", strings.NewReader(body))
	if err != nil {
		r.t.Fatal(err)
	}
	req.Header.Set("Content-Type", "application/x-www-form-urlencoded")
	if with != nil {
		with(req)
	}
	a, since := &asked{}, time.Now()
	a.leave = r.front.Serve(&http1.Request{Request: req, Content: []byte(body)}, func(answer *http1.Answer) {
		a.mu.Lock()
		defer a.mu.Unlock()
		a.answer, a.took = answer, time.Since(since)
		a.times++
	})
	return a
}

// status waits until all is still and tells the answer's status; 0: none came.
func (a *asked) status() int {
	synctest.Wait()
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.answer == nil {
		return 0
	}
	return a.answer.Status
}

func (a *asked) says() string {
	synctest.Wait()
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.answer == nil {
		return ""
	}
	return string(a.answer.Body)
}

func inBubble(t *testing.T, f func(t *testing.T)) {
	synctest.Test(t, func(t *testing.T) {
		f(t)
		time.Sleep(time.Minute) // whatever still waits runs into its limit
	})
}

var oneRule = []issuers.Rule{{Name: "only"}}

func TestAThousandAskersOfOneTokenAndTheLeaderLeaves(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		r := newRig(t, oneRule, freshness.Options{}, 1e6)
		r.services[0].becomes(says(`{"active":true,"sub":"me"}`, 300*time.Millisecond))
		var all []*asked
		for range 1000 {
			all = append(all, r.ask("tok"))
			synctest.Wait()
		}
		time.Sleep(100 * time.Millisecond)
		all[0].leave()
		time.Sleep(5 * time.Second)
		for i, a := range all[1:] {
			if a.status() != 200 || !strings.Contains(a.says(), `"sub":"me"`) || a.times != 1 {
				t.Fatalf("asker %d: %d %s, %d answers", i+1, a.status(), a.says(), a.times)
			}
		}
		if all[0].status() != 0 {
			t.Error("an answer for one that has left")
		}
		if n := r.services[0].questions(); n != 1 {
			t.Errorf("%d questions for one token", n)
		}
	})
}

func TestTheLastToLeaveWithdrawsTheQuestion(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		r := newRig(t, oneRule, freshness.Options{}, 1000)
		r.services[0].becomes(says("", 0))
		a, b := r.ask("tok"), r.ask("tok")
		synctest.Wait()
		a.leave()
		b.leave()
		synctest.Wait()
		r.services[0].becomes(says(`{"active":true}`, 0))
		c := r.ask("tok")
		time.Sleep(time.Millisecond)
		if c.status() != 200 || r.services[0].questions() != 2 {
			t.Errorf("status %d after %d questions", c.status(), r.services[0].questions())
		}
	})
}

// What makes the issuer be left alone may be the leaving of an asker. Those whose questions are late by then
// are told at once, and not at the end of their patience.
func TestLeavingAskersLeaveTheOthersTheirAnswer(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		r := newRig(t, oneRule, freshness.Options{}, 1e6)
		r.services[0].becomes(says("", 0))
		var late, leaving []*asked
		for i := range 4 {
			late = append(late, r.ask(fmt.Sprint("late-", i)))
		}
		time.Sleep(200 * time.Millisecond)
		leaving = append(leaving, r.ask("leaving"))
		time.Sleep(450 * time.Millisecond) // four are late, one is on its way to be
		leaving[0].leave()
		for i, a := range late {
			if a.status() != 503 || a.times != 1 {
				t.Errorf("asker %d: status %d, %d answers", i, a.status(), a.times)
			}
		}
	})
}

// The service is silent for 10 s. Each question gets one answer before its time is up, nearly all at once,
// and none is told that its token is not active. Then the service is back, and within 2 s all are served.
func TestSilentForTenSeconds(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		r := newRig(t, oneRule, freshness.Options{}, 1e6)
		for i := range 100 { // it was well before
			r.ask(fmt.Sprint("before-", i))
			time.Sleep(10 * time.Millisecond)
		}
		r.services[0].becomes(says("", 0))
		var all []*asked
		for i := range 4000 {
			all = append(all, r.ask(fmt.Sprint("token-", i)))
			time.Sleep(2500 * time.Microsecond)
		}
		time.Sleep(time.Second) // the last trial is given up, too
		early := 0
		put := r.services[0].questions() - 100
		r.services[0].becomes(says(`{"active":true}`, 10*time.Millisecond))
		for i, a := range all {
			if a.status() == 0 || strings.Contains(a.says(), "active") || a.times != 1 ||
				a.took > 3*time.Second || a.answer.Header[len(a.answer.Header)-1][0] != "Retry-After" {
				t.Fatalf("question %d: %d %s after %v, %d answers", i, a.status(), a.says(), a.took, a.times)
			}
			if a.took < 50*time.Millisecond {
				early++
			}
		}
		if early < 3800 {
			t.Errorf("%d of 4000 refused within 50 ms, want 95%%", early)
		}
		if put > 260 {
			t.Errorf("%d questions put to a silent service", put)
		}
		time.Sleep(2 * time.Second)
		for i := range 200 {
			a := r.ask(fmt.Sprint("after-", i))
			time.Sleep(12 * time.Millisecond)
			if a.status() != 200 {
				t.Errorf("question %d, over 2 s after its return: %d", i, a.status())
			}
		}
		for _, code := range []string{"issuer-left-alone", "issuer-returns", "issuer-back"} {
			if !strings.Contains(r.log.String(), code) {
				t.Errorf("no line %s in the log", code)
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
			r := newRig(t, two, freshness.Options{}, 1e6)
			if silent {
				r.services[0].becomes(says("", 0))
			}
			var other []*asked
			for i := range 1000 {
				r.ask(fmt.Sprint("a-", i))
				other = append(other, r.ask(fmt.Sprint("b-", i)))
				time.Sleep(5 * time.Millisecond)
			}
			time.Sleep(time.Second)
			for i, a := range other {
				if a.status() != 200 {
					t.Fatalf("question %d about the other issuer's token: %d", i, a.status())
				}
				slowest = max(slowest, a.took)
			}
		})
		return slowest
	}
	if before, during := run(false), run(true); during > before {
		t.Errorf("the other's questions took up to %v, and %v while one is silent", before, during)
	}
}

func TestAnOrderOfIssuers(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		r := newRig(t, []issuers.Rule{{Name: "a"}, {Name: "b"}}, freshness.Options{}, 1000)
		no, yes := says(`{"active":false}`, time.Millisecond), says(`{"active":true}`, time.Millisecond)
		silent := says("", 0)
		for name, c := range map[string]struct {
			first, second func(string) (string, time.Duration)
			status        int
			text          string
		}{
			"the second knows it":             {no, yes, 200, `{"active":true}`},
			"the first does":                  {yes, no, 200, `{"active":true}`},
			"neither":                         {no, no, 200, `{"active":false}`},
			"one silent, the other knows not": {silent, no, 429, "temporarily_unavailable"},
			"the last silent":                 {no, silent, 429, "temporarily_unavailable"},
		} {
			r.services[0].becomes(c.first)
			r.services[1].becomes(c.second)
			a := r.ask(name)
			time.Sleep(2990 * time.Millisecond)
			if a.status() != c.status || !strings.Contains(a.says(), c.text) {
				t.Errorf("%s: %d %s", name, a.status(), a.says())
			}
		}
	})
}

// Each asker is counted for itself: those beyond the quota are refused, however cheap their answer would be.
func TestAskersOfOneTokenAreEachCounted(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		r := newRig(t, []issuers.Rule{{Name: "a", Prefixes: []string{"a-"}}, {Name: "b", Prefixes: []string{"b-"}}},
			freshness.Options{}, 10)
		var all []*asked
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
			t.Errorf("%d served of a quota of 10 over both issuers", served)
		}
	})
}

func TestAnAnswerIsUsedAgainWithinItsBound(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		r := newRig(t, oneRule, freshness.Options{Positive: time.Minute, Negative: 2 * time.Second}, 1000)
		exp := time.Now().Add(30 * time.Second).Unix()
		r.services[0].becomes(func(token string) (string, time.Duration) {
			if token == "bad" {
				return `{"active":false}`, time.Millisecond
			}
			return fmt.Sprintf(`{"active":true,"exp":%d}`, exp), time.Millisecond
		})
		for _, step := range []struct {
			wait  time.Duration
			token string
			asked int
		}{{0, "good", 1}, {time.Second, "good", 1}, {0, "bad", 1}, {time.Second, "bad", 1}, {time.Second, "bad", 2},
			{20 * time.Second, "good", 1}, {10 * time.Second, "good", 2}} {
			time.Sleep(step.wait)
			a := r.ask(step.token)
			time.Sleep(10 * time.Millisecond)
			if n := r.services[0].times(step.token); a.status() != 200 || n != step.asked {
				t.Errorf("%+v: status %d, asked %d times", step, a.status(), n)
			}
		}
		a := r.ask("good") // its end has passed, whatever the service still says
		time.Sleep(10 * time.Millisecond)
		if a.says() != `{"active":false}` {
			t.Errorf("past its end: %s", a.says())
		}
	})
}

// While the issuer is left alone, a token that proves itself is answered for here, within the bound; one
// that does not is refused as before.
func TestFallback(t *testing.T) {
	key, stranger := sign.Key(t), sign.Key(t)
	inBubble(t, func(t *testing.T) {
		r := newRig(t, oneRule, freshness.Options{}, 1e6)
		desk := r.options.Issuers[0].Desk
		desk.Fallback = &Fallback{Issuer: "https://as", Audiences: []string{"api"}, For: 5 * time.Second,
			Keys: func() []jose.JSONWebKey { return []jose.JSONWebKey{{Key: &key.PublicKey}} }}
		token := func(by *ecdsa.PrivateKey) string {
			now := time.Now().Unix()
			return sign.JWT(t, jose.ES256, by, "at+jwt", "", false, map[string]any{"iss": "https://as", "aud": "api",
				"sub": "me", "jti": "1", "client_id": "x", "iat": now, "exp": now + 60})
		}
		good, forged := token(key), token(stranger)
		r.services[0].becomes(says("", 0))
		for i := range 10 {
			r.ask(fmt.Sprint("first-", i))
		}
		time.Sleep(time.Second)
		r.ask("the trial")
		synctest.Wait()
		a, b := r.ask(good), r.ask(forged)
		if a.status() != 200 || !strings.Contains(a.says(), `"introspection_source":"local"`) ||
			!strings.Contains(a.says(), `"active":true`) || b.status() != 503 {
			t.Errorf("good: %d %s, forged: %d %s", a.status(), a.says(), b.status(), b.says())
		}
		time.Sleep(5 * time.Second)
		if c := r.ask(good); c.status() == 200 {
			t.Errorf("past the bound: %s", c.says())
		}
		log := r.log.String()
		if !strings.Contains(log, "answered-by-fallback") || strings.Contains(log, good) {
			t.Errorf("the log:\n%s", log)
		}
	})
}

func TestTokensOfNobody(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		r := newRig(t, []issuers.Rule{{Name: "a", Prefixes: []string{"a-"}}}, freshness.Options{}, 1000)
		if a := r.ask("z-1"); a.says() != `{"active":false}` || r.services[0].questions() != 0 {
			t.Errorf("%s after %d questions", a.says(), r.services[0].questions())
		}
	})
}

// An attempt that takes over its limit makes way for one at another server.
func TestAttemptsHaveALimitOfTheirOwn(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		s := &service{asked: map[string]int{}, answer: says("", 0)}
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
			t.Error("not given up")
		}
		if !running.Abort() {
			t.Error("an attempt that was sent may have run")
		}
	})
}
