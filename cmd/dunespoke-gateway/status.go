package main

import (
	"cmp"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/gravitational/trace"

	"dunespoke/internal/controlplane/api"
	"dunespoke/internal/controlplane/replica"
	"dunespoke/internal/dataplane/slowlog"
)

type status struct{ query }

// Execute prints the state of a machine and its view of the cluster.
func (c *status) Execute([]string) error {
	var s api.NodeStatus
	if printed, err := c.get("exchange.view", &s); printed || err != nil {
		return err
	}
	fmt.Printf("node %s in %s, ready %v\n", s.Node, s.Zone, s.Ready)
	fmt.Printf("configuration %s, %d endpoints, %d nodes\n", s.Version, s.Endpoints, s.Nodes)
	fmt.Printf("watches %s\n", cmp.Or(s.ConnectedTo, "nobody"))
	fmt.Printf("view %d: %s\n", s.Epoch, cmp.Or(strings.Join(s.Chain, " -> "), "none known"))
	if r := s.Replica; r != nil {
		printReplica(r)
	}
	return nil
}

func printReplica(r *api.ReplicaStatus) {
	fmt.Printf("replica: %s, serves %v, caught up %v, disk unhealthy %v, r%d on disk\n", r.State, r.Serves,
		r.CaughtUp, r.DiskUnhealthy, r.Version)
	fmt.Printf("reaches %d of %d members: %s\n", len(r.Reachable), len(r.Members), strings.Join(r.Reachable,
		", "))
	printTolerance(r.MembershipEpoch, uint64(r.ToleratedFailures), r.ToleranceGap)
	fmt.Printf("roles: %s\n", cmp.Or(strings.Join(roleNames(r.Roles), ", "), "none"))
}

// roleTerms are the displayed names of the roles, by their names in the protocol.
var roleTerms = map[string]string{
	replica.EndpointReader.String(): "endpoint reader",
	replica.QuotaAllocator.String(): "quota allocator",
}

// roleNames returns the displayed names of roles. A role that this version doesn't know keeps its protocol
// name.
func roleNames(roles []string) []string {
	var names []string
	for _, role := range roles {
		names = append(names, cmp.Or(roleTerms[role], role))
	}
	return names
}

type slowRequests struct {
	query
	Route string `long:"route" description:"show only requests of this route"`
	Each  bool   `long:"each" description:"list the requests, newest first, instead of summaries"`
}

// Execute prints the requests of a machine that were late, rejected or failed, and the time spent in each
// phase.
func (c *slowRequests) Execute([]string) error {
	var list api.SlowRequests
	if printed, err := c.get("exchange.late", &list); printed || err != nil {
		return err
	}
	list.Requests = slices.DeleteFunc(list.Requests, func(e slowlog.Entry) bool {
		return c.Route != "" && e.Route != c.Route
	})
	fmt.Printf("node %s: %d since its start, the last %d of them:\n", list.Node, list.Total, len(list.Requests))
	if c.Each {
		return printEntries(list.Requests)
	}
	return printSummaries(slowlog.Summarize(list.Requests))
}

func printEntries(entries []slowlog.Entry) error {
	t := newTable("at", "id", "route", "tenant", "service", "server", "attempts", "end", "quota", "waiting",
		"serving", "total", "target")
	for _, e := range entries {
		t.row(e.At.Format("15:04:05.000"), e.ID, e.Route, e.Tenant, e.Service, e.Server, e.Attempts, e.Outcome,
			millis(e.Quota), millis(e.Waiting), millis(e.Serving), millis(e.Total), millis(e.LatencyTarget))
	}
	return t.flush()
}

func printSummaries(summaries []slowlog.Summary) error {
	t := newTable("n", "route", "tenant", "service", "end", "worst", "mostly")
	for _, s := range summaries {
		t.row(s.Count, s.Route, s.Tenant, s.Service, s.Outcome, millis(s.Worst), s.LongestPhase)
	}
	return t.flush()
}

func millis(d time.Duration) time.Duration { return d.Round(time.Millisecond) }

// table prints rows with aligned columns. It keeps the first error, which flush returns.
type table struct {
	w   *tabwriter.Writer
	err error
}

func newTable(header ...any) *table {
	const padding = 2
	t := &table{w: tabwriter.NewWriter(os.Stdout, 0, 0, padding, ' ', 0)}
	t.row(header...)
	return t
}

func (t *table) row(cells ...any) {
	texts := make([]string, len(cells))
	for i, cell := range cells {
		texts[i] = fmt.Sprint(cell)
	}
	if t.err == nil {
		_, t.err = io.WriteString(t.w, strings.Join(texts, "\t")+"\n")
	}
}

func (t *table) flush() error { return trace.NewAggregate(t.err, t.w.Flush()) }
