package replica

import (
	"slices"
	"time"

	"dunespoke/internal/controlplane/message"
)

// put is a configuration that waits to be acknowledged.
type put struct {
	from   string
	life   uint64 // of the process that asked
	call   uint64
	entry  message.Taken
	config []byte
	came   time.Duration
	rides  bool          // it has gone down the chain in this view: what that ends with is its answer
	asked  time.Duration // when a majority was asked last
}

// of reports whether it is a call of a process.
func (p *put) of(from string, life, call uint64) bool {
	return p.from == from && p.life == life && p.call == call
}

// ask is a question to a majority, whether this machine's view is still the newest that can be in service.
type ask struct {
	yes   map[string]bool
	began time.Duration
	then  func()
}

// place is this machine's in the chain; -1: in none.
func (f *Frame) place() int {
	if f.state != InService {
		return -1
	}
	return slices.Index(f.chain, f.self)
}

// sendOn tells who asked that this is not the machine to ask, and which view it knows.
func (f *Frame) sendOn(from string, m *message.Message) {
	f.Actions.Send(from, &message.Message{Kind: message.Refuse, Life: m.Life, Call: m.Call, Epoch: f.epoch,
		Chain: f.chain})
}

// put takes a configuration at the head.
func (f *Frame) put(from string, m *message.Message) {
	if f.place() != 0 || len(f.puts) >= mostPuts {
		f.sendOn(from, m)
		return
	}
	if slices.ContainsFunc(f.puts, func(p put) bool { return p.of(from, m.Life, m.Call) }) {
		return
	}
	if m.Config == nil {
		return
	}
	config, err := m.Config.Unpack(0, nil)
	if err != nil {
		return
	}
	f.puts = append(f.puts, put{from: from, life: m.Life, call: m.Call, config: config, came: f.now,
		entry: message.Taken{Version: m.Version, Digest: message.SumOf(config)}})
	f.advance()
}

// advance answers for what the chain has, and starts on the next: all that wait go down the chain at once,
// the highest number with its text, those below it as numbers that are taken.
func (f *Frame) advance() {
	if f.place() != 0 {
		return
	}
	f.conclude()
	if f.next.Version > f.committed { // one is on its way
		return
	}
	var batch []message.Taken
	for i := range f.puts {
		p := &f.puts[i]
		if p.entry.Version <= f.committed {
			continue
		}
		batch = append(batch, p.entry)
		if p.rides = true; p.entry.Version > f.next.Version {
			f.next.Version, f.next.Config = p.entry.Version, p.config
		}
	}
	if len(batch) == 0 {
		return
	}
	f.next.Stamp, f.next.Past = f.epoch, Remember(f.next.Past, batch...)
	f.saveAndRelay()
}

// conclude answers those whose numbers are not above what is committed. What has gone down the chain in this
// view was taken by all of it; for the rest a majority is asked first whether this is the head still.
func (f *Frame) conclude() {
	f.puts = slices.DeleteFunc(f.puts, func(p put) bool {
		if p.entry.Version > f.committed || !p.rides {
			return false
		}
		f.verdict(p)
		return true
	})
	for i := range f.puts {
		if p := &f.puts[i]; p.entry.Version <= f.committed && (p.asked == 0 || f.now >= p.asked+resendEvery) {
			p.asked = f.now
			defer f.confirm(p.from, p.life, p.call) // which may answer at once, and drops it then
		}
	}
}

// confirm answers one that waits, once a majority has said that this is the head still.
func (f *Frame) confirm(from string, life, call uint64) {
	f.ask(func() {
		f.puts = slices.DeleteFunc(f.puts, func(p put) bool {
			if !p.of(from, life, call) {
				return false
			}
			f.verdict(p)
			return true
		})
	})
}

// verdict answers for a number that is not above what is committed: one that stands with the same text is
// acknowledged, however often it comes, and with another is a conflict. One of which nothing is remembered is
// acknowledged and changes nothing, since the highest version wins.
func (f *Frame) verdict(p put) {
	m := &message.Message{Kind: message.Done, Life: p.life, Call: p.call, Version: f.committed, OK: true}
	if sum, known := f.next.digest(p.entry.Version); known && sum != p.entry.Digest {
		m.Kind, m.OK = message.Conflict, false
	}
	f.Actions.Send(p.from, m)
}

// saveAndRelay saves what came down the chain, and passes it on; the tail says that it is done.
func (f *Frame) saveAndRelay() {
	epoch := f.epoch
	f.save(func() {
		if f.epoch == epoch && f.next.Promised == epoch {
			f.pass()
		}
	})
}

// pass sends what is on disk down the chain.
func (f *Frame) pass() {
	at := f.place()
	if at < 0 {
		return
	}
	again := f.passed == f.rec.Version // the first time did not do it: without a base
	f.sentAt, f.passed = f.now, f.rec.Version
	if at < len(f.chain)-1 {
		f.Actions.Send(
			f.chain[at+1],
			&message.Message{Kind: message.Relay, Epoch: f.epoch, Version: f.rec.Version,
				Past: f.rec.above(f.committed), Config: f.packed(f.held(), f.committed, !again)},
		)
		return
	}
	m := &message.Message{Kind: message.Done, Epoch: f.epoch, Version: f.rec.Version}
	for _, to := range f.chain[:at] {
		f.Actions.Send(to, m)
	}
	f.done(m)
}

