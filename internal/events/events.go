// Package events defines the numbered events that the gateway logs. docs/events.md documents what each event
// means and what to do about it. A test checks that both list the same events.
package events

// Event is one kind of log line. Its number never changes and is never reused.
type Event struct {
	Number int    // value of the field "event" of the log line
	Text   string // message of the log line
	Level  int    // 0: always logged; 1: logged only with --verbose
}

// Events of the process.
var (
	Started         = Event{1, "started", 0}
	Stopping        = Event{2, "stopping", 0}
	Stopped         = Event{3, "stopped, all accepted requests answered", 0}
	Settings        = Event{4, "settings reloaded", 0}
	SettingsInvalid = Event{5, "settings invalid, keeping the old ones", 0}
	Failed          = Event{6, "fatal error", 0}
	Ready           = Event{7, "ready", 0}
	Decision        = Event{9, "decision module", 1}
)

// Events of a replica of the control state.
var (
	MembersStored       = Event{20, "members of the core stored", 0}
	DiskEmpty           = Event{21, "disk empty, waiting for repair", 0}
	DiskFailing         = Event{22, "disk refuses writes", 0}
	DiskRecovered       = Event{23, "disk accepts writes again", 0}
	ReplicaRepaired     = Event{24, "replica repaired from its peers", 0}
	ReplicaState        = Event{25, "replica changed state", 0}
	ViewServing         = Event{26, "view serving", 0}
	BootstrapState      = Event{27, "bootstrap changed phase", 0}
	ToleranceRestored   = Event{28, "fault tolerance restored", 0}
	ToleranceLost       = Event{29, "fault tolerance lost", 0}
	Removed             = Event{30, "removed from the core, stored state no longer counts", 0}
	MembershipChanged   = Event{31, "membership of the core changed", 0}
	StoreDamaged        = Event{32, "store damaged and set aside, waiting for repair", 0}
	ToleranceImpossible = Event{33, "fault tolerance impossible with the present members", 0}
	PeerReplaced        = Event{35, "another store answers at a member's address", 0}
	PeerRefused         = Event{34, "peer refuses connections, its process is down", 0}
)

// Events of the control-plane client and of the transport between processes.
var (
	Connected              = Event{40, "connected to a replica", 0}
	Disconnected           = Event{41, "no replica answers", 0}
	ConfigApplied          = Event{42, "configuration applied", 0}
	ConfigUnreadable       = Event{43, "configuration from the core unreadable", 0}
	PeerProtocolError      = Event{44, "protocol error of a peer", 0}
	PeerDisconnected       = Event{45, "peer disconnected", 1}
	DeltaInvalid           = Event{46, "configuration delta invalid, requesting the full one", 0}
	UserTimeoutUnsupported = Event{47, "TCP_USER_TIMEOUT unsupported", 0}
	PeerNotAuthenticated   = Event{48, "peer refused, not authenticated", 0}
	PeerKeysInvalid        = Event{49, "keys for peers invalid, keeping the old ones", 0}
)

// Events of the control API.
var (
	ConfigCommitted      = Event{60, "configuration committed", 0}
	ConfigRejected       = Event{61, "configuration rejected", 0}
	ConfigUnacknowledged = Event{62, "configuration not acknowledged in time", 0}
	ConfigReadFailed     = Event{63, "newest configuration unavailable", 0}
	UnknownCall          = Event{64, "unknown call", 0}
	ConfigConflict       = Event{65, "configuration conflicts with the one of the same version", 0}
)

// Events of service discovery, rate limiting and the data plane.
var (
	DiscoveryFailed      = Event{80, "service discovery failed", 0}
	EndpointsChanged     = Event{81, "endpoints changed", 1}
	AllocatorActive      = Event{90, "rate-limit allocator active", 0}
	AllocatorUnreachable = Event{91, "rate-limit allocator unreachable, using local shares", 0}
	AllocatorReachable   = Event{92, "rate-limit allocator reachable again", 0}
	ResponseInvalid      = Event{100, "invalid response of a server", 1}
	AddressReused        = Event{101, "address used by another server", 1}
)
