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
	"strconv"
	"strings"
	"time"

	"golang.org/x/sys/unix"

	"dunespoke/internal/lab/rig"
	"dunespoke/internal/lab/scale"
)

type scaleCommand struct {
	Only      []string      `help:"What is measured." default:"simulation,operations,processes"`
	Machines  []int         `help:"Sizes of clusters in virtual time." default:"15,84,300,1000"`
	Core      int           `help:"Machines with a disk in these." default:"7"`
	Part      float64       `help:"Of the whole routes, services and servers in these." default:"0.1"`
	Parts     []float64     `help:"With --beside machines, and for single operations." default:"0.01,0.1,0.3,1"`
	Beside    int           `help:"Machines of the clusters whose lists grow." default:"84"`
	Routes    int           `help:"The whole." default:"14000"`
	Services  int           `help:"The whole." default:"830"`
	Servers   int           `help:"The whole." default:"47000"`
	Tenants   int           `help:"The whole." default:"170000"`
	Ingresses int           `help:"The whole, to which slopes are extrapolated." default:"5400"`
	Rate      float64       `help:"Requests a second, the whole." default:"1100000"`
	Zones     int           `help:"The whole." default:"6"`
	Nodes     []int         `help:"Control nodes on loopback, run by run." default:"200" aliases:"hollow"`
	Gateways  int           `help:"Gateways beside them, which are the core." default:"3" aliases:"real"`
	For       time.Duration `help:"How long these are measured." default:"20s"`
	Bin       string        `help:"dunespoke-gateway; none: it is built." type:"existingfile"`
	Within    time.Duration `help:"By when all must have ended." default:"15m"`
	Out       string        `help:"Folder for scale.json and plots; none: neither." type:"existingdir"`
}

// oldPartNames are the names that parts had; they go on for one version.
var oldPartNames = map[string]string{"rehearsal": scale.PartSimulation, "single": scale.PartOperations,
	"lines": scale.PartProcesses}

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
	ctx, cancel := context.WithTimeout(ctx, c.Within)
	defer cancel()
	startedAt := time.Now()
	var rows []scale.Row
	err := c.measure(ctx, func(r scale.Row) { rows = append(rows, r) })
	if errors.Is(err, errUnknownPart) {
		return err
	}
	result := scaleResult{Shared: true, Cores: runtime.GOMAXPROCS(0),
		Took: time.Since(startedAt).Round(time.Second).String(), Slopes: scale.Slopes(rows)}
	if err != nil {
		result.Failed = err.Error()
	}
	c.print(result)
	if c.Out == "" {
		return err
	}
	return errors.Join(err, c.save(result), c.draw(result.Slopes))
}

var errUnknownPart = errors.New("want some of simulation, operations, processes")

// measure measures the parts that are wanted, one after the other, up to the first that fails.
func (c *scaleCommand) measure(ctx context.Context, report func(scale.Row)) error {
	parts := map[string]func(context.Context, func(scale.Row)) error{
		scale.PartSimulation: c.measureSimulation,
		scale.PartOperations: c.measureOperations,
		scale.PartProcesses:  c.measureProcesses,
	}
	for _, name := range c.Only {
		if current := oldPartNames[name]; current != "" {
			name = current
		}
		measure := parts[name]
		if measure == nil {
			return fmt.Errorf("--only %s: %w", name, errUnknownPart)
		}
		if err := measure(ctx, report); err != nil {
			return fmt.Errorf("%s: %w", name, err)
		}
	}
	return nil
}

// save writes scale.json, a line for each slope.
func (c *scaleCommand) save(result scaleResult) error {
	text, err := json.Marshal(result)
	if err != nil {
		return err
	}
	text = bytes.ReplaceAll(text, []byte(`{"part"`), []byte("\n"+`{"part"`))
	return os.WriteFile(filepath.Join(c.Out, "scale.json"), append(text, '\n'), 0o644)
}

// halfOfMemory is half of this machine's memory, in MB.
func halfOfMemory() float64 {
	var i unix.Sysinfo_t
	if unix.Sysinfo(&i) != nil {
		return 4 << 10
	}
	return float64(i.Totalram) * float64(i.Unit) / 2 / (1 << 20)
}

// dataset is a part of the whole, without tenants.
func (c *scaleCommand) dataset(part float64) scale.Dataset {
	of := func(n int) int { return max(1, int(float64(n)*part)) }
	return scale.Dataset{Routes: of(c.Routes), Services: of(c.Services), Servers: of(c.Servers), Zones: c.Zones}
}

