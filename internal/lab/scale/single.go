package scale

import (
	"context"
	"encoding/json"
	"fmt"
	"math"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"slices"
	"time"

	"golang.org/x/sys/unix"

	"dunespoke/choice"
	"dunespoke/core"
	"dunespoke/internal/controlplane/discovery"
	"dunespoke/internal/controlplane/message"
	"dunespoke/internal/dataplane/proxy"
	"dunespoke/internal/events"
	"dunespoke/internal/ratelimit"
	"dunespoke/internal/routing"
	"dunespoke/internal/server"
)

// Single times single operations of one process, each at some sizes up to the whole.
type Single struct {
	Made      Made // the whole
	Ingresses int  // at the whole, spread over its zones
	Seen      int  // tenants that an ingress sees in a minute, at the whole
	Sizes     []float64
	Tries     int // of each operation, of which the quickest counts

	tell    func(Row)
	problem error
}

// Run times all operations.
func (s Single) Run(ctx context.Context, tell func(Row)) error {
	s.tell = tell
	for _, part := range s.Sizes {
		if err := ctx.Err(); err != nil {
			return err
		}
		m := s.part(part)
		s.configuration("routes", Made{Routes: m.Routes, Services: m.Services}, m.Routes)
		m.Routes, m.Services = s.Made.Routes, s.Made.Services
		s.configuration("tenants", m, m.Tenants)
	}
	for _, part := range s.Sizes {
		s.list(s.part(part))
		s.front(s.part(part), max(1, int(float64(s.Ingresses/s.Made.Zones)*part)))
		s.desk(s.part(part))
		s.meter(max(10, int(float64(s.Seen)*part)), max(1, int(float64(s.Ingresses)*part)))
	}
	return s.problem
}

func (s *Single) part(part float64) Made {
	of := func(n int) int { return max(1, int(math.Round(float64(n)*part))) }
	return Made{Routes: of(s.Made.Routes), Services: of(s.Made.Services), Tenants: of(s.Made.Tenants),
		Servers: of(s.Made.Servers), Zones: s.Made.Zones}
}

func (s *Single) fail(err error) {
	if err != nil && s.problem == nil {
		s.problem = err
	}
}

func (s *Single) row(operation, what, unit, by string, size int, value float64) {
	s.tell(Row{"single", operation, "any", what, "", unit, by, float64(size), value})
}

