// Package office is the central office: all that one process does for control, put together. It is pure, and
// is driven by one goroutine, or by the in-memory fleet of the tests.
package node

import (
	"slices"
	"time"

	"dunespoke/internal/controlplane/client"
	"dunespoke/internal/controlplane/message"
	"dunespoke/internal/controlplane/replica"
	"dunespoke/internal/events"
	"dunespoke/internal/ratelimit"
)

// Actions are what an Office does. They must not call it back.
type Actions interface {
	client.Actions
	Save(token uint64, r replica.Record)
}

// Options are what New needs.
type Options struct {
	Self    message.Machine
	Seeds   []string          // addresses for the system's own processes
	Survive replica.Tolerance // of the machines with a disk
	// LostAfter is for how long a machine of the core must be silent before another takes its place; 0: two
	// seconds.
	LostAfter time.Duration
	First     bool // the whole system starts for the first time
	Disk      *replica.Record
	Life      uint64 // of the process: no other has or had it
	Actions   Actions
	Limits    func(tenant string) ratelimit.Limits
}

// Office is one process's part in control.
type Office struct {
	o       Options
	frame   *replica.Frame // nil without a disk
	ext     *client.Extension
	founder *replica.Founder // at seeds, until they are started again without anything kept
	desk    *ratelimit.Desk
	keeping bool
	helloAt time.Duration // when a machine that is of no core yet says so again
	rollAt  time.Duration // and when one of the core tells the seeds
	now     time.Duration
}

// asker has every question of this process say its life, and a machine that staff have removed that it was.
type asker struct {
	Actions
	f *Office
}

func (a asker) Send(to string, m *message.Message) {
	if m.Asks() {
		m.Life = a.f.o.Life
	}
	if m.Kind == message.Hello && a.f.frame != nil {
		m.Barred = a.f.frame.Record().Barred
	}
	a.Actions.Send(to, m)
}

// watch passes an extension's actions on, and takes the members for the desk.
type watch struct {
	Actions
	f *Office
}

func (w watch) Members(list []message.Machine) {
	w.f.desk.Members(w.f.now, list)
	w.Actions.Members(list)
}

// New returns an Office.
func New(now time.Duration, o Options) *Office {
	f := &Office{now: now, desk: ratelimit.NewDesk(o.Limits)}
	o.Actions = asker{o.Actions, f}
	o.Seeds = slices.Sorted(slices.Values(o.Seeds))
	f.o = o
	known := &message.Message{}
	if o.Disk != nil {
		f.frame = replica.New(now, replica.Options{Self: o.Self, Survive: o.Survive, LostAfter: o.LostAfter,
			Life: o.Life, First: o.First, Seeds: o.Seeds, Disk: *o.Disk, Actions: o.Actions})
		known = f.frame.Roll()
	}
	f.found(now)
	f.ext = client.New(now, client.Options{Self: o.Self, Seeds: o.Seeds, Disk: o.Disk != nil,
		First: f.first(), Life: o.Life, Actions: watch{o.Actions, f}}, known)
	return f
}

// first reports whether the whole system starts for the first time: by the settings, or by what the disk says
// from before this process was started again.
func (f *Office) first() bool {
	if f.frame == nil {
		return f.o.First
	}
	return f.frame.Founding().Sure && !f.o.Disk.Whole
}

// found makes this machine's founder. One that is started again votes by what it has on its disk; without a
// disk it may have forgotten what it promised, and has no vote.
func (f *Office) found(now time.Duration) {
	o := replica.FounderOptions{Self: f.o.Self.Addr, Seeds: f.o.Seeds,
		Survive: f.o.Survive, Actions: f.o.Actions, Known: func() bool { return len(f.known()) > 0 }}
	if f.frame == nil {
		o.Kept = replica.Founding{Sure: true, Seeds: o.Seeds}
		o.Keep = func(_ replica.Founding, then func()) { then() }
		if f.o.First && slices.Contains(o.Seeds, o.Self) {
			f.founder = replica.NewFounder(now, o)
		}
		return
	}
	o.Kept = f.frame.Founding()
	o.Keep = func(k replica.Founding, then func()) { f.frame.KeepFounding(f.now, k, then) }
	if o.Kept.Sure {
		o.Seeds = o.Kept.Seeds
	}
	if !f.o.Disk.Whole && (slices.Contains(o.Seeds, o.Self) || !o.Kept.Sure) {
		f.founder = replica.NewFounder(now, o)
	}
}

// Handle takes a message of another process, or of this one. An answer that an earlier life of this process
// asked for, or another process at its address, is dropped.
func (f *Office) Handle(now time.Duration, from string, m *message.Message) {
	f.now = now
	if m.Answers() && m.Life != f.o.Life {
		return
	}
	switch m.Kind {
	case message.Hello:
		f.hello(now, from, m)
	case message.Ask:
		f.ask(now, from, m)
	case message.Pledge, message.Pledged, message.Draft, message.Drafted:
		if f.founder != nil {
			f.founder.Handle(now, from, m)
		}
	case message.News, message.Copy, message.Conflict, message.Reformed:
		f.ext.Handle(now, from, m)
	case message.Roll, message.Notice:
		f.ext.Handle(now, from, m)
		f.toFrame(now, from, m)
	case message.Done, message.Refuse:
		if m.Call != 0 {
			f.ext.Handle(now, from, m)
		} else {
			f.toFrame(now, from, m)
		}
	default:
		f.toFrame(now, from, m)
	}
}

