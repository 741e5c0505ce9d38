package main

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/http/httputil"
	"net/url"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"dunespoke/internal/lab/origin"
	"dunespoke/internal/lab/transfers"
	"dunespoke/internal/lab/usage"
)

type originCommand struct {
	Listen string        `help:"Loopback address." default:"127.0.0.1:8811" env:"DUNESPOKE_LAB_LISTEN"`
	Script string        `help:"File with the script of faults." type:"existingfile" env:"DUNESPOKE_LAB_SCRIPT"`
	Work   time.Duration `help:"That a small request takes." default:"5ms"`
}

// Run plays an app server that streams, until told to stop.
func (c *originCommand) Run(ctx context.Context) error {
	script, err := readScript(c.Script)
	if err != nil {
		return err
	}
	return serveUntil(ctx, c.Listen, origin.New(origin.Options{Script: script, Work: c.Work}))
}

func serveUntil(ctx context.Context, addr string, h http.Handler) error {
	end, err := serve(addr, func(string) (http.Handler, error) { return h, nil })
	if err != nil {
		return err
	}
	defer end()
	fmt.Println("listening on", addr)
	<-ctx.Done()
	return nil
}

type proxyCommand struct {
	Listen string `help:"Loopback address." default:"127.0.0.1:8812" env:"DUNESPOKE_LAB_LISTEN"`
	To     string `help:"Address of the app server." default:"127.0.0.1:8811"`
}

// Run plays net/http/httputil.ReverseProxy, for comparison.
func (c *proxyCommand) Run(ctx context.Context) error {
	proxy := &httputil.ReverseProxy{
		Rewrite: func(r *httputil.ProxyRequest) {
			r.SetURL(&url.URL{Scheme: "http", Host: c.To})
			r.SetXForwarded()
		},
		Transport: &http.Transport{MaxIdleConnsPerHost: 1000, DisableCompression: true},
	}
	return serveUntil(ctx, c.Listen, proxy)
}

type transfersCommand struct {
	URL   string        `arg:"" help:"Of a front before an origin, on a loopback address."`
	Count int           `help:"Transfers at once." default:"500"`
	For   time.Duration `help:"How long each lasts." default:"20s"`
	Slow  string        `help:"Who sets the pace." enum:"client,server" default:"client"`
}

// Run makes transfers of many speeds and prints what became of them.
func (c *transfersCommand) Run(ctx context.Context) error {
	r, err := transfers.Run(ctx, transfers.Options{URL: c.URL, Count: c.Count, Duration: c.For,
		SlowSide: transfers.Side(c.Slow)}, nil)
	if err != nil {
		return err
	}
	fmt.Printf("done %d, refused %d, failed %d, wrong %d, %d MB\n", r.Done, r.Refused, r.Failed, r.Wrong,
		r.Bytes>>20)
	if r.FirstError != nil {
		fmt.Println("first fault:", r.FirstError)
	}
	return nil
}

type streamingCommand struct {
	Bin    string        `help:"The daemon." default:"bin/dunespoke" type:"existingfile"`
	Out    string        `help:"Directory for the plots." default:"docs/measurements"`
	Counts []int         `help:"Transfers at once." default:"1,50,500,2000"`
	For    time.Duration `help:"How long each step lasts." default:"12s"`
	Flat   time.Duration `help:"How long memory is watched with 500 transfers." default:"5m"`
	Only   []string      `help:"Parts: memory, flat, cpu, latency, beside; none: all."`
}

// process is a program under measurement.
type process struct {
	cmd  *exec.Cmd
	name string
	url  string
}

func (c *streamingCommand) wants(part string) bool {
	return len(c.Only) == 0 || contains(c.Only, part)
}

