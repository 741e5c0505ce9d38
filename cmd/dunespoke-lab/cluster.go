package main

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"dunespoke/internal/controlplane/simulation"
)

type clusterCommand struct {
	Zones   int           `help:"Zones." default:"3"`
	Disks   int           `help:"Machines with a disk in each." default:"1"`
	Others  int           `help:"And without." default:"4"`
	Survive int           `help:"Machines with a disk that may be lost together." default:"1"`
	Sync    time.Duration `help:"Of a disk." default:"5ms"`
	Latency time.Duration `help:"Of a message, at most." default:"2ms"`
	Seeds   uint64        `help:"Runs, each with its own seed." default:"50"`
	Case    string        `help:"What happens as a change is sent; a wrong one lists all." default:"calm"`
}

// clusterCases are what can happen to a cluster, to its chain's head, middle or tail where one is named. A
// machine that can't hear of the change meanwhile is returned.
var clusterCases = map[string]func(x *simulation.Cluster, chain []*simulation.Machine) *simulation.Machine{
	"calm": func(*simulation.Cluster, []*simulation.Machine) *simulation.Machine { return nil },
	"head-killed": func(_ *simulation.Cluster, c []*simulation.Machine) *simulation.Machine {
		c[0].Kill()
		return c[0]
	},
	"middle-killed": func(_ *simulation.Cluster, c []*simulation.Machine) *simulation.Machine {
		c[len(c)/2].Kill()
		return c[len(c)/2]
	},
	"tail-killed": func(_ *simulation.Cluster, c []*simulation.Machine) *simulation.Machine {
		c[len(c)-1].Kill()
		return c[len(c)-1]
	},
	"head-frozen": func(_ *simulation.Cluster, c []*simulation.Machine) *simulation.Machine {
		c[0].Freeze()
		return c[0]
	},
	"tail-cut": func(x *simulation.Cluster, c []*simulation.Machine) *simulation.Machine {
		x.Isolate(c[len(c)-1], true)
		return c[len(c)-1]
	},
	"head-disk-hangs": func(_ *simulation.Cluster, c []*simulation.Machine) *simulation.Machine {
		c[0].SetSyncTime(5 * time.Second)
		return nil
	},
	"head-wiped": func(_ *simulation.Cluster, c []*simulation.Machine) *simulation.Machine {
		c[0].Kill()
		c[0].WipeDisk()
		return c[0]
	},
	"all-killed": func(x *simulation.Cluster, _ []*simulation.Machine) *simulation.Machine {
		for _, m := range x.Machines {
			m.Kill()
		}
		x.Run(200 * time.Millisecond)
		x.StartAll()
		return nil
	},
}

// Run plays clusters in virtual time and prints how long changes take, and what they cost.
func (c *clusterCommand) Run() error {
	if clusterCases[c.Case] == nil {
		return fmt.Errorf("--case %s: want one of %v", c.Case, slices.Sorted(maps.Keys(clusterCases)))
	}
	var acked, heard, whole []float64
	var messages, bytes, calm float64
	for seed := range c.Seeds {
		x := simulation.New(
			simulation.Options{Zones: c.Zones, ReplicasPerZone: c.Disks, GatewaysPerZone: c.Others,
				SurviveMachines: c.Survive,
				Seed:            seed + 1, SyncTime: c.Sync, Latency: c.Latency},
		)
		x.StartAll()
		if !x.Until(func() bool { return len(x.Chain()) == c.Zones*c.Disks }, 20*time.Second) {
			return fmt.Errorf("seed %d: no first start", seed+1)
		}
		x.Run(4 * time.Second)
		from := x.Messages
		x.Run(10 * time.Second)
		calm += float64(x.Messages-from) / 10
		var chain []*simulation.Machine
		for _, addr := range x.Chain() {
			chain = append(chain, x.At(addr))
		}
		deaf := clusterCases[c.Case](x, chain)
		all := func() bool {
			return !slices.ContainsFunc(x.Machines, func(m *simulation.Machine) bool {
				return m != deaf && m.Version() != 100
			})
		}
		from, size, began := x.Messages, x.Bytes, x.Now
		took, ok := x.PutUntilAcknowledged(x.Machines[len(x.Machines)-1], 100, 20*time.Second)
		if !ok {
			return fmt.Errorf("seed %d: not acknowledged", seed+1)
		}
		acked = append(acked, took.Seconds())
		if !x.Until(all, 20*time.Second) {
			return fmt.Errorf("seed %d: some machine goes by no newer one", seed+1)
		}
		heard = append(heard, (x.Now - began - took).Seconds())
		messages += float64(x.Messages-from) - calm/float64(seed+1)*(x.Now-began).Seconds()
		bytes += float64(x.Bytes - size)
		x.HealAll()
		back := x.Now
		for _, m := range chain {
			m.SetSyncTime(c.Sync)
			m.Thaw()
			m.Start()
		}
		if !x.Until(func() bool { return len(x.Chain()) == len(chain) && x.Converged(100) }, 20*time.Second) {
			return fmt.Errorf("seed %d: the chain is not whole again", seed+1)
		}
		whole = append(whole, (x.Now - back).Seconds())
		if b := x.Violations(); len(b) > 0 {
			return fmt.Errorf("seed %d: %s", seed+1, b[0])
		}
	}
	n := float64(c.Seeds)
	fmt.Printf("%s: %d machines, %d with a disk, %d seeds\n", c.Case, c.Zones*(c.Disks+c.Others),
		c.Zones*c.Disks, c.Seeds)
	show("from the call to its acknowledgement", acked)
	show("from that to all that can hear of it", heard)
	show("from the end of the trouble to the whole chain", whole)
	fmt.Printf("messages a second when calm %.0f; for the change %.0f more, %.1f kB with the calm ones\n",
		calm/n, messages/n, bytes/n/1e3)
	return nil
}