func (f *Office) toFrame(now time.Duration, from string, m *message.Message) {
	if f.frame != nil {
		f.frame.Handle(now, from, m)
	}
}

// hello tells a machine that starts what this one knows of the core.
func (f *Office) hello(now time.Duration, from string, m *message.Message) {
	if f.founder != nil {
		f.founder.Hello(now, from, m)
	}
	if f.frame != nil && m.Disk {
		f.frame.Hello(now, from, m)
	}
	if r := f.roll(); len(r.Registry) > 0 {
		r.Life = m.Life
		f.o.Actions.Send(from, r)
	}
}

// roll is what this machine tells of the core: what its frame has or what it was told, whichever is newer;
// and what a founder has decided where nothing is known.
func (f *Office) roll() *message.Message {
	m := f.ext.Roll()
	if f.frame != nil {
		if own := f.frame.Roll(); len(own.Registry) > 0 && own.Generation >= m.Generation {
			return own
		}
	}
	if len(m.Registry) == 0 && f.founder != nil {
		m.Registry = f.founder.Registry()
	}
	return m
}

// Registry returns the machines of the core, as far as known.
func (f *Office) Registry() []message.Machine { return f.roll().Registry }

// known returns the machines of the core as this one was told them.
func (f *Office) known() []message.Machine {
	if f.frame != nil && len(f.frame.Record().Registry) > 0 {
		return f.frame.Record().Registry
	}
	return f.ext.Registry()
}

func (f *Office) ask(now time.Duration, from string, m *message.Message) {
	if f.keep(now) {
		f.o.Actions.Send(from, f.desk.Ask(now, from, m))
	}
}

// keep opens the desk as soon as that is this machine's duty: stores fill from then on.
func (f *Office) keep(now time.Duration) bool {
	epoch, ok := f.Holds(now, replica.KeepTolls)
	if ok && !f.keeping {
		f.o.Actions.Log(events.TollHeld, "epoch", epoch)
	}
	if f.keeping = ok; ok {
		f.desk.Open(now, epoch)
	}
	return ok
}

// Holds reports whether this process is to do a duty now, and under which epoch.
func (f *Office) Holds(now time.Duration, d replica.Duty) (epoch uint64, ok bool) {
	if f.frame == nil {
		return 0, false
	}
	return f.frame.Holds(now, d)
}

// Servers takes the list of servers, as this process read it by its duty: with the epoch under which it held
// that when the reading began.
func (f *Office) Servers(now time.Duration, epoch uint64, list []message.Server) {
	if f.frame != nil {
		f.frame.List(now, epoch, list)
	}
}

// Saved tells that a save is done, or has failed.
func (f *Office) Saved(now time.Duration, token uint64, ok bool) {
	if f.frame != nil {
		f.frame.Saved(now, token, ok)
	}
}

// helloEvery is how often a machine with a disk that is of no core says that it is there.
const helloEvery = 300 * time.Millisecond

// rollEvery is how often a machine of the core tells its seeds who that is: those that have no disk know
// nothing after a start, and all machines find the core by them.
const rollEvery = 2 * time.Second

// frameTick is how often a frame is to be looked after.
const frameTick = 50 * time.Millisecond

// Tick does what is due, and returns when it wants the next call at the latest.
func (f *Office) Tick(now time.Duration) (next time.Duration) {
	f.now = now
	next = f.ext.Tick(now)
	if f.founder != nil {
		f.founder.Tick(now)
	}
	if f.frame != nil {
		if f.frame.Blank() && now >= f.helloAt { // its line may know the core, and it is none of that yet
			f.helloAt = now + helloEvery
			f.ext.Hello(f.frame.Record().ID)
		}
		if f.frame.State() == replica.InService && now >= f.rollAt {
			f.rollAt = now + rollEvery
			for _, s := range f.ext.Seeds {
				m := f.roll()
				if m.Kind = message.Notice; !slices.ContainsFunc(m.Registry, func(r message.Machine) bool {
					return r.Addr == s
				}) {
					f.o.Actions.Send(s, m)
				}
			}
		}
		f.frame.Tick(now)
		f.keep(now)
		next = min(next, now+frameTick)
	}
	return next
}

// Leave notes that this process was told to stop.
func (f *Office) Leave(now time.Duration) {
	if f.frame != nil {
		f.frame.Leave(now)
	}
}

// HandsOver reports whether another machine is about to take this one's place in the core.
func (f *Office) HandsOver() bool { return f.frame != nil && f.frame.HandsOver() }

// Put hands a configuration to the core.
func (f *Office) Put(now time.Duration, version uint64, config []byte, done func(*message.Message)) {
	f.ext.Put(now, version, config, done)
}

// Reform has the core change its members by hand, or tell them where both addresses are empty. done gets the
// answer, or nil when there was none in time.
func (f *Office) Reform(now time.Duration, add, remove string, done func(*message.Message)) {
	f.ext.Reform(now, add, remove, done)
}

// Read asks the core for the newest configuration. done gets nil when there was no clear answer.
func (f *Office) Read(now time.Duration, done func(version uint64, config []byte)) {
	f.ext.Read(now, done)
}

// Frame returns the frame; nil without a disk.
func (f *Office) Frame() *replica.Frame { return f.frame }

// Seeds takes seeds as they now are.
func (f *Office) Seeds(seeds []string) { f.ext.Seeds = seeds }

// Asks returns the host of the machine of the core that answers this one; nil: none does.
func (f *Office) Asks() *string { return f.ext.Asks() }
