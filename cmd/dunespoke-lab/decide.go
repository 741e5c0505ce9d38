package main

import (
	"fmt"
	"slices"
	"time"

	"dunespoke/fleet/zones"
	"dunespoke/internal/lab/simulatedfleet"
)

type decideCommand struct {
	Ingresses int           `help:"In the fleet." default:"200"`
	Zones     int           `help:"That they are spread over." default:"12"`
	Seeds     uint64        `help:"Runs, each with its own seed." default:"200"`
	Loss      float64       `help:"Part of the messages that get lost." default:"0"`
	Delay     time.Duration `help:"Of each message, at the least." default:"1ms"`
	Case      string        `help:"What is done to the last zone." enum:"lost,killed,flaps,calm" default:"lost"`
	Plot      string        `help:"File for a plot of the times, SVG."`
}

// Run plays fleets in virtual time and prints how long a decision takes, and what it costs.
func (c *decideCommand) Run() error {
	var loss, back []float64
	mostIn, tables, undecided, wrong := 0, 0, 0, 0
	var bytes, seconds float64
	for seed := range c.Seeds {
		f := simulatedfleet.NewFleet(seed+1, c.Ingresses, c.Zones, 2*time.Second, 30*time.Second)
		f.Net.Loss, f.Net.Delay = c.Loss, c.Delay
		f.Run(8 * time.Second)
		began := f.Net.Now()
		zone := f.Ingresses[c.Zones-1].Zone
		link := zones.Name(zone, zone)
		gone := false
		f.Fails = func(_ *simulatedfleet.Ingress, to string) bool {
			flap := c.Case == "flaps" && (f.Net.Now()-began)/(2*time.Second)%2 == 0
			return to == zone && (gone || flap)
		}
		knows := func(down bool) func() bool {
			return func() bool {
				return f.All(func(in *simulatedfleet.Ingress) bool { return in.Knows(f.Net.Now(), link, down) })
			}
		}
		switch c.Case {
		case "lost", "killed":
			gone = true
			if c.Case == "killed" { // and its neighbour zone's ingresses, with a voter or two
				for _, in := range f.Ingresses {
					if in.Zone == f.Ingresses[0].Zone {
						f.Kill(in)
					}
				}
			}
			if d, ok := f.Until(30*time.Second, knows(true)); ok {
				loss = append(loss, d.Seconds())
			} else {
				undecided++
			}
			f.Run(5 * time.Second)
			gone = false
			if d, ok := f.Until(60*time.Second, knows(false)); ok {
				back = append(back, d.Seconds())
			} else {
				undecided++
			}
		case "flaps":
			f.Run(time.Minute)
		default:
			f.Run(time.Minute)
			if f.Tables() > 0 {
				wrong++
			}
		}
		mostIn, tables = max(mostIn, f.MostIn), max(tables, f.Tables())
		bytes += float64(f.Bytes)
		seconds += f.Net.Now().Seconds() - (1000 * time.Hour).Seconds()
		if len(f.Errs) > 0 {
			return fmt.Errorf("seed %d: %w", seed+1, f.Errs[0])
		}
	}
	fmt.Printf("%s: %d ingresses, %d zones, %d seeds, loss %.2f, delay %v\n",
		c.Case, c.Ingresses, c.Zones, c.Seeds, c.Loss, c.Delay)
	show("from the loss to the table in force at all", loss)
	show("from the return to the zone let in at all", back)
	fmt.Printf("undecided %d; tables without cause %d; tables in a run, at the most %d\n",
		undecided, wrong, tables)
	fmt.Printf("messages into one ingress in a second, at the most %d; bytes a second in all %.0f\n", mostIn,
		bytes/seconds)
	if c.Plot == "" || len(loss) == 0 {
		return nil
	}
	title := fmt.Sprintf("%s, %d ingresses, %d zones", c.Case, c.Ingresses, c.Zones)
	g := newGraph(title, "seconds", "part of runs")
	lost, returned := g.line("table in force after the loss"), g.line("let in after the return")
	for i, s := range loss {
		lost.add(s, float64(i+1)/float64(len(loss)))
	}
	for i, s := range back {
		returned.add(s, float64(i+1)/float64(len(back)))
	}
	return g.save(c.Plot)
}

// show prints a few quantiles, and sorts.
func show(what string, all []float64) {
	if len(all) == 0 {
		return
	}
	slices.Sort(all)
	at := func(q float64) float64 { return all[min(len(all)-1, int(q*float64(len(all))))] }
	fmt.Printf("%s: p50 %.2f s, p99 %.2f s, most %.2f s\n", what, at(0.5), at(0.99), all[len(all)-1])
}
