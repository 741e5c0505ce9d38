package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"os"
	"path/filepath"
	"runtime"
	"strings"
	"time"

	"golang.org/x/sys/unix"

	"dunespoke/internal/lab/rig"
	"dunespoke/internal/lab/scale"
)

type scaleCommand struct {
	Only      []string      `help:"What is measured." default:"rehearsal,single,lines"`
	Machines  []int         `help:"Sizes of clusters in virtual time." default:"15,84,300,1000"`
	Core      int           `help:"Machines with a disk in these." default:"7"`
	Part      float64       `help:"Of the whole routes, services and servers in these." default:"0.1"`
	Parts     []float64     `help:"With --beside machines, and for single operations." default:"0.01,0.1,0.3,1"`
	Beside    int           `help:"Machines of the clusters whose lists grow." default:"84"`
	Routes    int           `help:"The whole." default:"14000"`
	Services  int           `help:"The whole." default:"830"`
	Servers   int           `help:"The whole." default:"47000"`
	Tenants   int           `help:"The whole." default:"170000"`
	Ingresses int           `help:"The whole, to which slopes are led on." default:"5400"`
	Rate      float64       `help:"Requests a second, the whole." default:"1100000"`
	Zones     int           `help:"The whole." default:"6"`
	Hollow    []int         `help:"Hollow processes on loopback lines, run by run." default:"200"`
	Real      int           `help:"Real ones beside them, which are the core." default:"3"`
	For       time.Duration `help:"That these are watched." default:"20s"`
	Bin       string        `help:"dunespoke-gateway; none: it is built." type:"existingfile"`
	Within    time.Duration `help:"By when all must have ended." default:"15m"`
	Out       string        `help:"Folder for scale.json and plots; none: neither." type:"existingdir"`
}

// scaleResult is what scale.json holds.
type scaleResult struct {
	Shared bool          `json:"shared"` // the machine: others may have used its cores, too
	Cores  int           `json:"cores"`  // that this run could use
	Took   string        `json:"took"`
	Failed string        `json:"failed,omitempty"` // what ended the run before its end
	Slopes []scale.Slope `json:"slopes"`
}

// Run measures, and prints a table of slopes.
func (c *scaleCommand) Run(ctx context.Context) error {
	ctx, end := context.WithTimeout(ctx, c.Within)
	defer end()
	began := time.Now()
	var rows []scale.Row
	tell := func(r scale.Row) { rows = append(rows, r) }
	parts := map[string]func(context.Context, func(scale.Row)) error{
		"rehearsal": c.rehearsal, "single": c.single, "lines": c.lines}
	var problem error
	for _, name := range c.Only {
		if parts[name] == nil {
			return fmt.Errorf("--only %s: want some of rehearsal, single, lines", name)
		}
		if problem = parts[name](ctx, tell); problem != nil {
			problem = fmt.Errorf("%s: %w", name, problem)
			break
		}
	}
	result := scaleResult{Shared: true, Cores: runtime.GOMAXPROCS(0),
		Took: time.Since(began).Round(time.Second).String(), Slopes: scale.Slopes(rows)}
	if problem != nil {
		result.Failed = problem.Error()
	}
	c.print(result)
	if c.Out == "" {
		return problem
	}
	b, err := json.Marshal(result)
	if err != nil {
		return err
	}
	b = bytes.ReplaceAll(b, []byte(`{"part"`), []byte("\n"+`{"part"`)) // a line each
	if err := os.WriteFile(filepath.Join(c.Out, "scale.json"), append(b, '\n'), 0o644); err != nil {
		return err
	}
	return errors.Join(problem, c.draw(result.Slopes))
}

// half is half of this machine's memory, in MB.
func half() float64 {
	var i unix.Sysinfo_t
	if unix.Sysinfo(&i) != nil {
		return 4 << 10
	}
	return float64(i.Totalram) * float64(i.Unit) / 2 / (1 << 20)
}

func (c *scaleCommand) made(part float64) scale.Made {
	of := func(n int) int { return max(1, int(float64(n)*part)) }
	return scale.Made{Routes: of(c.Routes), Services: of(c.Services), Servers: of(c.Servers), Zones: c.Zones}
}

func (c *scaleCommand) rehearsal(ctx context.Context, tell func(scale.Row)) error {
	v := scale.Virtual{Core: c.Core, Machines: c.Machines, Made: c.made(c.Part), Seed: 1, Memory: half()}
	if err := v.Run(ctx, tell); err != nil {
		return err
	}
	for _, part := range c.Parts {
		v := scale.Virtual{Core: c.Core, Machines: []int{c.Beside}, Made: c.made(part), By: "servers", Seed: 1,
			Memory: half()}
		if err := v.Run(ctx, tell); err != nil {
			return err
		}
	}
	return nil
}

// seen is how many tenants an ingress sees in a minute, if all are alike.
func (c *scaleCommand) seen() int {
	calls := c.Rate / float64(c.Ingresses) * 60
	return int(float64(c.Tenants) * (1 - math.Exp(-calls/float64(c.Tenants))))
}

