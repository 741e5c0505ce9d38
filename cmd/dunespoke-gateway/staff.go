package main

import (
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/gravitational/trace"

	"dunespoke/internal/controlplane/api"
	"dunespoke/internal/controlplane/message"
	"dunespoke/internal/controlplane/storage"
	"dunespoke/internal/dataplane/slowlog"
	"dunespoke/internal/routing"
)

// callLimit is for a call with its answer; longest is the most that is read of that.
const (
	callLimit = 5 * time.Second
	longest   = message.MaxFrameSize
)

// at is the machine that is called.
type at struct {
	At string `long:"at" required:"yes" description:"control address of any machine, as in 10.1.0.13:8381"`
}

// call makes a call and returns its answer. An answer that is not 200 is an error with its text.
func (a at) call(name string, body []byte) ([]byte, error) {
	method := http.MethodGet
	if body != nil {
		method = http.MethodPost
	}
	req, err := http.NewRequest(method, "http://"+a.At+"/api/rpc?call="+name, bytes.NewReader(body))
	if err != nil {
		return nil, trace.BadParameter("--at %s: %v", a.At, err)
	}
	answer, err := (&http.Client{Timeout: callLimit}).Do(req)
	if err != nil {
		return nil, trace.ConnectionProblem(err, "%s does not answer", a.At)
	}
	defer answer.Body.Close()
	text, err := io.ReadAll(io.LimitReader(answer.Body, longest))
	if err != nil {
		return nil, trace.ConnectionProblem(err, "%s broke off its answer", a.At)
	}
	if answer.StatusCode != http.StatusOK {
		return nil, trace.BadParameter("%s answers %s: %s", a.At, answer.Status, bytes.TrimSpace(text))
	}
	return text, nil
}

// asked is a call whose answer is a document.
type asked struct {
	at
	JSON bool `long:"json" description:"print the answer as it came"`
}

// ask makes the call. The answer is read, or, where that is wanted, printed as it came: done is true then.
func (a asked) ask(name string, into any) (done bool, err error) {
	text, err := a.call(name, nil)
	if err != nil {
		return true, err
	}
	if a.JSON {
		_, err = os.Stdout.Write(append(text, '\n'))
		return true, trace.Wrap(err)
	}
	if err := json.Unmarshal(text, into); err != nil {
		return true, trace.BadParameter("%s does not answer as this program does: %v", a.At, err)
	}
	return false, nil
}

type view struct{ asked }

// Execute tells how a machine sees the exchange.
func (c *view) Execute([]string) error {
	var v api.NodeStatus
	if done, err := c.ask("exchange.view", &v); done {
		return err
	}
	fmt.Printf("node %s in %s, ready %v\n", v.Node, v.Zone, v.Ready)
	fmt.Printf("configuration %s, %d servers, %d members\n", v.Version, v.Endpoints, v.Nodes)
	fmt.Printf("asks %s for news\n", cmp.Or(v.ConnectedTo, "nobody"))
	fmt.Printf("view %d: %s\n", v.Epoch, cmp.Or(strings.Join(v.Chain, " -> "), "none known"))
	if k := v.Replica; k != nil {
		fmt.Printf("of the core: %s, serves %v, whole %v, sick %v, r%d on disk\n", k.State, k.Serves, k.CaughtUp,
			k.DiskUnhealthy, k.Version)
		fmt.Printf("hears %d of %d: %s\n", len(k.Reachable), len(k.Members), strings.Join(k.Reachable, ", "))
		printSpare(k.MembershipEpoch, uint64(k.ToleratedFailures), k.ToleranceGap)
		fmt.Printf("duties: %s\n", cmp.Or(strings.Join(k.Roles, ", "), "none"))
	}
	return nil
}

type late struct {
	asked
	Route string `long:"route" description:"of this route alone"`
	Each  bool   `long:"each" description:"each request, the last one first, and not their sums"`
}

// Execute tells which requests of a machine ran late or were given up, and where their time went.
func (c *late) Execute([]string) error {
	var l api.SlowRequests
	if done, err := c.ask("exchange.late", &l); done {
		return err
	}
	l.Requests = slices.DeleteFunc(l.Requests, func(x slowlog.Entry) bool {
		return c.Route != "" && x.Route != c.Route
	})
	fmt.Printf("node %s: %d since its start, the last %d of them:\n", l.Node, l.Total, len(l.Requests))
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	if c.Each {
		row(w, "at", "id", "route", "tenant", "service", "server", "tries", "end", "quota", "waiting", "serving",
			"total", "target")
		for _, x := range l.Requests {
			row(w, x.At.Format("15:04:05.000"), x.ID, x.Route, x.Tenant, x.Service, x.Server, x.Attempts, x.Outcome,
				ms(x.Quota), ms(x.Waiting), ms(x.Serving), ms(x.Total), ms(x.LatencyTarget))
		}
		return trace.Wrap(w.Flush())
	}
	row(w, "n", "route", "tenant", "service", "end", "worst", "mostly")
	for _, s := range slowlog.Summarize(l.Requests) {
		row(w, s.Count, s.Route, s.Tenant, s.Service, s.Outcome, ms(s.Worst), s.LongestPhase)
	}
	return trace.Wrap(w.Flush())
}

