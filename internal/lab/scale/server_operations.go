package scale

import (
	"context"
	"fmt"
	"net"
	"net/http/httptest"
	"runtime"
	"time"

	"dunespoke/choice"
	"dunespoke/core"
	"dunespoke/internal/controlplane/discovery"
	"dunespoke/internal/controlplane/message"
	"dunespoke/internal/dataplane/proxy"
	"dunespoke/internal/events"
	"dunespoke/internal/routing"
	"dunespoke/internal/server"
)

// measureServerList measures what a change of the list of servers costs on its way to an ingress.
func (m *operationsMeter) measureServerList(d Dataset) {
	row := m.rows("list", "servers", d.Servers)
	servers := d.List(0)
	m.measureListCodec(row, servers)
	m.measureListPages(row, servers)
}

// measureListCodec measures the message that carries a list.
func (m *operationsMeter) measureListCodec(row rowReporter, servers []message.Endpoint) {
	update := &message.Message{Body: &message.WatchResponse{
		Endpoints: &message.EndpointList{Epoch: 1, Sequence: 1, Endpoints: servers}}}
	var encoded []byte
	encode := m.measure(func() { encoded = message.MarshalAppend(nil, update) })
	row("message", "MB", float64(len(encoded))/1e6)
	row("encode, for each watch", "ms", encode.milliseconds())
	before := liveHeap()
	var received *message.Message
	decode := m.measure(func() {
		received = new(message.Message)
		m.check(message.Unmarshal(encoded, received))
	})
	row("decode", "ms", decode.milliseconds())
	row("kept", "MB", (liveHeap()-before)/1e6)
	runtime.KeepAlive(received)
}

// measureListPages measures how a list is read from the platform.
func (m *operationsMeter) measureListPages(row rowReporter, servers []message.Endpoint) {
	pages := newPlatform(servers, serversPerPage)
	standIn := httptest.NewServer(pages)
	defer standIn.Close()
	reader := listReader(standIn)
	read := m.measure(func() {
		list, err := reader.Read(context.Background())
		m.check(err)
		if err == nil && len(list) != len(servers) {
			m.check(fmt.Errorf("read %d servers of %d", len(list), len(servers)))
		}
	})
	row("read from the platform", "ms", read.milliseconds())
	row("pages", "MB", pages.bytes()/1e6)
	shortPages := newPlatform(servers, serversPerShortPage)
	shortStandIn := httptest.NewServer(shortPages)
	defer shortStandIn.Close()
	_, err := listReader(shortStandIn).Read(context.Background())
	row("calls for it, 50 servers to a page", "calls", float64(len(shortPages.pages)))
	row("can be read by these", "1: yes", oneIf(err == nil))
}

// listReader returns a reader of the list from a stand-in.
func listReader(standIn *httptest.Server) *discovery.Client {
	return discovery.New(standIn.Listener.Addr().String(), (&net.Dialer{}).DialContext)
}

// dataPlane is the data plane of an ingress, with the cores of all services running.
type dataPlane struct {
	proxy *proxy.Handler
	cores []*core.Core
}

func newDataPlane(ctx context.Context) *dataPlane {
	p := &dataPlane{}
	p.proxy = proxy.New(proxy.Options{NodeAddr: "10.1.0.1:7", Zone: zone(0), Tuning: server.Tuning,
		Clock: func() time.Duration { return time.Hour }, Log: func(events.Event, ...any) {},
		NewCore: func(_ string, settings choice.Settings) (*core.Core, error) {
			c, err := core.New(core.Config{Settings: settings, Seed: 1, Upstream: noUpstream{},
				Log: func(string) {}})
			if err != nil {
				return nil, err
			}
			p.cores = append(p.cores, c)
			go c.Run(ctx)
			return c, nil
		}})
	return p
}

// wait waits until the cores have done what was handed to them before: they answer in order.
func (p *dataPlane) wait() {
	for _, c := range p.cores {
		done := make(chan []string, 1)
		c.Bans(done)
		<-done
	}
}

// measureDataPlane measures what a change costs the data plane of an ingress in whose zone so many stand.
func (m *operationsMeter) measureDataPlane(d Dataset, ingresses int) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	table, err := routing.Parse(Dataset{Routes: d.Routes, Services: d.Services}.Config(1))
	if err != nil {
		m.check(err)
		return
	}
	var nodes []message.Node
	for i := range ingresses {
		nodes = append(nodes, message.Node{Addr: fmt.Sprintf("10.1.%d.%d:7", i>>8, i&255), Zone: zone(0)})
	}
	row := m.rows("data plane", "servers", d.Servers)
	before := liveHeap()
	p := newDataPlane(ctx)
	setConfig := m.measure(func() { p.proxy.SetConfig(table); p.wait() })
	row("use a configuration", "ms", setConfig.milliseconds())
	from := 0
	setEndpoints := m.measure(func() { from++; p.proxy.SetEndpoints(d.List(from)); p.wait() })
	row("take a list that changed by one", "ms", setEndpoints.milliseconds())
	setNodes := m.measure(func() { p.proxy.SetNodes(nodes); p.wait() })
	row("take who is a member", "ms", setNodes.milliseconds())
	row("kept by gates and lists", "MB", (liveHeap()-before)/1e6)
	runtime.KeepAlive(p)
}

// noUpstream is an upstream that is sent nothing.
type noUpstream struct{}

var _ core.Upstream = noUpstream{}

// Start is never called.
func (noUpstream) Start(core.Attempt) core.Running { return nil }

// Drop has nothing to drop.
func (noUpstream) Drop(core.Server) {}
