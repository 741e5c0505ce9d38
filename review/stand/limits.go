package main

import (
	"fmt"
	"strings"
	"time"
)

// limits raises max_header_bytes by a new version, waits for longer than quiet_s + apply_s, and sends
// requests with heads that the new version allows. Without the trouble, the first version allows them.
func limits(c *cluster, trouble bool) (held bool, verdict string) {
	const (
		before = 16384
		after  = 65536
		head   = 24000 // bytes, about
		rounds = 10
	)
	for i := range 3 {
		c.addServer(i+1, "huvo11a", zones[i], 40*time.Millisecond)
	}
	first := after
	if trouble {
		first = before
	}
	c.startAll()
	c.put(3, configuration(3, first))
	c.awaitReady()
	time.Sleep(4 * time.Second)
	c.put(7, configuration(7, after))
	time.Sleep(6 * time.Second)
	for _, m := range c.machines {
		status, answer := c.call(m, "config.read", nil)
		c.record.add("%s: config.read: %d, %s ... %s", m.name, status, answer[:min(len(answer), 16)],
			answer[max(0, len(answer)-100):])
	}
	sent, denied, served := 0, 0, 0
	for round := range rounds {
		for i, m := range c.machines {
			id := fmt.Sprintf("9c41d07b%04x%04x", round, i)
			r := request(m, id, "800")
			r.Header.Set("Cookie", strings.Repeat("a", head))
			sent++
			answer, err := caller.Do(r)
			if err != nil {
				c.record.add("client: %s to %s: %v", id, m.name, err)
				continue
			}
			answer.Body.Close()
			c.record.add("client: %s to %s: %d, stamp %q, run %d times", id, m.name, answer.StatusCode,
				answer.Header.Get("Server-Seal"), c.ran(id))
			switch status := answer.StatusCode; {
			case status == 200:
				served++
			case status >= 300 && status < 500 && status != 408 && status != 421 && status != 429:
				denied++
			}
		}
		time.Sleep(200 * time.Millisecond)
	}
	allowed := 5 + sent/500
	verdict = fmt.Sprintf("DENIED: of %d proper requests %d were served and %d denied; the rule allows %d", sent,
		served, denied, allowed)
	return denied <= allowed, verdict
}
