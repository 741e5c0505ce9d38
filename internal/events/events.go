// Package events numbers what the exchange logs. docs/events.md is their catalogue, and tells what each means
// and what to do about it; a test holds the two equal.
package events

// Event is a line of the log: its number never changes and is never used anew.
type Event struct {
	Number int
	Text   string
	Level  int // 0: always; 1: where more is asked for
}

// The events, by who logs them.
var (
	Started     = Event{1, "started", 0}
	Stopping    = Event{2, "told to stop", 0}
	Stopped     = Event{3, "all that was taken is answered", 0}
	Settings    = Event{4, "settings read again", 0}
	BadSettings = Event{5, "settings can't be used; the old ones hold", 0}
	Failed      = Event{6, "can't go on", 0}
	Ready       = Event{7, "ready", 0}
	Decision    = Event{9, "decision module", 1}
	Registered  = Event{20, "registered as a machine of the core", 0}
	DiskLost    = Event{21, "the disk is empty: waiting to be mended", 0}
	DiskFailing = Event{22, "the disk takes nothing", 0}
	DiskWell    = Event{23, "the disk takes writes again", 0}
	Mended      = Event{24, "mended from the others", 0}
	FrameState  = Event{25, "state of the frame", 0}
	InService   = Event{26, "a view is in service", 0}
	Founding    = Event{27, "naming the core of a first start", 0}
	Repaired    = Event{28, "the next loss can be borne", 0}
	Exposed     = Event{29, "the next loss can't be borne", 0}
	Retired     = Event{30, "removed from the core: what is on this disk counts no more", 0}
	Changed     = Event{31, "the members of the core have changed", 0}
	DiskDamaged = Event{32, "the store is not as it was written: laid aside, waiting to be mended", 0}
	Unbearable  = Event{33, "the members can't bear what survive names", 0}
	Attached    = Event{40, "attached to the core", 0}
	Detached    = Event{41, "no machine of the core answers", 0}
	ConfigTaken = Event{42, "configuration in force", 0}
	ConfigBad   = Event{43, "a configuration from the core can't be read", 0}
	PeerBad     = Event{44, "a peer sent what is no message", 0}
	PeerGone    = Event{45, "a connection to a peer ended", 1}
	LineSoft    = Event{47, "a line to a peer can't be told to end early", 0}
	ChangeBad   = Event{46, "a change of the configuration did not come out right: the whole is asked for", 0}
	Put         = Event{60, "configuration acknowledged", 0}
	PutRefused  = Event{61, "configuration refused", 0}
	PutUnclear  = Event{62, "configuration not acknowledged in time", 0}
	ReadUnclear = Event{63, "the newest configuration could not be told", 0}
	CallBad     = Event{64, "a call can't be read", 0}
	PutConflict = Event{65, "another configuration stands under this number", 0}
	ListFailed  = Event{80, "the list of servers can't be read", 0}
	ListTaken   = Event{81, "the list of servers has changed", 1}
	TollHeld    = Event{90, "keeping the counts of tenants", 0}
	TollAlone   = Event{91, "the counts of tenants can't be reached: going by even shares", 0}
	TollBack    = Event{92, "the counts of tenants are reached again", 0}
	AnswerBad   = Event{100, "an answer of a server is not the request's", 1}
	ServerMoved = Event{101, "another server has the address", 1}
)
