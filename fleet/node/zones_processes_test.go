package node_test

import (
	"encoding/json"
	"slices"
	"strings"
	"testing"
	"time"

	"dunespoke/internal/lab/rig"
)

// startWithLoad starts the fleet of three zones with two servers per zone and with clients that send
// requests.
func startWithLoad(t *testing.T) fleet {
	f := startWith(t, strings.Replace(strings.Replace(threeZones, "rate = 10", "rate = 150", 1), "servers=1",
		"servers=2", 3))
	go f.Play()
	return f
}

func (f fleet) zones(name string) *rig.Zones {
	z, err := f.Zones(name)
	if err != nil {
		return &rig.Zones{}
	}
	return z
}

// waitLink waits until the link is down, or up, in the table of zones of all named ingresses.
func (f fleet) waitLink(names []string, link string, down bool) {
	f.Helper()
	f.eventually(link+" to have the wanted state on all ingresses", func() bool {
		return !slices.ContainsFunc(names, func(n string) bool { return f.zones(n).Links[link].Down != down })
	})
}

func TestServersOfAZoneKilledAndBack(t *testing.T) {
	f := startWithLoad(t)
	back := f.startFault("kill", "servers:a", "")
	f.waitLink(allIngresses, "a>a", true)
	if z := f.zones("c1"); z.Links["b>b"].Down || z.Links["c>c"].Down || len(z.Ill) > 0 {
		t.Errorf("%+v: want only zone a's link down", z)
	}
	back()
	f.waitLink(allIngresses, "a>a", false)
}

func TestServersOfAZoneSilent(t *testing.T) {
	f := startWithLoad(t)
	back := f.startFault("silent", "servers:b", "")
	at := time.Now()
	f.waitLink(allIngresses, "b>b", true)
	t.Logf("down after %v", time.Since(at))
	back()
	at = time.Now()
	defer func() { t.Logf("up after %v", time.Since(at)) }()
	f.waitLink(allIngresses, "b>b", false)
}

// When the leader is killed together with the servers of its zone, another leader must decide.
func TestZoneOfTheLeaderKilled(t *testing.T) {
	f := startWithLoad(t)
	leader := f.Leader()
	zone := leader[:1]
	f.startFault("kill", "ingress:"+leader, "")
	back := f.startFault("kill", "servers:"+zone, "")
	f.waitLink(without(leader), zone+">"+zone, true)
	back()
	f.waitLink(without(leader), zone+">"+zone, false)
}

// An ingress that alone reaches no server must get no more clients and must not affect the others; it must
// be readmitted when it recovers.
func TestOneIngressReachesNothing(t *testing.T) {
	f := startWithLoad(t)
	var ends []func()
	for _, zone := range []string{"a", "b", "c"} {
		ends = append(ends, f.startFault("cut", "ingress:b2", "servers:"+zone))
	}
	unhealthy := func(want bool) func() bool {
		return func() bool {
			return !slices.ContainsFunc(allIngresses, func(n string) bool {
				return slices.Contains(f.zones(n).Ill, "b2") != want
			})
		}
	}
	f.eventually("b2 to be unhealthy", unhealthy(true))
	for name, l := range f.zones("a1").Links {
		if l.Down {
			t.Errorf("%s is down because of a single ingress", name)
		}
	}
	for _, end := range ends {
		end()
	}
	f.eventually("b2 to be healthy", unhealthy(false))
}

// Operators evacuate a zone while another one is cut off: ingresses that receive the order must apply it,
// the others once the partition has healed.
func TestEvacuateDuringACut(t *testing.T) {
	f := startWithLoad(t)
	heal := f.startFault("cut", "zone:c", "")
	if _, err := f.Call("a2", "FLEET EVACUATE nowhere 1m"); err == nil {
		t.Error("an unknown zone was evacuated")
	}
	f.eventually("the order to be accepted", func() bool {
		_, err := f.Call("a2", "FLEET EVACUATE b 1h")
		return err == nil
	})
	f.waitOutOfRotation([]string{"a1", "a2", "b1", "b2"}, 2)
	heal()
	f.waitOutOfRotation(allIngresses, 2)
	if _, err := f.Call("c2", "FLEET RELEASE b"); err != nil {
		t.Error(err)
	}
	f.waitOutOfRotation(allIngresses, 0)
}

// While operators hold the table it must not change, whatever fails.
func TestHold(t *testing.T) {
	f := startWithLoad(t)
	f.eventually("the order to be accepted", func() bool {
		_, err := f.Call("a2", "FLEET HOLD 1h")
		return err == nil
	})
	f.startFault("kill", "servers:a", "")
	f.eventually("a1 to notice the failure", func() bool {
		text, err := f.Call("a1", "DUMP")
		return err == nil && strings.Contains(text, `"registry_entries":4`)
	})
	if z := f.zones("c1"); z.Links["a>a"].Down {
		t.Errorf("the table changed while it was held: %+v", z)
	}
}

// waitOutOfRotation waits until at least n servers are out of rotation at each of the named ingresses, or
// exactly none if n is 0.
func (f fleet) waitOutOfRotation(names []string, n int) {
	f.Helper()
	f.eventually("servers out of rotation", func() bool {
		return !slices.ContainsFunc(names, func(name string) bool {
			text, err := f.Call(name, "DUMP")
			var figures struct {
				Out int `json:"out_of_rotation"`
			}
			if err != nil || json.NewDecoder(strings.NewReader(text)).Decode(&figures) != nil {
				return true
			}
			return figures.Out < n || n == 0 && figures.Out > 0
		})
	})
}
