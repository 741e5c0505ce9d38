package scale

import "dunespoke/internal/controlplane/message"

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
var causes = map[message.Kind]string{
	message.Ringing: Starts, message.Hello: Starts, message.Roll: Starts,
	message.Pledge: Starts, message.Pledged: Starts, message.Draft: Starts, message.Drafted: Starts,
	message.Beat: Beats, message.Poll: Polls, message.News: Polls, message.Lineup: Servers,
	message.Prepare: Views, message.Promise: Views, message.Install: Views, message.Installed: Views,
	message.Active: Views, message.Refuse: Views, message.Learn: Views, message.Learned: Views,
	message.Notice: Views, message.Reform: Views, message.Reformed: Views,
	message.Put: Configuration, message.Done: Configuration, message.Relay: Configuration,
	message.Read: Configuration, message.Copy: Configuration, message.Confirm: Configuration,
	message.Confirmed: Configuration, message.Conflict: Configuration,
	message.Ask: Tolls, message.Grant: Tolls,
}

// tables says what a part of a snapshot is due to.
var tables = map[message.Table]string{message.ConfigTable: Configuration, message.ServerTable: Servers,
	message.MemberTable: Members}

// parts splits a message's bytes by cause.
func parts(m *message.Message, size int) map[string]int {
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
		take(Members, length(&message.Message{Members: m.Members}))
	}
	if m.Config != nil {
		take(Configuration, length(&message.Message{Config: m.Config}))
	}
	for _, p := range m.Parts {
		take(tables[p.Table], length(&message.Message{Parts: []message.Part{p}}))
	}
	if m.Kind == message.News {
		take(Views, length(&message.Message{Chain: m.Chain, Registry: m.Registry, Former: m.Former}))
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

func length(m *message.Message) int { return len(message.Encode(nil, m)) }
