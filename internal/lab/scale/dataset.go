package scale

import (
	"bytes"
	"fmt"

	"dunespoke/internal/controlplane/message"
)

// Dataset is the size of a made-up platform.
type Dataset struct {
	Routes, Services, Tenants, Servers int
	Zones                              int
}

// Config is a configuration of the size, under a version: one route differs from the version before, and all
// else is the same.
func (d Dataset) Config(version uint64) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, `{"version":"r%d","items_of":[`, version)
	for i := range d.Services {
		fmt.Fprintf(&b, "\n"+`{"item_kind":"backends","metadata":{"name":"%s"},"desired":{"health_path":"/health",`+
			`"max_conns":100,"protocol":"h1","encryption":false}},`, service(i))
	}
	for i := range d.Routes {
		target := 0.2
		if uint64(i) < version {
			target = 0.3
		}
		fmt.Fprintf(&b, "\n"+`{"item_kind":"routes","metadata":{"name":"route-%05d"},"desired":{"domain":`+
			`"shop-%04d.example","path_start":"/part-%05d/","kind":"read_only","give_up_s":1,"target_s":%g,"rank":%d,`+
			`"backend":"%s","tries":2,"public":false}},`, i, i/10, i, target, i%4, service(i%max(1, d.Services)))
	}
	for i := range d.Tenants {
		fmt.Fprintf(&b, "\n"+`{"item_kind":"customers","metadata":{"name":"%s"},"desired":{"api_keys":`+
			`["key-%016x"],"rank":%d,"allowed_per_s":%d,"burst_size":%d}},`, tenant(i),
			uint64(i+1)*0x9e3779b97f4a7c15, i%4, 5+i%20, 10+i%40)
	}
	b.WriteString("\n" + `{"item_kind":"limits","metadata":{},"desired":{"max_header_bytes":16384,` +
		`"max_body_bytes":1048576,"header_wait_s":3,"idle_s":15}}]}`)
	return b.Bytes()
}

func service(i int) string { return fmt.Sprintf("service-%03d", i) }

func tenant(i int) string { return fmt.Sprintf("tenant-%06d", i) }

// List is the platform's list, from a server on: one less at its beginning, and so many more at its end, is
// what a restart makes of it.
func (d Dataset) List(from int) []message.Endpoint {
	list := make([]message.Endpoint, d.Servers)
	for i := range list {
		n := from + i
		list[i] = message.Endpoint{ID: fmt.Sprintf("server-%06d", n), Service: service(n % max(1, d.Services)),
			Addr: fmt.Sprintf("10.%d.%d.%d:8080", 16+n>>16&15, n>>8&255, n&255),
			Zone: zone(n % max(1, d.Zones)), Capacity: 8}
	}
	return list
}

func zone(i int) string { return fmt.Sprintf("z%d", i+1) }