// relayed takes what comes down the chain.
func (f *Frame) relayed(from string, m *message.Message) {
	at := f.place()
	if at <= 0 || m.Epoch != f.epoch || f.next.Promised != f.epoch || f.chain[at-1] != from {
		return
	}
	switch {
	case m.Version > f.next.Version && m.Config != nil:
		// The head starts on the next once what came before is done.
		f.done(&message.Message{Epoch: f.epoch, Version: f.rec.Version})
		config, err := m.Config.Unpack(f.next.Version, f.next.Config)
		if err != nil {
			return // it comes again, whole
		}
		f.next.Content = Content{Stamp: f.epoch, Version: m.Version, Config: config,
			Past: Remember(f.next.Past, m.Past...)}
		f.saveAndRelay()
	case m.Version == f.rec.Version: // once more: an answer was lost
		f.pass()
	}
}

// done tells that the tail has a version: it is committed.
func (f *Frame) done(m *message.Message) {
	if f.state != InService || m.Epoch != f.epoch || m.Version <= f.committed || m.Version > f.rec.Version {
		return
	}
	f.commit(m.Version)
	f.news()
	f.advance()
}

// mostTexts is how many configurations are kept, to tell newer ones as changes of them.
const mostTexts = 4

// commit notes that a version can't be lost any more.
func (f *Frame) commit(version uint64) {
	f.committed = max(f.committed, version)
	if f.rec.Version != f.committed || len(f.texts) > 0 && f.texts[len(f.texts)-1].version == f.committed {
		return
	}
	f.texts = append(f.texts, text{f.committed, f.rec.Config})
	if len(f.texts) > mostTexts {
		f.texts = f.texts[1:]
	}
	clear(f.packs)
}

// held is the configuration on disk.
func (f *Frame) held() text { return text{f.rec.Version, f.rec.Config} }

// packed is a configuration as a change of a version, if that is wanted and known. It is made once for all
// who ask with the same.
func (f *Frame) packed(t text, base uint64, change bool) *message.Packed {
	var old []byte
	if i := slices.IndexFunc(f.texts, func(t text) bool { return t.version == base }); i >= 0 && change {
		old = f.texts[i].text
	} else {
		base = 0
	}
	key := [2]uint64{t.version, base}
	p := f.packs[key]
	if p == nil {
		p = message.Pack(t.text, base, old)
		if len(f.packs) >= 2*mostTexts {
			clear(f.packs)
		}
		f.packs[key] = p
	}
	return p
}

// resend sends again what may have been lost on its way, and drops what has waited too long.
func (f *Frame) resend() {
	if f.place() == 0 && f.rec.Version > f.committed && f.now >= f.sentAt+resendEvery {
		f.pass()
	}
	f.puts = slices.DeleteFunc(f.puts, func(p put) bool { return f.now > p.came+5*time.Second })
	f.advance() // for those that a majority has not been heard about
	for id, r := range f.asks {
		if f.now > r.began+time.Second {
			delete(f.asks, id)
		}
	}
}

// read answers from the tail, once a majority has said that no later view can be in service.
func (f *Frame) read(from string, m *message.Message) {
	if at := f.place(); at < 0 || at != len(f.chain)-1 || len(f.asks) >= mostPuts {
		f.sendOn(from, m)
		return
	}
	f.ask(func() {
		if f.rec.Version != f.committed { // it is being passed on
			return
		}
		answer := &message.Message{Kind: message.Copy, Life: m.Life, Call: m.Call, Version: f.committed, OK: true}
		if f.committed > m.Version {
			answer.Config = f.packed(f.held(), m.Version, true)
		}
		f.Actions.Send(from, answer)
	})
}

// ask asks a majority whether this machine's view is the newest that can be in service, and goes on once it
// has said so. Without a majority nothing comes of it.
func (f *Frame) ask(then func()) {
	f.askSeq++
	f.asks[f.askSeq] = &ask{yes: map[string]bool{}, began: f.now, then: then}
	for _, r := range f.rec.Registry {
		if r.Addr != f.self {
			f.Actions.Send(r.Addr, &message.Message{Kind: message.Confirm, Call: f.askSeq, Epoch: f.epoch})
		}
	}
	f.confirmed(f.self, &message.Message{Call: f.askSeq, Epoch: f.epoch, OK: f.next.Promised == f.epoch})
}

func (f *Frame) confirmed(from string, m *message.Message) {
	r := f.asks[m.Call]
	if r == nil || !m.OK || m.Epoch != f.epoch || !f.ofCore(from) || f.state != InService {
		return
	}
	r.yes[from] = true
	if !quorate(func(m message.Machine) bool { return r.yes[m.Addr] && f.is(m) }, f.next.voters()...) {
		return
	}
	delete(f.asks, m.Call)
	r.then()
}