// Run measures the streaming front, beside ReverseProxy on the same machine in the same run.
func (c *streamingCommand) Run(ctx context.Context) error {
	app := "127.0.0.1:8811"
	self, err := os.Executable()
	if err != nil {
		return err
	}
	dir, err := os.MkdirTemp("", "dunespoke-lab")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	server, err := start("origin", "http://"+app, exec.Command(self, "origin", "--listen", app))
	if err != nil {
		return err
	}
	defer server.end()
	ours := func() (*process, error) {
		file := filepath.Join(dir, "gateway.toml")
		if err := os.WriteFile(file, []byte(gatewayFile), 0o600); err != nil {
			return nil, err
		}
		return start("dunespoke", "http://127.0.0.1:8813", exec.Command(c.Bin, "--operator", file))
	}
	theirs := func() (*process, error) {
		return start("ReverseProxy", "http://127.0.0.1:8812", exec.Command(self, "proxy", "--to", app))
	}
	for _, part := range []struct {
		name string
		run  func(context.Context, []starter) error
	}{{"memory", c.memory}, {"flat", c.flat}, {"cpu", c.cpu}, {"latency", c.latency}, {"beside", c.beside}} {
		if c.wants(part.name) && ctx.Err() == nil {
			if err := part.run(ctx, []starter{ours, theirs}); err != nil {
				return fmt.Errorf("%s: %w", part.name, err)
			}
		}
	}
	return nil
}

type starter func() (*process, error)

// gatewayFile sets up the daemon for a measurement.
const gatewayFile = `
[gateway]
listen = "127.0.0.1:8813"
insecure = true
sockets = 9000
[[gateway.pool]]
name = "apps"
servers = ["127.0.0.1:8811"]
insecure = true
[[gateway.class]]
name = "any"
repeat = "safe"
aim = "1s"
deadline = "10s"
[[gateway.plan]]
name = "any"
[[gateway.route]]
path = "/{rest...}"
pool = "apps"
class = "any"
plan = "any"
customer = "header:X-Account"
[[gateway.route]]
path = "/down"
pool = "apps"
class = "any"
plan = "any"
customer = "header:X-Account"
long = true
`

// start starts a program and waits until it takes connections.
func start(name, address string, cmd *exec.Cmd) (*process, error) {
	cmd.Stderr = os.Stderr
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	p := &process{cmd, name, address}
	host := strings.TrimPrefix(address, "http://")
	for range 200 {
		nc, err := net.Dial("tcp", host)
		if err == nil {
			nc.Close()
			return p, nil
		}
		time.Sleep(20 * time.Millisecond)
	}
	p.end()
	return nil, fmt.Errorf("%s does not listen on %s", name, host)
}

func (p *process) end() {
	p.cmd.Process.Signal(syscall.SIGTERM)
	late := time.AfterFunc(10*time.Second, func() { p.cmd.Process.Kill() })
	defer late.Stop()
	p.cmd.Wait()
}

// cpu is the processor time that the program has used.
func (p *process) cpu() time.Duration { return usage.CPU(p.cmd.Process.Pid) }

// resident is the program's memory, in MB.
func (p *process) resident() float64 { return usage.Resident(p.cmd.Process.Pid) }

// memory measures resident memory with transfers at once, half up and half down.
func (c *streamingCommand) memory(ctx context.Context, all []starter) error {
	fmt.Println("| program | transfers | at rest, MB | most, MB | more, MB | done | failed or wrong |")
	fmt.Println("|---|---|---|---|---|---|---|")
	g := newGraph("Resident memory", "transfers at once", "MB over rest")
	for _, begin := range all {
		line := g.line("")
		for _, count := range c.Counts {
			p, err := begin()
			if err != nil {
				return err
			}
			line.name = p.name
			rest, most, r, err := c.watched(ctx, p, count, c.For, nil)
			p.end()
			if err != nil {
				return err
			}
			fmt.Printf("| %s | %d | %.1f | %.1f | %.1f | %d | %d |\n", p.name, count, rest, most, most-rest, r.Done,
				r.Failed+r.Wrong+r.Refused)
			if r.FirstError != nil {
				fmt.Fprintln(os.Stderr, "first fault:", r.FirstError)
			}
			line.add(float64(count), most-rest)
		}
	}
	return g.save(filepath.Join(c.Out, "streaming-memory.svg"))
}

