package scale

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"

	"dunespoke/internal/controlplane/message"
)

// platform is a stand-in for the platform's list of servers, in pages.
type platform struct {
	pages [][]byte
}

// How many servers are on a page: so many that few calls are needed, and as many as on the users' sites.
const (
	serversPerPage      = 500
	serversPerShortPage = 50
)

// serverPage is a page of the list, as the platform sends it.
type serverPage struct {
	Servers   map[string][]platformServer `json:"servers"` // by zone
	NextToken *string                     `json:"next_token"`
}

type platformServer struct {
	ID         string  `json:"id"`
	Backend    string  `json:"backend"`
	Address    string  `json:"address"`
	Zone       string  `json:"zone"`
	Version    string  `json:"version"`
	Capacity   float64 `json:"capacity"`
	State      string  `json:"state"`
	WarmupLeft float64 `json:"warmup_left_s"`
}

func newPlatform(servers []message.Endpoint, perPage int) *platform {
	p := &platform{}
	for list := range slices.Chunk(servers, perPage) {
		page := serverPage{Servers: map[string][]platformServer{}}
		for _, s := range list {
			page.Servers[s.Zone] = append(page.Servers[s.Zone], platformServer{ID: s.ID, Backend: s.Service,
				Address: s.Addr, Zone: s.Zone, Version: "v1", Capacity: float64(s.Capacity), State: "warm"})
		}
		if len(p.pages) < (len(servers)-1)/perPage {
			next := strconv.Itoa(len(p.pages) + 1)
			page.NextToken = &next
		}
		encoded, err := json.Marshal(page)
		if err != nil {
			panic(err) // of what is made here
		}
		p.pages = append(p.pages, encoded)
	}
	return p
}

func (p *platform) bytes() (n float64) {
	for _, b := range p.pages {
		n += float64(len(b))
	}
	return n
}

// ServeHTTP answers with a page.
func (p *platform) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	number := 0
	if token := r.URL.Query().Get("page_token"); token != "" {
		var err error
		if number, err = strconv.Atoi(token); err != nil || number < 0 || number >= len(p.pages) {
			http.Error(w, "no such page", http.StatusBadRequest)
			return
		}
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(p.pages[number]) // a reader that has gone asks again
}
