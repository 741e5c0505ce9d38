package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// darkServer is a sound server whose answers are long, so that sending one takes a part of a second. While
// it is dark it is silent: it reads nothing, sends nothing and takes no connections into work. When it comes
// back, it is as after a loss of power: the connections that it had are reset, and it has a new id.
type darkServer struct {
	id, addr string
	record   *record
	slots    chan struct{} // it works on two requests at once, and queues the others

	entry map[string]any // on the platform's list
	owner *cluster

	mu       sync.Mutex
	life     int           // how often it has come back; each life has an id of its own
	sending  int           // answers of which a part was sent
	dark     chan struct{} // closed when the server comes back; nil: it is not dark
	accepted map[net.Conn]struct{}
}

const (
	longAnswer  = 200_000 // bytes
	answerPiece = 10_000  // bytes, sent each pieceTime
	pieceTime   = 20 * time.Millisecond
)

func (c *cluster) addDarkServer(number int, service, zone string) *darkServer {
	s := &darkServer{id: fmt.Sprintf("i-%s-%d", service, number), record: c.record, owner: c,
		addr: fmt.Sprintf("127.7.8.%d:%d", number, serverPort), accepted: map[net.Conn]struct{}{},
		slots: make(chan struct{}, 2)}
	l, err := net.Listen("tcp", s.addr)
	check(err)
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			s.mu.Lock()
			s.accepted[conn] = struct{}{}
			s.mu.Unlock()
			go s.serve(conn)
		}
	}()
	c.mu.Lock()
	defer c.mu.Unlock()
	s.entry = map[string]any{"id": s.id, "backend": service, "address": s.addr, "zone": zone,
		"version": "v1", "capacity": 2, "state": "warm", "warmup_left_s": 0}
	c.listed = append(c.listed, s.entry)
	return s
}

// lives waits while the server is dark, and reports whether it is still in the given life.
func (s *darkServer) lives(life int) bool {
	s.mu.Lock()
	dark := s.dark
	s.mu.Unlock()
	if dark != nil {
		<-dark
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.life == life
}

func (s *darkServer) serve(conn net.Conn) {
	defer func() {
		conn.Close()
		s.mu.Lock()
		delete(s.accepted, conn)
		s.mu.Unlock()
	}()
	s.mu.Lock()
	life, self := s.life, s.id
	s.mu.Unlock()
	reader := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if !s.lives(life) {
			return
		}
		id := r.Header.Get("Attempt-Id")
		if _, err := io.Copy(io.Discard, r.Body); err != nil || id == "" {
			return
		}
		if r.Header.Get("Target-Server") != self {
			fmt.Fprintf(conn, "HTTP/1.1 421 Misdirected Request\r\nServer-Id: %s\r\nContent-Length: 0\r\n\r\n", self)
			continue
		}
		s.slots <- struct{}{}
		s.record.add("%s: runs %s, Time-Left-Ms %s", self, id, r.Header.Get("Time-Left-Ms"))
		time.Sleep(20 * time.Millisecond)
		_, err = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nServer-Seal: seal-%s\r\n"+
			"Content-Length: %d\r\n\r\n", id, id, longAnswer)
		whole := err == nil && s.sendBody(conn, life)
		<-s.slots
		if !whole {
			return
		}
	}
}

// sendBody sends the body in pieces.
func (s *darkServer) sendBody(conn net.Conn, life int) (whole bool) {
	defer func() {
		s.mu.Lock()
		s.sending--
		s.mu.Unlock()
	}()
	s.mu.Lock()
	s.sending++
	s.mu.Unlock()
	for sent := 0; sent < longAnswer; sent += answerPiece {
		if !s.lives(life) {
			return false
		}
		if _, err := conn.Write(make([]byte, answerPiece)); err != nil {
			return false
		}
		time.Sleep(pieceTime)
	}
	return true
}

// goDark makes the server silent for some time, and then resets the connections that it had.
func (s *darkServer) goDark(length time.Duration) {
	s.mu.Lock()
	s.dark = make(chan struct{})
	s.record.add("%s: dark for %v, in the middle of %d answers", s.id, length, s.sending)
	s.mu.Unlock()
	time.Sleep(length)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.life++
	old := s.id
	s.id = fmt.Sprintf("%s-%d", s.addr, s.life)
	s.record.add("%s: back as %s", old, s.id)
	s.owner.mu.Lock()
	s.entry["id"] = s.id
	s.owner.mu.Unlock()
	for conn := range s.accepted {
		_ = conn.(*net.TCPConn).SetLinger(0)
		conn.Close()
	}
	close(s.dark)
	s.dark = nil
}

// giveUp lets one of eight servers go dark for 4.5 s, five times, while it sends answers, and measures how
// long the clients wait for the ends of their requests.
func giveUp(c *cluster, trouble bool) (held bool, verdict string) {
	const (
		servers = 8 // one of them is a share of 0.125
		rounds  = 5
		darkFor = 4500 * time.Millisecond
		giveUp  = 800 * time.Millisecond
		slack   = 500 * time.Millisecond
	)
	var list []*darkServer
	for i := range servers {
		list = append(list, c.addDarkServer(i+1, "huvo11a", zones[i%3]))
	}
	c.startAll()
	c.put(3, configuration(3, 16384))
	c.awaitReady()
	time.Sleep(4 * time.Second)
	var mu sync.Mutex
	total, whole, atGiveUp, unanswered, longest := 0, 0, 0, 0, time.Duration(0)
	patient := &http.Client{Timeout: 1500 * time.Millisecond,
		Transport: &http.Transport{DisableKeepAlives: true}}
	ask := func(id string, m *machine) {
		r := request(m, id, "1500")
		c.record.add("client: sends %s to %s", id, m.name)
		start, status, n := time.Now(), 0, int64(0)
		answer, err := patient.Do(r)
		if err == nil {
			status = answer.StatusCode
			n, err = io.Copy(io.Discard, answer.Body)
			answer.Body.Close()
		}
		took := time.Since(start)
		c.record.add("client: %s has ended after %v: status %d, %d bytes, error %v", id,
			took.Round(time.Millisecond), status, n, err)
		mu.Lock()
		defer mu.Unlock()
		total++
		longest = max(longest, took)
		if err == nil && status == http.StatusOK {
			whole++
		}
		if took > giveUp {
			atGiveUp++
		}
		if took > giveUp+slack {
			unanswered++
		}
	}
	for round := range rounds {
		var wg sync.WaitGroup
		for i := range 3 * servers / 2 { // the servers work on two each
			wg.Add(1)
			go func() {
				defer wg.Done()
				ask(fmt.Sprintf("9c41d07b%04x%04x", round, i), c.machines[i%len(c.machines)])
			}()
		}
		time.Sleep(200 * time.Millisecond)
		if trouble { // of the servers, the one that is sending the most answers
			busiest, most := list[0], -1
			for _, s := range list {
				s.mu.Lock()
				if s.sending > most {
					busiest, most = s, s.sending
				}
				s.mu.Unlock()
			}
			busiest.goDark(darkFor)
			time.Sleep(2 * time.Second) // the gateways read the list
		}
		wg.Wait()
		time.Sleep(time.Second)
	}
	verdict = fmt.Sprintf("CONFIG: of %d requests %d were answered whole, %d had not ended at give_up_s, "+
		"and of these %d not 0.5 s later (the longest lasted %v); the rule allows 7, or a quarter", total, whole,
		atGiveUp, unanswered, longest.Round(time.Millisecond))
	return unanswered < 8 || 4*unanswered <= atGiveUp, verdict
}