// watched makes transfers and follows the program's memory.
func (c *streamingCommand) watched(ctx context.Context, p *process, count int, d time.Duration,
	each func(at time.Duration, mb float64)) (rest, most float64, r *transfers.Report, err error) {
	if _, err := transfers.MeasureLatencies(ctx, p.url+"/small?bytes=100", 100, time.Second); err != nil {
		return 0, 0, nil, err
	}
	rest = p.resident()
	done := make(chan struct{})
	go func() {
		defer close(done)
		r, err = transfers.Run(ctx, transfers.Options{URL: p.url, Count: count, Duration: d,
			SlowSide: transfers.Client}, nil)
	}()
	begun, tick := time.Now(), time.NewTicker(100*time.Millisecond)
	defer tick.Stop()
	for {
		select {
		case <-done:
			return rest, most, r, err
		case <-tick.C:
			mb := p.resident()
			most = max(most, mb)
			if each != nil {
				each(time.Since(begun), mb)
			}
		}
	}
}

// flat watches whether memory grows with time.
func (c *streamingCommand) flat(ctx context.Context, all []starter) error {
	p, err := all[0]()
	if err != nil {
		return err
	}
	defer p.end()
	g := newGraph("Resident memory with 500 transfers", "seconds", "MB")
	line := g.line(p.name)
	var first, last []float64
	rest, most, r, err := c.watched(ctx, p, 500, c.Flat, func(at time.Duration, mb float64) {
		line.add(at.Seconds(), mb)
		switch {
		case at > c.Flat/5 && at < 2*c.Flat/5:
			first = append(first, mb)
		case at > 4*c.Flat/5 && at < c.Flat:
			last = append(last, mb)
		}
	})
	if err != nil {
		return err
	}
	fmt.Printf(
		"\n500 transfers for %v: %.1f MB at rest, %.1f at most; mean of the second fifth %.1f, of the last %.1f;"+
			" done %d, failed or wrong %d\n",
		c.Flat,
		rest,
		most,
		mean(first),
		mean(last),
		r.Done,
		r.Failed+r.Wrong+r.Refused,
	)
	return g.save(filepath.Join(c.Out, "streaming-flat.svg"))
}

func mean(all []float64) float64 {
	sum := 0.0
	for _, x := range all {
		sum += x
	}
	return sum / float64(max(1, len(all)))
}

// cpu measures processor time for a GB each way, in long bodies and in small ones.
func (c *streamingCommand) cpu(ctx context.Context, all []starter) error {
	fmt.Println("\n| program | down, 64 MB bodies, s/GB | up, s/GB | 4 KB answers, µs each |")
	fmt.Println("|---|---|---|---|")
	const rounds = 3
	var names []string
	sums := map[string][]float64{}
	for range rounds {
		for _, begin := range all {
			p, err := begin()
			if err != nil {
				return err
			}
			var used [3]float64
			for i, work := range []func() error{
				func() error { return bulk(ctx, p.url, transfers.Download) },
				func() error { return bulk(ctx, p.url, transfers.Upload) },
				func() error {
					_, err := transfers.MeasureLatencies(ctx, p.url+"/small?bytes=4096", 2000, 5*time.Second)
					return err
				},
			} {
				before := p.cpu()
				if err := work(); err != nil {
					p.end()
					return err
				}
				used[i] = (p.cpu() - before).Seconds()
			}
			p.end()
			fmt.Printf("| %s | %.2f | %.2f | %.0f |\n", p.name, used[0], used[1], used[2]/10000*1e6)
			if sums[p.name] == nil {
				names = append(names, p.name)
				sums[p.name] = make([]float64, len(used))
			}
			for i, s := range used {
				sums[p.name][i] += s / rounds
			}
		}
	}
	return saveBars(filepath.Join(c.Out, "streaming-cpu.svg"), "CPU, mean of three rounds", "seconds",
		[]string{"a GB down", "a GB up", "10,000 small"}, names, sums)
}

