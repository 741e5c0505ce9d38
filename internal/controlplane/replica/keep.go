package replica

import (
	"slices"

	"dunespoke/internal/controlplane/message"
)

// Who keeps the counts gives tokens away, and two who do so at once give twice what there is: the epoch of a
// grant can't tell, since each is asked by those who know of no other. So that duty is held by a lease, and
// its next holder waits until no lease of an earlier one can be left.
//
// A holder has a lease of each machine that has told it, in service in its view, of a beat that the holder
// sent less than keepFor ago, and gives only with those of a majority. A later view has the promises of a
// majority, so that one of these has left the holder's view: it told of beats that had come to it by then. So
// the lease has run out keepFor after the later view began; sooner, if that machine has had nothing for so
// long from who took no part in the later view, or those have heard it in that. Who took part, in the chain
// or by leaving the core, has left the view before.

// keepFor is how long a lease of the counts lasts, from the holder's own sending. A machine that falls silent
// to all is missed, and the wish for another view has lasted, after more than that: nothing is waited for.
const keepFor = contactFor

// keep is what a machine knows of leases of the counts in the view that it has in service.
type keep struct {
	took  []string // the machines that took part in it
	first uint64   // this machine's first beat under it
	quiet bool     // it has said that no other machine can have a lease of it any more
}

// keepsQuiet notes the first beat under a view, and reports whether none who took no part in that can have a
// lease of this machine any more.
func (f *Frame) keepsQuiet(beat uint64) bool {
	if f.keep.first == 0 {
		f.keep.first = beat
	}
	f.keep.quiet = f.keep.quiet || f.quiet()
	return f.keep.quiet
}

// quiet reports that anew. What an earlier life of this process told, it does not know; that is nothing to
// those who have heard it in this view.
func (f *Frame) quiet() bool {
	knows := func(addr string) bool {
		p := f.peers[addr]
		return slices.Contains(f.keep.took, addr) || p != nil && p.left == f.epoch
	}
	for addr, p := range f.peers {
		if f.now <= p.beatCame+keepFor && !knows(addr) {
			return false
		}
	}
	return f.now > f.begun+keepFor || !slices.ContainsFunc(f.concerned(), func(m message.Machine) bool {
		return !knows(m.Addr)
	})
}

// leaseTold takes what a beat tells of leases: that of its sender, counted from the beat that it answers;
// that the sender has heard this machine in its view, and has none of it in an earlier one any more; and
// whether others may have one of the sender.
func (f *Frame) leaseTold(p *peer, m *message.Message) {
	sent, known := f.beatsSent.time(m.Echo)
	if p.leased = 0; known && p.epoch == m.Epoch {
		p.leased = sent
	}
	if m.Quiet {
		p.quietIn = max(p.quietIn, m.Epoch)
	}
	if !known || f.state != InService || m.Echo < f.keep.first {
		return
	}
	if p.left = f.epoch; !f.keep.quiet && f.quiet() {
		f.beat() // who waits for it need not wait for the next beat
	}
}

// leased reports whether this machine has leases of a majority.
func (f *Frame) leased() bool {
	return f.state == InService && quorate(func(m message.Machine) bool {
		return f.is(m) && (m.Addr == f.self || f.leases(f.peers[m.Addr]))
	}, f.next.voters()...)
}

// leases reports whether this machine has a lease of a peer.
func (f *Frame) leases(p *peer) bool {
	return f.inTouch(p) && p.leased != 0 && f.now < p.leased+keepFor
}

// succeeds reports whether no earlier holder can have a lease: all of the chain have said so in this view, or
// the time of one has passed since that began.
func (f *Frame) succeeds() bool {
	return f.now >= f.since+keepFor || !slices.ContainsFunc(f.chain, func(addr string) bool {
		if addr == f.self {
			return !f.keep.quiet
		}
		p := f.peers[addr]
		return p == nil || p.quietIn != f.epoch
	})
}
