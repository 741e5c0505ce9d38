package node_test

import (
	"encoding/json"
	"slices"
	"strings"
	"testing"
	"time"

	"dunespoke/internal/lab/rig"
)

// loaded is the fleet of three zones with clients that ask.
func loaded(t *testing.T) fleet {
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

// table waits until all of them go by a table in which a link is down, or is not.
func (f fleet) table(names []string, link string, down bool) {
	f.Helper()
	f.eventually(link+" down at all", func() bool {
		return !slices.ContainsFunc(names, func(n string) bool { return f.zones(n).Links[link].Down != down })
	})
}

func TestServersOfAZoneKilledAndBack(t *testing.T) {
	f := loaded(t)
	back := f.begin("kill", "servers:a", "")
	f.table(everyone, "a>a", true)
	if z := f.zones("c1"); z.Links["b>b"].Down || z.Links["c>c"].Down || len(z.Ill) > 0 {
		t.Errorf("%+v: want zone a's link down alone", z)
	}
	back()
	f.table(everyone, "a>a", false)
}

func TestServersOfAZoneSilent(t *testing.T) {
	f := loaded(t)
	back := f.begin("silent", "servers:b", "")
	at := time.Now()
	f.table(everyone, "b>b", true)
	t.Logf("left alone after %v", time.Since(at))
	back()
	at = time.Now()
	defer func() { t.Logf("let in after %v", time.Since(at)) }()
	f.table(everyone, "b>b", false)
}

// The leader dies together with the servers of its zone: another decides.
func TestZoneOfTheLeaderKilled(t *testing.T) {
	f := loaded(t)
	leader := f.Leader()
	zone := leader[:1]
	f.begin("kill", "ingress:"+leader, "")
	back := f.begin("kill", "servers:"+zone, "")
	f.table(without(leader), zone+">"+zone, true)
	back()
	f.table(without(leader), zone+">"+zone, false)
}

// An ingress that alone reaches nothing gets no more clients, and moves nobody else's; it is let in again.
func TestOneIngressReachesNothing(t *testing.T) {
	f := loaded(t)
	var ends []func()
	for _, zone := range []string{"a", "b", "c"} {
		ends = append(ends, f.begin("cut", "ingress:b2", "servers:"+zone))
	}
	ill := func(want bool) func() bool {
		return func() bool {
			return !slices.ContainsFunc(everyone, func(n string) bool {
				return slices.Contains(f.zones(n).Ill, "b2") != want
			})
		}
	}
	f.eventually("b2 to be ill", ill(true))
	for name, l := range f.zones("a1").Links {
		if l.Down {
			t.Errorf("%s is down by the word of one", name)
		}
	}
	for _, end := range ends {
		end()
	}
	f.eventually("b2 to be well", ill(false))
}

// Staff evacuate a zone while another is cut off: whoever hears it leaves the zone alone, the rest once it
// can.
func TestEvacuateDuringACut(t *testing.T) {
	f := loaded(t)
	heal := f.begin("cut", "zone:c", "")
	if _, err := f.Call("a2", "FLEET EVACUATE nowhere 1m"); err == nil {
		t.Error("a zone that is not there was evacuated")
	}
	f.eventually("the order to be taken", func() bool {
		_, err := f.Call("a2", "FLEET EVACUATE b 1h")
		return err == nil
	})
	f.outOfRotation([]string{"a1", "a2", "b1", "b2"}, 2)
	heal()
	f.outOfRotation(everyone, 2)
	if _, err := f.Call("c2", "FLEET RELEASE b"); err != nil {
		t.Error(err)
	}
	f.outOfRotation(everyone, 0)
}

// While staff hold the table it stays as it is, whatever fails.
func TestHold(t *testing.T) {
	f := loaded(t)
	f.eventually("the order to be taken", func() bool {
		_, err := f.Call("a2", "FLEET HOLD 1h")
		return err == nil
	})
	f.begin("kill", "servers:a", "")
	f.eventually("a's ingresses to see it", func() bool {
		text, err := f.Call("a1", "DUMP")
		return err == nil && strings.Contains(text, `"registry_entries":4`)
	})
	if z := f.zones("c1"); z.Links["a>a"].Down {
		t.Errorf("the table changed while it was held: %+v", z)
	}
}

// outOfRotation waits until so many servers or more get nothing new from these ingresses; none, if that is
// wanted.
func (f fleet) outOfRotation(names []string, n int) {
	f.Helper()
	f.eventually("servers left alone", func() bool {
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