func (c *scaleCommand) single(ctx context.Context, tell func(scale.Row)) error {
	whole := c.made(1)
	whole.Tenants = c.Tenants
	s := scale.Single{Made: whole, Ingresses: c.Ingresses, Seen: c.seen(), Sizes: c.Parts, Tries: 5}
	return s.Run(ctx, tell)
}

func (c *scaleCommand) lines(ctx context.Context, tell func(scale.Row)) error {
	dir, err := os.MkdirTemp("", "dunespoke-lab")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	program := c.Bin
	if program == "" {
		if program, err = rig.Build(dir, "dunespoke-gateway"); err != nil {
			return err
		}
	}
	made := c.made(c.Part)
	made.Tenants = int(float64(c.Tenants) * c.Part)
	for i, n := range c.Hollow {
		l := scale.Lines{Program: program, Dir: filepath.Join(dir, fmt.Sprint(i)), Hollow: n, Real: c.Real,
			Made: made, For: c.For, Memory: half()}
		if err := l.Run(ctx, tell); err != nil {
			return fmt.Errorf("%d hollow processes: %w", n, err)
		}
	}
	return nil
}

// print prints a line for each slope.
func (c *scaleCommand) print(r scaleResult) {
	fmt.Printf("%s, %d cores of a machine that others may use, too\n\n", r.Took, r.Cores)
	fmt.Println("| part | case | role | what | unit | by | at | measured | power | last | led on |")
	fmt.Println("|---|---|---|---|---|---|---|---|---|---|---|")
	for _, s := range r.Slopes {
		what := s.What
		if s.Cause != "" {
			what += ": " + s.Cause
		}
		power, last, on := "", "", ""
		if s.Power != 0 {
			power, last = fmt.Sprintf("%.2f", s.Power), fmt.Sprintf("%.2f", s.Last)
		}
		if s.By == "machines" && s.Last != 0 {
			on = fmt.Sprintf("%.3g", s.At(float64(c.Ingresses)))
		}
		fmt.Println("|", strings.Join([]string{s.Part, s.Case, s.Role, what, s.Unit, s.By, figures(s.Sizes),
			figures(s.Values), power, last, on}, " | "), "|")
	}
}

func figures(list []float64) string {
	var texts []string
	for _, v := range list {
		texts = append(texts, fmt.Sprintf("%.3g", v))
	}
	return strings.Join(texts, ", ")
}

// plots are the graphs that are drawn of slopes: which rows, and what tells them apart.
var plots = []struct {
	file, title, x, y string
	line              func(s scale.Slope) string // empty: it is not drawn
}{
	{"scale-rest.svg", "What a core machine sends at rest", "machines, 7 of them of the core", "bytes a second",
		func(s scale.Slope) string {
			return named(s.Case == "rest" && s.Role == scale.Middle && s.What == "sent" && s.By == "machines", s.Cause)
		}},
	{"scale-events.svg", "What a core machine sends for an event", "machines, 7 of them of the core", "bytes",
		func(s scale.Slope) string {
			main := map[string]string{"route": scale.Configuration, "restart": scale.Members, "list": scale.Servers}
			return named(s.By == "machines" && s.Role == scale.Middle && s.What == "sent" && s.Cause != "" &&
				main[s.Case] == s.Cause, s.Case+": "+s.Cause)
		}},
	{"scale-processor.svg", "Processor time for an event", "machines, 7 of them of the core", "ms",
		func(s scale.Slope) string {
			return named(s.By == "machines" && s.What == "processor" && s.Unit == "ms" && s.Case != "route" &&
				(s.Role == scale.Middle || s.Role == scale.Ingress), s.Case+", "+s.Role)
		}},
	{"scale-configuration.svg", "A configuration of 14,000 routes", "tenants", "ms",
		func(s scale.Slope) string {
			return named(s.Case == "configuration" && s.By == "tenants" && s.Unit == "ms", s.What)
		}},
	{"scale-servers.svg", "A change of the list, and of who is a member", "servers", "ms",
		func(s scale.Slope) string {
			return named(s.Part == "single" && s.By == "servers" && s.Unit == "ms", s.What)
		}},
	{"scale-tolls.svg", "A question about tokens", "tenants", "ms",
		func(s scale.Slope) string {
			return named((s.Case == "desk" || s.Case == "meter") && s.Unit == "ms", s.Case+": "+s.What)
		}},
}

func named(drawn bool, name string) string {
	if drawn && name != "" {
		return name
	}
	return ""
}

func (c *scaleCommand) draw(slopes []scale.Slope) error {
	for _, p := range plots {
		g := newGraph(p.title, p.x, p.y)
		g.log = true
		for _, s := range slopes {
			name := p.line(s)
			if name == "" {
				continue
			}
			line := g.line(name)
			for i := range s.Sizes {
				line.add(s.Sizes[i], s.Values[i])
			}
		}
		if len(g.lines) == 0 {
			continue
		}
		if err := g.save(filepath.Join(c.Out, p.file)); err != nil {
			return fmt.Errorf("%s: %w", p.file, err)
		}
	}
	return nil
}