// process is the processor time that this process has used.
func process() time.Duration {
	var u unix.Rusage
	if unix.Getrusage(unix.RUSAGE_SELF, &u) != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// cost does something some times: processor time of all threads at the least, and bytes allocated.
func (s *Single) cost(do func()) (took time.Duration, allocated float64) {
	for i := range max(1, s.Tries) {
		runtime.GC()
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		began := process()
		do()
		d := process() - began
		runtime.ReadMemStats(&after)
		if i == 0 || d < took {
			took, allocated = d, float64(after.TotalAlloc-before.TotalAlloc)
		}
	}
	return took, allocated
}

func ms(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// configuration times what a change of one route costs its way.
func (s *Single) configuration(by string, m Made, size int) {
	old, text := m.Config(1), m.Config(2)
	s.row("configuration", "text", "MB", by, size, float64(len(text))/1e6)
	s.row("configuration", "of the longest frame", "parts", by, size,
		float64(len(text))/float64(message.MaxFrameSize))
	took, _ := s.cost(func() {
		_, err := routing.Validate(text)
		s.fail(err)
	})
	s.row("configuration", "check at the operators' desk", "ms", by, size, ms(took))
	base := heap()
	var d *routing.Table
	took, allocated := s.cost(func() {
		var err error
		d, err = routing.Parse(text)
		s.fail(err)
	})
	s.row("configuration", "read", "ms", by, size, ms(took))
	s.row("configuration", "read: allocated meanwhile", "MB", by, size, allocated/1e6)
	s.row("configuration", "read: kept", "MB", by, size, (heap()-base)/1e6)
	runtime.KeepAlive(d)
	var change, whole *message.Delta
	took, _ = s.cost(func() { change = message.NewDelta(text, 1, old) })
	s.row("configuration", "pack a change of one route", "ms", by, size, ms(took))
	s.row("configuration", "change of one route", "B", by, size,
		float64(length(&message.ReadResult{Config: change})))
	took, _ = s.cost(func() { whole = message.NewDelta(text, 0, nil) })
	s.row("configuration", "pack the whole", "ms", by, size, ms(took))
	s.row("configuration", "the whole, packed", "MB", by, size,
		float64(length(&message.ReadResult{Config: whole}))/1e6)
	took, allocated = s.cost(func() {
		_, err := change.Apply(1, old)
		s.fail(err)
	})
	s.row("configuration", "unpack a change", "ms", by, size, ms(took))
	s.row("configuration", "unpack a change: allocated", "MB", by, size, allocated/1e6)
	fits := 1.0
	if _, err := whole.Apply(0, nil); err != nil {
		fits = 0
	}
	s.row("configuration", "the whole can be sent", "1: yes", by, size, fits)
}

// list times what a change of the list of servers costs its way.
func (s *Single) list(m Made) {
	servers := m.List(0)
	news := &message.Message{Body: &message.WatchResponse{
		Endpoints: &message.EndpointList{Epoch: 1, Sequence: 1, Endpoints: servers}}}
	var b []byte
	took, _ := s.cost(func() { b = message.MarshalAppend(nil, news) })
	s.row("list", "message", "MB", "servers", m.Servers, float64(len(b))/1e6)
	s.row("list", "encode, for each who asks", "ms", "servers", m.Servers, ms(took))
	base := heap()
	var got *message.Message
	took, _ = s.cost(func() {
		got = new(message.Message)
		s.fail(message.Unmarshal(b, got))
	})
	s.row("list", "decode", "ms", "servers", m.Servers, ms(took))
	s.row("list", "kept", "MB", "servers", m.Servers, (heap()-base)/1e6)
	runtime.KeepAlive(got)
	pages := newPlatform(servers, perPage)
	web := httptest.NewServer(pages)
	defer web.Close()
	reader := discovery.New(web.Listener.Addr().String(), (&net.Dialer{}).DialContext)
	took, _ = s.cost(func() {
		list, err := reader.Read(context.Background())
		s.fail(err)
		if err == nil && len(list) != m.Servers {
			s.fail(fmt.Errorf("read %d servers of %d", len(list), m.Servers))
		}
	})
	s.row("list", "read from the platform", "ms", "servers", m.Servers, ms(took))
	s.row("list", "pages", "MB", "servers", m.Servers, pages.bytes()/1e6)
	short := newPlatform(servers, shortPage)
	few := httptest.NewServer(short)
	defer few.Close()
	reader = discovery.New(few.Listener.Addr().String(), (&net.Dialer{}).DialContext)
	fits := 1.0
	if _, err := reader.Read(context.Background()); err != nil {
		fits = 0
	}
	s.row("list", "calls for it, 50 servers to a page", "calls", "servers", m.Servers, float64(len(short.pages)))
	s.row("list", "can be read by these", "1: yes", "servers", m.Servers, fits)
}

// front times what a change costs the data plane of an ingress, with the gates of all services.
func (s *Single) front(m Made, members int) {
	ctx, end := context.WithCancel(context.Background())
	defer end()
	d, err := routing.Parse(Made{Routes: m.Routes, Services: m.Services}.Config(1))
	if err != nil {
		s.fail(err)
		return
	}
	base := heap()
	var cores []*core.Core
	f := proxy.New(proxy.Options{NodeAddr: "10.1.0.1:7", Zone: zone(0), Tuning: server.Tuning,
		Clock: func() time.Duration { return time.Hour }, Log: func(events.Event, ...any) {},
		NewCore: func(service string, set choice.Settings) (*core.Core, error) {
			c, err := core.New(core.Config{Settings: set, Seed: 1, Upstream: nowhere{}, Log: func(string) {}})
			if err == nil {
				cores = append(cores, c)
				go c.Run(ctx)
			}
			return c, err
		}})
	settle := func() { // what was handed to the cores before is done once they answer
		for _, c := range cores {
			done := make(chan []string, 1)
			c.Bans(done)
			<-done
		}
	}
	took, _ := s.cost(func() { f.SetConfig(d); settle() })
	s.row("front", "use a configuration", "ms", "servers", m.Servers, ms(took))
	var ingresses []message.Node
	for i := range members {
		ingresses = append(ingresses, message.Node{Addr: fmt.Sprintf("10.1.%d.%d:7", i>>8, i&255), Zone: zone(0)})
	}
	from := 0
	took, _ = s.cost(func() { from++; f.SetEndpoints(m.List(from)); settle() })
	s.row("front", "take a list that changed by one", "ms", "servers", m.Servers, ms(took))
	took, _ = s.cost(func() { f.SetNodes(ingresses); settle() })
	s.row("front", "take who is a member", "ms", "servers", m.Servers, ms(took))
	s.row("front", "kept by gates and lists", "MB", "servers", m.Servers, (heap()-base)/1e6)
	runtime.KeepAlive(f)
}

// nowhere is an upstream that is sent nothing.
type nowhere struct{}

// Start is never called.
func (nowhere) Start(core.Attempt) core.Running { return nil }

// Drop has nothing to drop.
func (nowhere) Drop(core.Server) {}

// asked is how many tenants a question names that is timed.
const asked = 5

// busy is which part of the tenants has less than half of its burst left: each answer names them.
const busy = 0.01

// desk times a question to the desk of tolls.
func (s *Single) desk(m Made) {
	const burst = 20
	d := ratelimit.NewAllocator(
		func(string) ratelimit.Limits { return ratelimit.Limits{Rate: 10, Burst: burst} },
	)
	base := heap()
	d.Activate(time.Hour, 1)
	now := time.Hour + time.Minute // by when all stores are full
	all, short := &message.TokenRequest{Epoch: 1}, &message.TokenRequest{Epoch: 1, LastGrant: 1}
	for i := range m.Tenants {
		all.Tokens = append(all.Tokens, message.TenantTokens{Tenant: tenant(i)})
		if i < int(busy*float64(m.Tenants)) {
			short.Tokens = append(short.Tokens, message.TenantTokens{Tenant: tenant(i), Tokens: burst})
		}
	}
	asker := ratelimit.Requester{Addr: "10.0.0.1:7"}
	d.Allocate(now, asker, 1, all)
	s.row("desk", "stores", "MB", "tenants", m.Tenants, (heap()-base)/1e6)
	d.Allocate(now, asker, 2, short)
	requestID := uint64(2)
	q := &message.TokenRequest{Epoch: 1}
	for i := range asked {
		q.Tokens = append(q.Tokens, message.TenantTokens{Tenant: tenant(m.Tenants - 1 - i), Spent: 1})
	}
	var answer *message.TokenGrant
	took, _ := s.cost(func() {
		q.LastGrant = requestID
		requestID++
		answer = d.Allocate(now, asker, requestID, q)
	})
	s.row("desk", "a question", "ms", "tenants", m.Tenants, ms(took))
	s.row("desk", "a question: message", "B", "tenants", m.Tenants, float64(length(q)))
	s.row("desk", "its answer, with 1 in 100 tenants short", "B", "tenants", m.Tenants, float64(length(answer)))
}

// meter times a question of an ingress and its answer, with so many tenants seen in the last minute.
func (s *Single) meter(seen, members int) {
	var out *message.Message
	m := ratelimit.NewLimiter(1, func(string) ratelimit.Limits { return ratelimit.Limits{Rate: 10, Burst: 20} },
		func(q *message.Message) { out = q }, func(ratelimit.State) {})
	m.SetAllocator(1, members)
	grant := &message.TokenGrant{OK: true}
	for i := range int(busy * float64(s.Made.Tenants)) {
		grant.ExhaustedTenants = append(grant.ExhaustedTenants, tenant(1_000_000+i))
	}
	now := time.Hour
	answer := func() {
		for q := out; q != nil; q = out {
			out, grant.Tokens = nil, q.Body.(*message.TokenRequest).Tokens
			now += 30 * time.Millisecond // past the pause between questions
			m.HandleGrant(now, 1, q.RequestID, grant)
		}
	}
	base := heap()
	for i := range seen {
		m.Take(now, tenant(i), func(bool, time.Duration) {})
	}
	answer()
	s.row("meter", "accounts", "MB", "tenants seen in a minute", seen, (heap()-base)/1e6)
	rounds := 0
	took, _ := s.cost(func() {
		for i := range 10 {
			now += 100 * time.Millisecond
			m.Take(now, tenant(seen-1-i%seen), func(bool, time.Duration) {})
			rounds++
			answer()
		}
	})
	s.row("meter", "a question and its answer", "ms", "tenants seen in a minute", seen, ms(took)/10)
}

// platform plays the platform's list of servers, in pages.
type platform struct {
	pages [][]byte
}

// How many servers stand on a page: so many that few calls are needed, and as many as on the users' sites.
const (
	perPage   = 500
	shortPage = 50
)

func newPlatform(servers []message.Endpoint, perPage int) *platform {
	p := &platform{}
	for list := range slices.Chunk(servers, perPage) {
		zones := map[string][]map[string]any{}
		for _, s := range list {
			zones[s.Zone] = append(zones[s.Zone], map[string]any{"id": s.ID, "backend": s.Service, "address": s.Addr,
				"zone": s.Zone, "version": "v1", "capacity": s.Capacity, "state": "warm", "warmup_left_s": 0})
		}
		var next any
		if len(p.pages) < (len(servers)-1)/perPage {
			next = fmt.Sprint(len(p.pages) + 1)
		}
		b, err := json.Marshal(map[string]any{"servers": zones, "next_token": next})
		if err != nil {
			panic(err) // of what is made here
		}
		p.pages = append(p.pages, b)
	}
	return p
}

func (p *platform) bytes() (n float64) {
	for _, b := range p.pages {
		n += float64(len(b))
	}
	return n
}

// ServeHTTP answers with a page.
func (p *platform) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	at := 0
	if token := r.URL.Query().Get("page_token"); token != "" {
		if _, err := fmt.Sscan(token, &at); err != nil || at < 0 || at >= len(p.pages) {
			http.Error(w, "no such page", http.StatusBadRequest)
			return
		}
	}
	w.Header().Set("Content-Type", "application/json")
	w.Write(p.pages[at])
}
