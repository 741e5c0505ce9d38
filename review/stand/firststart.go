package main

import (
	"fmt"
	"net/http"
	"os"
	"syscall"
	"time"
)

// firstStart starts the system for the first time, with seeds that have no disk. A part of a second later,
// the processes of two seeds are killed at once, and return a second later. The machines with a disk run all
// the time. Then the operator sends the first configuration, and clients send requests.
func firstStart(c *cluster, trouble bool) (held bool, verdict string) {
	const (
		away     = time.Second
		killed   = 2 // of the three seeds
		patience = 30 * time.Second
	)
	killAfter := 400 * time.Millisecond
	if d, err := time.ParseDuration(os.Getenv("KILL_AFTER")); err == nil { // to find out how long the window is
		killAfter = d
	}
	for i := range 3 {
		c.addServer(i+1, "huvo11a", zones[i], 40*time.Millisecond)
	}
	c.seeds = c.machines[3:]
	c.startAll()
	if trouble {
		time.Sleep(killAfter)
		for _, m := range c.seeds[:killed] {
			c.signal(m, syscall.SIGKILL)
		}
		time.Sleep(away)
		for _, m := range c.seeds[:killed] {
			<-m.ended
			c.start(m, false)
		}
	}
	begun := time.Now()
	acknowledged := c.tryPut(3, configuration(3, 16384), patience)
	took := time.Since(begun).Round(time.Millisecond)
	if acknowledged {
		c.awaitReady()
	}
	sent, served := 0, 0
	for round := range 5 {
		for i, m := range c.machines {
			id := fmt.Sprintf("9c41d07b%04x%04x", round, i)
			sent++
			answer, err := caller.Do(request(m, id, "800"))
			if err != nil {
				c.record.add("client: %s to %s: %v", id, m.name, err)
				continue
			}
			answer.Body.Close()
			c.record.add("client: %s to %s: %d", id, m.name, answer.StatusCode)
			if answer.StatusCode == http.StatusOK {
				served++
			}
		}
		time.Sleep(200 * time.Millisecond)
	}
	verdict = fmt.Sprintf("Fault, Acks: first configuration acknowledged: %v, after %v (the rule allows 4 s "+
		"once the core is settled); of %d requests %d were served", acknowledged, took, sent, served)
	return acknowledged && served > 0, verdict
}