// row writes a line of a table.
func row(w io.Writer, cells ...any) {
	for i, c := range cells {
		if i > 0 {
			fmt.Fprint(w, "\t")
		}
		fmt.Fprint(w, c)
	}
	fmt.Fprintln(w)
}

func ms(d time.Duration) time.Duration { return d.Round(time.Millisecond) }

type configRead struct{ at }

// Execute prints the newest configuration, as it was sent.
func (c *configRead) Execute([]string) error {
	text, err := c.call("config.read", nil)
	if err == nil {
		_, err = os.Stdout.Write(text)
	}
	return trace.Wrap(err)
}

// file is a configuration in a file.
type file struct {
	Args struct {
		File string `positional-arg-name:"FILE" description:"a configuration, JSON"`
	} `positional-args:"yes" required:"yes"`
}

func (f file) read() ([]byte, *routing.Table, error) {
	text, err := os.ReadFile(f.Args.File)
	if err != nil {
		return nil, nil, trace.ConvertSystemError(err)
	}
	d, err := routing.Validate(text)
	return text, d, trace.Wrap(err, "%s", f.Args.File)
}

type configPut struct {
	at
	file
}

// Execute sends a configuration, after it was checked here.
func (c *configPut) Execute([]string) error {
	text, d, err := c.read()
	if err != nil {
		return err
	}
	if _, err := c.call("config.replace", text); err != nil {
		return err
	}
	fmt.Printf("%s: acknowledged\n", d)
	return nil
}

type configDiff struct {
	at
	file
}

// Execute tells what a configuration would change of the newest.
func (c *configDiff) Execute([]string) error {
	_, fresh, err := c.read()
	if err != nil {
		return err
	}
	text, err := c.call("config.read", nil)
	if err != nil {
		return err
	}
	old, err := routing.Parse(text)
	if err != nil {
		return trace.Wrap(err, "the newest configuration")
	}
	if fresh.Version <= old.Version {
		fmt.Printf("r%d is not above r%d: it would be acknowledged, and change nothing\n", fresh.Version,
			old.Version)
	}
	for _, line := range routing.Diff(old, fresh) {
		fmt.Println(line)
	}
	return nil
}

// folder is a machine's.
type folder struct {
	Args struct {
		Dir string `positional-arg-name:"DIR" description:"a stopped machine's data_dir"`
	} `positional-args:"yes" required:"yes"`
}

type storeCheck struct{ folder }

// Execute looks at a stopped machine's store, and checks what is in it.
func (c *storeCheck) Execute([]string) error {
	s, err := storage.ReadSnapshot(c.Args.Dir)
	if err != nil {
		return err
	}
	config := "no configuration yet"
	if s.Version > 0 {
		d, err := routing.Parse([]byte(s.Config))
		if err != nil {
			return trace.Wrap(err, "the configuration in the store")
		}
		if d.Version != s.Version {
			return trace.CompareFailed("the store says r%d, its configuration r%d", s.Version, d.Version)
		}
		config = d.String()
	}
	fmt.Printf(
		"whole %v, epoch %d, core %s\n",
		s.CaughtUp,
		s.Epoch,
		cmp.Or(strings.Join(s.Members, ", "), "none"),
	)
	fmt.Printf("last view %s\n%s\ngood\n", cmp.Or(strings.Join(s.Chain, " -> "), "none"), config)
	return nil
}

type storeExport struct{ folder }

// Execute prints a stopped machine's store as a document. It holds tenants' keys.
func (c *storeExport) Execute([]string) error {
	s, err := storage.ReadSnapshot(c.Args.Dir)
	if err != nil {
		return err
	}
	text, err := s.Encode()
	if err == nil {
		_, err = os.Stdout.Write(text)
	}
	return trace.Wrap(err)
}

type storeFound struct {
	From string   `long:"from" required:"yes" description:"file that store export wrote"`
	Core []string `long:"core" required:"yes" description:"machine of the new core, ZONE=ADDRESS; for each"`
	Args struct {
		Dir string `positional-arg-name:"DIR" description:"this machine's data_dir; it must hold no store"`
	} `positional-args:"yes" required:"yes"`
}

// Execute makes one machine's store of a core that is founded anew.
func (c *storeFound) Execute([]string) error {
	text, err := os.ReadFile(c.From)
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	s, err := storage.DecodeSnapshot(text)
	if err != nil {
		return trace.Wrap(err, "%s", c.From)
	}
	var core []message.Node
	for _, text := range c.Core {
		zone, addr, ok := strings.Cut(text, "=")
		if !ok || zone == "" || addr == "" {
			return trace.BadParameter("--core %s: want ZONE=ADDRESS", text)
		}
		core = append(core, message.Node{Addr: addr, Zone: zone})
	}
	if err := storage.Restore(c.Args.Dir, s, core); err != nil {
		return err
	}
	fmt.Printf("r%d in a core of %d machines; do the same on all of them before any is started\n", s.Version,
		len(core))
	return nil
}
