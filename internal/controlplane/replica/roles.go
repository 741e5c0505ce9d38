package replica

import "time"

// Role names a task that one replica does for all.
type Role int

// The roles, each held by another replica of the chain where there are as many.
const (
	EndpointReader Role = iota // reads the platform's list of servers
	QuotaAllocator             // allocates the tenants' tokens
)

// String is the name on the wire, which stays.
func (role Role) String() string { return [...]string{"read-servers", "keep-tolls"}[role] }

// RoleHolder returns which replica of a chain holds a role; empty without a chain.
func RoleHolder(chain []string, role Role) string {
	if len(chain) == 0 {
		return ""
	}
	if role == EndpointReader {
		return chain[len(chain)-1]
	}
	return chain[1%len(chain)]
}

// HoldsRole reports whether this replica holds a role now, and under which epoch, which is the fencing token
// of what it does.
func (r *Replica) HoldsRole(now time.Duration, role Role) (epoch uint64, ok bool) {
	r.now = now
	if !r.ServingWithQuorum() || RoleHolder(r.chain, role) != r.self {
		return r.epoch, false
	}
	if role == QuotaAllocator {
		return r.epoch, r.holdsAllocatorLease() && r.predecessorLeasesExpired()
	}
	return r.epoch, true
}