func (c *scaleCommand) measureSimulation(ctx context.Context, report func(scale.Row)) error {
	byMachines := scale.Simulated{Core: c.Core, Machines: c.Machines, Dataset: c.dataset(c.Part), Seed: 1,
		Memory: halfOfMemory()}
	if err := byMachines.Run(ctx, report); err != nil {
		return err
	}
	for _, part := range c.Parts {
		byServers := scale.Simulated{Core: c.Core, Machines: []int{c.Beside}, Dataset: c.dataset(part),
			By: "servers", Seed: 1, Memory: halfOfMemory()}
		if err := byServers.Run(ctx, report); err != nil {
			return err
		}
	}
	return nil
}

// tenantsSeen is how many tenants an ingress sees in a minute, if all are alike.
func (c *scaleCommand) tenantsSeen() int {
	requests := c.Rate / float64(c.Ingresses) * 60
	return int(float64(c.Tenants) * (1 - math.Exp(-requests/float64(c.Tenants))))
}

func (c *scaleCommand) measureOperations(ctx context.Context, report func(scale.Row)) error {
	whole := c.dataset(1)
	whole.Tenants = c.Tenants
	operations := scale.Operations{Dataset: whole, Ingresses: c.Ingresses, TenantsSeen: c.tenantsSeen(),
		Sizes: c.Parts, Repeats: 5}
	return operations.Run(ctx, report)
}

func (c *scaleCommand) measureProcesses(ctx context.Context, report func(scale.Row)) error {
	dir, err := os.MkdirTemp("", "dunespoke-lab")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	program := c.Bin
	if program == "" {
		if program, err = rig.Build(dir, "dunespoke-gateway"); err != nil {
			return fmt.Errorf("building the gateway: %w", err)
		}
	}
	dataset := c.dataset(c.Part)
	dataset.Tenants = int(float64(c.Tenants) * c.Part)
	for i, nodes := range c.Nodes {
		run := scale.Processes{Program: program, Dir: filepath.Join(dir, strconv.Itoa(i)), ControlNodes: nodes,
			Gateways: c.Gateways, Dataset: dataset, Duration: c.For, Memory: halfOfMemory()}
		if err := run.Run(ctx, report); err != nil {
			return fmt.Errorf("%d control nodes: %w", nodes, err)
		}
	}
	return nil
}

// print prints a line for each slope.
func (c *scaleCommand) print(r scaleResult) {
	fmt.Printf("%s, %d cores of a machine that others may use, too\n\n", r.Took, r.Cores)
	fmt.Println("| part | case | role | what | unit | by | at | measured | power | last | extrapolated |")
	fmt.Println("|---|---|---|---|---|---|---|---|---|---|---|")
	for _, s := range r.Slopes {
		what := s.What
		if s.Cause != "" {
			what += ": " + s.Cause
		}
		power, last, extrapolated := "", "", ""
		if s.Power != 0 {
			power, last = fmt.Sprintf("%.2f", s.Power), fmt.Sprintf("%.2f", s.Last)
		}
		if s.By == "machines" && s.Last != 0 {
			extrapolated = fmt.Sprintf("%.3g", s.At(float64(c.Ingresses)))
		}
		fmt.Println("|", strings.Join([]string{s.Part, s.Case, s.Role, what, s.Unit, s.By, figures(s.Sizes),
			figures(s.Values), power, last, extrapolated}, " | "), "|")
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
			return named(s.Case == "rest" && s.Role == scale.RoleMiddle && s.What == "sent" && s.By == "machines",
				s.Cause)
		}},
	{"scale-events.svg", "What a core machine sends for an event", "machines, 7 of them of the core", "bytes",
		func(s scale.Slope) string {
			causeOfEvent := map[string]string{
				"route": scale.CauseConfig, "restart": scale.CauseMembers, "list": scale.CauseServers}
			return named(s.By == "machines" && s.Role == scale.RoleMiddle && s.What == "sent" && s.Cause != "" &&
				causeOfEvent[s.Case] == s.Cause, s.Case+": "+s.Cause)
		}},
	{"scale-processor.svg", "Processor time for an event", "machines, 7 of them of the core", "ms",
		func(s scale.Slope) string {
			return named(s.By == "machines" && s.What == "processor" && s.Unit == "ms" && s.Case != "route" &&
				(s.Role == scale.RoleMiddle || s.Role == scale.RoleIngress), s.Case+", "+s.Role)
		}},
	{"scale-configuration.svg", "A configuration of 14,000 routes", "tenants", "ms",
		func(s scale.Slope) string {
			return named(s.Case == "configuration" && s.By == "tenants" && s.Unit == "ms", s.What)
		}},
	{"scale-servers.svg", "A change of the list, and of who is a member", "servers", "ms",
		func(s scale.Slope) string {
			return named(s.Part == scale.PartOperations && s.By == "servers" && s.Unit == "ms", s.What)
		}},
	{"scale-quotas.svg", "A request for tokens", "tenants", "ms",
		func(s scale.Slope) string {
			return named((s.Case == "allocator" || s.Case == "limiter") && s.Unit == "ms", s.Case+": "+s.What)
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
