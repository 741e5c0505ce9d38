package replica

import "time"

// Role is a task that one replica performs for the whole system.
type Role int

// The roles, which are held by different replicas if the chain has more than one.
const (
	EndpointReader Role = iota // reads the platform's list of servers
	QuotaAllocator             // allocates the tenants' rate-limit tokens
)

// String returns the role's name on the wire, which must not change.
func (role Role) String() string { return [...]string{"read-servers", "keep-tolls"}[role] }

// RoleHolder returns the address of the replica of a chain that holds a role; empty if the chain is empty.
func RoleHolder(chain []string, role Role) string {
	if len(chain) == 0 {
		return ""
	}
	if role == EndpointReader {
		return chain[len(chain)-1]
	}
	return chain[1%len(chain)]
}

// HoldsRole reports whether this replica holds a role now, and returns the epoch of its view. The epoch is
// the fencing token of what the replica does in the role.
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
