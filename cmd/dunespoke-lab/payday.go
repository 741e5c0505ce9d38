package main

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"text/template"
	"time"

	"dunespoke/internal/lab/faults"
	"dunespoke/internal/lab/idp"
	"dunespoke/internal/lab/load"
)

// paydayCommand plays a payday for each way of setting up the front: the service is well, then slow, then
// silent, then back.
type paydayCommand struct {
	Daemon string   `help:"The program to measure." default:"bin/dunespoke" type:"existingfile"`
	Before string   `help:"An older program that knows [introspection.service] alone, as a first row."`
	Rate   float64  `help:"Questions a second." default:"400"`
	Tokens int      `help:"Different tokens." default:"5000"`
	Zipf   float64  `help:"Skew of their use." default:"1.1"`
	Only   []string `help:"Rows to play, by their names; none: all."`
	Runs   int      `help:"Times that each row is played." default:"1"`
	Log    string   `help:"File to which the program's log is added."`
}

// The phases of the day.
const (
	wellTill   = 10 * time.Second
	slowTill   = 25 * time.Second
	silentTill = 35 * time.Second
	dayEnds    = 50 * time.Second
	patience   = 3 * time.Second
	daemonAddr = "127.0.0.1:18700"
	idpAddr    = "127.0.0.1:18801"
)

// phaseNames are the parts of the day.
var phaseNames = [...]string{"Well", "Five times slower", "Silent", "Back"}

const dayScript = `
at 10s for 15s slow x5
at 25s for 10s silent
`

// variant is one way of setting up the front.
type variant struct {
	Name                  string
	Share, Breaker, Cache bool
	Old                   bool
}

var variants = []variant{
	{Name: "before", Old: true},
	{Name: "all off"},
	{Name: "all on", Share: true, Breaker: true, Cache: true},
	{Name: "without sharing", Breaker: true, Cache: true},
	{Name: "without reuse", Share: true, Breaker: true},
	{Name: "without breaker", Share: true, Cache: true},
}

var operatorFile = template.Must(template.New("").Parse(`
[introspection]
listen = "{{.Listen}}"
patience = "3s"
aim = "1s"
cache_for = "{{if .Cache}}10s{{else}}0s{{end}}"
{{if .Old}}
[introspection.service]
servers = ["{{.Service}}"]
{{else}}
insecure = true
cache_inactive = "{{if .Cache}}5s{{else}}0s{{end}}"
share = {{.Share}}
[[introspection.issuer]]
name = "members"
servers = ["{{.Service}}"]
insecure = true
breaker = {{.Breaker}}
{{end}}
[[introspection.plan]]
name = "member"
rate = 5000.0
burst = 10000.0
[[introspection.client]]
id = "example-app"
secret_sha256 = "{{.Secret}}"
plan = "member"
`))

// Run plays all rows and prints their table.
func (c *paydayCommand) Run(ctx context.Context) error {
	var rows strings.Builder
	phases := make([]strings.Builder, len(phaseNames))
	for _, v := range variants {
		if v.Old && c.Before == "" || len(c.Only) > 0 && !contains(c.Only, v.Name) {
			continue
		}
		for run := range c.Runs {
			name := v.Name
			if c.Runs > 1 {
				name = fmt.Sprintf("%s (%d)", name, run+1)
			}
			d, err := c.play(ctx, v)
			if err != nil {
				return fmt.Errorf("%s: %w", name, err)
			}
			fmt.Fprintln(os.Stderr, "played:", name)
			rows.WriteString(d.row(name))
			for i := range phases {
				phases[i].WriteString(tableRow(name, d.report.Phases[i]))
			}
		}
	}
	fmt.Print(
		"The whole day:\n\n| set up | served in time | refused early | late | failed | unanswered | p50 ms | ",
		"p99 ms | questions put | full service after | CPU µs a question |\n",
		strings.Repeat("| --- ", 11),
		"|\n",
		rows.String())
	for i, name := range phaseNames {
		fmt.Print("\n", name, ":\n\n", tableHead("set up"), phases[i].String())
	}
	return nil
}

func contains(all []string, one string) bool {
	for _, s := range all {
		if s == one {
			return true
		}
	}
	return false
}

// day is one day that was played.
type day struct {
	report *load.Report
	put    int64
	cpu    time.Duration
}