// bulk moves a GB in 16 bodies of 64 MB, four at a time.
func bulk(ctx context.Context, address string,
	move func(ctx context.Context, client *http.Client, address string, total int64) error) error {
	client := transfers.NewClient()
	defer client.CloseIdleConnections()
	errs := make(chan error, 4)
	for range 4 {
		go func() {
			var err error
			for range 4 {
				err = errors.Join(err, move(ctx, client, address, 64<<20))
			}
			errs <- err
		}()
	}
	var err error
	for range 4 {
		err = errors.Join(err, <-errs)
	}
	return err
}

// latency measures what the programs add to a server's 5 ms.
func (c *streamingCommand) latency(ctx context.Context, all []starter) error {
	fmt.Println("\n| program | requests a second | p50, ms | p99, ms | served | memory, MB |")
	fmt.Println("|---|---|---|---|---|---|")
	g := newGraph("Small requests, 2,500 a second", "quantile, %", "ms")
	direct := func() (*process, error) { return &process{name: "no ingress", url: "http://127.0.0.1:8811"}, nil }
	for round := range 2 {
		for _, begin := range append([]starter{direct}, all...) {
			p, err := begin()
			if err != nil {
				return err
			}
			for _, rate := range []float64{600, 2500} {
				s, err := transfers.MeasureLatencies(ctx, p.url+"/small?bytes=200", rate, c.For/2)
				if err != nil {
					return err
				}
				mb := 0.0
				if p.cmd != nil {
					mb = p.resident()
				}
				fmt.Printf("| %s | %.0f | %.2f | %.2f | %d of %d | %.1f |\n", p.name, rate, s.Milliseconds(50),
					s.Milliseconds(99), s.Served, s.Sent, mb)
				if round == 1 && rate == 2500 {
					g.line(p.name).quantiles(s)
				}
			}
			if p.cmd != nil {
				p.end()
			}
		}
	}
	return g.save(filepath.Join(c.Out, "streaming-latency.svg"))
}

// beside measures small requests alone, and beside 500 transfers.
func (c *streamingCommand) beside(ctx context.Context, all []starter) error {
	fmt.Println("\n| program | beside | p50, ms | p99, ms | served |")
	fmt.Println("|---|---|---|---|---|")
	g := newGraph("Small requests", "quantile, %", "ms")
	for _, begin := range all {
		p, err := begin()
		if err != nil {
			return err
		}
		for _, beside := range []int{0, 500} {
			done := make(chan error, 1)
			if beside > 0 {
				begun := make(chan struct{})
				go func() {
					_, err := transfers.Run(ctx, transfers.Options{URL: p.url, Count: beside, Duration: 2 * c.For,
						SlowSide: transfers.Client}, func() { close(begun) })
					done <- err
				}()
				<-begun
			} else {
				done <- nil
			}
			s, err := transfers.MeasureLatencies(ctx, p.url+"/small?bytes=200", 300, c.For)
			if err != nil {
				return err
			}
			if err := <-done; err != nil {
				return err
			}
			fmt.Printf("| %s | %d transfers | %.2f | %.2f | %d of %d |\n", p.name, beside,
				s.Milliseconds(50), s.Milliseconds(99), s.Served, s.Sent)
			g.line(fmt.Sprintf("%s, %d transfers", p.name, beside)).quantiles(s)
		}
		p.end()
	}
	return g.save(filepath.Join(c.Out, "streaming-beside.svg"))
}

// quantiles draws how long small requests took.
func (l *graphLine) quantiles(s *transfers.Latencies) {
	for q := 1.0; q < 99.5; q++ {
		l.add(q, s.Milliseconds(q))
	}
}
