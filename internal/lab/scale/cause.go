package scale

import "dunespoke/exchange/signal"

// The causes of messages.
const (
	Beats         = "beats"         // between machines of the core
	Members       = "members"       // who holds a lease: in beats, and told to everyone
	Servers       = "servers"       // the list of servers
	Configuration = "configuration" // changes, their way down the chain, and reads
	Polls         = "polls"         // questions for news, which renew leases
	Tolls         = "tolls"         // tokens of tenants
	Views         = "views"         // which machines of the core form the chain
	Starts        = "starts"        // of a process, and of the whole
	Other         = "other"
)

// causes says what a whole message is due to. Fields of some kinds have causes of their own: see parts.
var causes = map[signal.Kind]string{
	signal.Ringing: Starts, signal.Hello: Starts, signal.Roll: Starts,
	signal.Pledge: Starts, signal.Pledged: Starts, signal.Draft: Starts, signal.Drafted: Starts,
	signal.Beat: Beats, signal.Poll: Polls, signal.News: Polls, signal.Lineup: Servers,
	signal.Prepare: Views, signal.Promise: Views, signal.Install: Views, signal.Installed: Views,
	signal.Active: Views, signal.Refuse: Views, signal.Learn: Views, signal.Learned: Views,
	signal.Notice: Views, signal.Reform: Views, signal.Reformed: Views,
	signal.Put: Configuration, signal.Done: Configuration, signal.Relay: Configuration,
	signal.Read: Configuration, signal.Copy: Configuration, signal.Confirm: Configuration,
	signal.Confirmed: Configuration, signal.Conflict: Configuration,
	signal.Ask: Tolls, signal.Grant: Tolls,
}

// tables says what a part of a snapshot is due to.
var tables = map[signal.Table]string{signal.ConfigTable: Configuration, signal.ServerTable: Servers,
	signal.MemberTable: Members}

// parts splits a message's bytes by cause.
func parts(m *signal.Message, size int) map[string]int {
	main := causes[m.Kind]
	if main == "" {
		main = Other
	}
	all := map[string]int{}
	take := func(cause string, n int) {
		if cause != main && n > 0 {
			all[cause] += n
			size -= n
		}
	}
	if len(m.Members) > 0 {
		take(Members, length(&signal.Message{Members: m.Members}))
	}
	if m.Config != nil {
		take(Configuration, length(&signal.Message{Config: m.Config}))
	}
	for _, p := range m.Parts {
		take(tables[p.Table], length(&signal.Message{Parts: []signal.Part{p}}))
	}
	if m.Kind == signal.News {
		take(Views, length(&signal.Message{Chain: m.Chain, Registry: m.Registry, Former: m.Former}))
		if m.List != nil { // long: what is left over
			bare := *m
			bare.List, bare.Members, bare.Config, bare.Parts = nil, nil, nil, nil
			bare.Chain, bare.Registry, bare.Former = nil, nil, nil
			take(Servers, size-length(&bare))
		}
	}
	all[main] += size
	return all
}

func length(m *signal.Message) int { return len(signal.Encode(nil, m)) }