func (c *paydayCommand) play(ctx context.Context, v variant) (*day, error) {
	dir, err := os.MkdirTemp("", "payday")
	if err != nil {
		return nil, err
	}
	defer os.RemoveAll(dir)
	sum := sha256.Sum256([]byte("try-me"))
	var text bytes.Buffer
	if err := operatorFile.Execute(&text, struct {
		variant
		Listen, Service, Secret string
	}{v, daemonAddr, idpAddr, hex.EncodeToString(sum[:])}); err != nil {
		return nil, err
	}
	file := filepath.Join(dir, "operator.toml")
	if err := os.WriteFile(file, text.Bytes(), 0o600); err != nil {
		return nil, err
	}
	script, err := faults.Parse(dayScript)
	if err != nil {
		return nil, err
	}
	program := c.Daemon
	if v.Old {
		program = c.Before
	}
	daemon := exec.CommandContext(ctx, program)
	daemon.Env = append(os.Environ(), "DUNESPOKE_OPERATOR="+file, "GOMAXPROCS=1")
	daemon.Cancel = func() error { return daemon.Process.Signal(syscall.SIGTERM) }
	daemon.Stderr = os.Stderr
	if c.Log != "" {
		f, err := os.OpenFile(c.Log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
		if err != nil {
			return nil, err
		}
		defer f.Close()
		daemon.Stdout = f
	}
	if err := daemon.Start(); err != nil {
		return nil, err
	}
	defer func() {
		daemon.Process.Signal(syscall.SIGTERM)
		daemon.Wait()
	}()
	if err := awaitHealth(ctx); err != nil {
		return nil, err
	}
	service, end, err := startIdp(idpAddr, idp.Options{Script: script, Work: 20 * time.Millisecond, Workers: 32})
	if err != nil {
		return nil, err
	}
	defer end()
	report, err := load.Run(ctx, load.Options{URL: "http://" + daemonAddr + "/introspect", ID: "example-app",
		Secret: "try-me", Rate: c.Rate, For: dayEnds, Tokens: c.Tokens, Zipf: c.Zipf, Inactive: 0.02,
		Patience: patience, Early: 50 * time.Millisecond, MostOut: 600,
		Marks: []time.Duration{wellTill, slowTill, silentTill}})
	if err != nil {
		return nil, err
	}
	d := &day{report: report, put: service.Asked()}
	daemon.Process.Signal(syscall.SIGTERM)
	if err := daemon.Wait(); err != nil {
		return nil, fmt.Errorf("the daemon ended: %w", err)
	}
	d.cpu = daemon.ProcessState.UserTime() + daemon.ProcessState.SystemTime()
	return d, ctx.Err()
}

// awaitHealth waits until the daemon says that it serves.
func awaitHealth(ctx context.Context) error {
	for range 100 {
		res, err := http.Get("http://" + daemonAddr + "/healthz")
		if err == nil {
			res.Body.Close()
			if res.StatusCode == http.StatusOK {
				return nil
			}
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(50 * time.Millisecond):
		}
	}
	return errors.New("the daemon is not healthy after 5 s")
}

func (d *day) row(name string) string {
	p := d.report.Total()
	after := "at once"
	if last := d.report.Phases[3].LastBad; last > 0 {
		after = (last - silentTill).Round(10 * time.Millisecond).String()
	}
	return fmt.Sprintf("| %s | %.1f%% | %.1f%% | %.1f%% | %.1f%% | %d | %.1f | %.0f | %.0f%% | %s | %.0f |\n",
		name, percent(p.Served-p.Late, p), percent(p.RefusedEarly, p), percent(p.RefusedLate, p),
		percent(p.Failed+p.Wrong+p.NotAsked, p), p.Unanswered, ms(p, 50), ms(p, 99),
		100*float64(d.put)/float64(p.Asked), after, float64(d.cpu.Microseconds())/float64(p.Asked))
}

func percent(n int, p *load.Phase) float64 { return 100 * float64(n) / float64(max(1, p.Asked)) }

func ms(p *load.Phase, quantile float64) float64 {
	return float64(p.Took.ValueAtQuantile(quantile)) / 1000
}

func tableHead(first string) string {
	return "| " + first + " | asked | served | refused early | refused late | without Retry-After | failed | " +
		"unanswered | wrong | p50 ms | p99 ms |\n" + strings.Repeat("| --- ", 11) + "|\n"
}

func tableRow(name string, p *load.Phase) string {
	return fmt.Sprintf("| %s | %d | %d | %d | %d | %d | %d | %d | %d | %.1f | %.1f |\n", name, p.Asked, p.Served,
		p.RefusedEarly, p.RefusedLate, p.NoRetryAfter, p.Failed+p.NotAsked, p.Unanswered, p.Wrong, ms(p, 50),
		ms(p, 99))
}
