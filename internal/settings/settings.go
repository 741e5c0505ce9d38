// Package settings reads the settings file of a process and validates it against a JSON schema.
package settings

import (
	_ "embed"
	"encoding/json"
	"net"
	"os"
	"slices"
	"strconv"
	"strings"

	"github.com/BurntSushi/toml"
	"github.com/gravitational/trace"

	"dunespoke/internal/schema"
)

//go:embed settings.schema.json
var schemaText []byte

// Settings is the content of the settings file, which the platform writes for each process. The platform
// defines the keys.
type Settings struct {
	NodeName  string   `toml:"node_name"`  // shown in log lines and in the status
	Serves    []string `toml:"serves"`     // interfaces that this process offers: edge, control
	IPAddress string   `toml:"ip_address"` // address for the system's other processes
	Zone      string   `toml:"zone"`       // failure domain; its servers and replicas are preferred
	Region    string   `toml:"region"`     // region of the zone; empty: taken from Zones
	// SparePorts are the first and the last port of a free range. The first is used between the system's
	// own processes.
	SparePorts []int `toml:"spare_ports"`
	// SeedNodes are control addresses through which a process that knows no replica finds the core. At the
	// first start of the system they must be the same in all processes.
	SeedNodes []string `toml:"seed_nodes"`
	// FreshStart reports that the entire system starts for the first time, with empty disks. Default: false.
	FreshStart bool `toml:"fresh_start"`
	// DataDir is a directory on the machine's disk. A process that has one runs a replica. Default: none.
	DataDir string   `toml:"data_dir"`
	Bounds  []string `toml:"bounds"` // entries of the form name=value, also comma-separated; see NumericBounds
	// Zones maps each zone to its region. It must contain this process's zone if Survive.Regions isn't 0.
	Zones    map[string]string `toml:"zones"`
	Listen   Listen            `toml:"listen"`
	Limits   Limits            `toml:"limits"`
	Survive  Survive           `toml:"survive"`
	CloudAPI CloudAPI          `toml:"cloud_api"`
	PeerAuth PeerAuth          `toml:"peer_auth"`
	// Metrics is the port and path of the metrics endpoint at IPAddress, of the form PORT/PATH. Default:
	// metrics aren't served.
	Metrics string `toml:"metrics"`
	// NumericBounds are the entries of Bounds with numeric values, by name. Names that end in _s are in
	// seconds.
	NumericBounds map[string]float64 `toml:"-"`
}

// Listen is the listen address of each interface. An empty address disables the interface.
type Listen struct {
	Front   string `toml:"front"`   // for client requests
	Ready   string `toml:"ready"`   // for readiness checks
	Control string `toml:"control"` // for operators and servers
}

// Limits are the resource limits of the machine. 0: the limit is unknown.
type Limits struct {
	CPUShare  float64 `toml:"cpu_share"`  // in cores; for the platform: this program uses at most one core
	MemoryMB  int     `toml:"memory_mb"`  // the garbage collector works harder above 60% of it
	OpenFiles int     `toml:"open_files"` // a third of those left for connections is for servers
	DiskMB    int     `toml:"disk_mb"`    // for the platform only: the store is much smaller
}

// Survive is the number of simultaneous failures after which no acknowledged write is lost: of machines with
// a disk, of entire zones, or of entire regions. Default: 0 each.
type Survive struct {
	Machines int `toml:"machines"`
	Zones    int `toml:"zones"`
	Regions  int `toml:"regions"`
}

// PeerAuth configures how the system's own processes authenticate each other. Default: no authentication, so
// that anyone who can reach the first spare port is accepted as a peer.
type PeerAuth struct {
	// KeyFile is a file with one key per line: the first key is used to authenticate to peers, and all are
	// accepted from them. SIGHUP reloads it.
	KeyFile string `toml:"key_file"`
	// Optional accepts peers without keys, for the time while keys are rolled out process by process.
	// Default: false.
	Optional bool `toml:"optional"`
}

// CloudAPI configures access to the platform's list of servers.
type CloudAPI struct {
	Address          string  `toml:"address"`
	AllowedPerSecond float64 `toml:"allowed_per_s"` // maximum calls per second, summed over all processes
	DelaySeconds     float64 `toml:"delay_s"`       // delay of the list behind the actual state
}

var settingsSchema = schema.New("settings", schemaText)

// ReadFile reads and validates a settings file.
func ReadFile(path string) (*Settings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	s, err := Read(text)
	return s, trace.Wrap(err, "settings %s", path)
}

// Read parses and validates settings in TOML. A validation error names each fault with its key. Unknown
// fields are ignored.
func Read(text []byte) (*Settings, error) {
	var raw map[string]any
	if err := toml.Unmarshal(text, &raw); err != nil {
		return nil, trace.BadParameter("invalid TOML: %v", err)
	}
	b, err := json.Marshal(raw)
	if err != nil {
		return nil, trace.BadParameter("%v", err)
	}
	if err := settingsSchema.Validate(b); err != nil {
		return nil, err
	}
	s := new(Settings)
	if err := toml.Unmarshal(text, s); err != nil {
		return nil, trace.BadParameter("%v", err)
	}
	if err := s.parseBounds(); err != nil {
		return s, err
	}
	return s, s.checkRegion()
}

// checkRegion returns an error if Survive.Regions is set and Zones either lacks the zone of this process or
// contradicts Region.
func (s *Settings) checkRegion() error {
	switch region, known := s.Zones[s.Zone]; {
	case s.Survive.Regions == 0:
	case !known:
		return trace.BadParameter("zones: no region for zone %q, but survive.regions is %d", s.Zone,
			s.Survive.Regions)
	case s.Region != "" && s.Region != region:
		return trace.BadParameter("region: %q conflicts with %q in zones for zone %q", s.Region, region, s.Zone)
	}
	return nil
}

// parseBounds fills NumericBounds from Bounds, and returns an error if neither listen.front nor
// listen.control is set. Entries whose value isn't a number are ignored.
func (s *Settings) parseBounds() error {
	s.NumericBounds = map[string]float64{}
	for _, line := range s.Bounds {
		for part := range strings.SplitSeq(line, ",") {
			name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
			if n, err := strconv.ParseFloat(value, 64); err == nil {
				s.NumericBounds[name] = n
			}
		}
	}
	if s.Listen.Front == "" && s.Listen.Control == "" {
		return trace.BadParameter("listen: front or control must be set")
	}
	return nil
}

// Bound returns the numeric bound of the given name, or defaultValue if the file doesn't contain it.
func (s *Settings) Bound(name string, defaultValue float64) float64 {
	if n, ok := s.NumericBounds[name]; ok {
		return n
	}
	return defaultValue
}

// MetricsEndpoint returns the address and the path of the metrics endpoint. ok is false if metrics aren't
// served.
func (s *Settings) MetricsEndpoint() (addr, path string, ok bool) {
	port, path, ok := strings.Cut(s.Metrics, "/")
	return net.JoinHostPort(s.IPAddress, port), "/" + path, ok
}

// PeerAddr returns the address of this process for the system's other processes.
func (s *Settings) PeerAddr() string {
	return net.JoinHostPort(s.IPAddress, strconv.Itoa(s.SparePorts[0]))
}

// SeedPeerAddrs returns the peer addresses of the seed nodes, sorted and without duplicates. All machines use
// the same spare ports, so the port is this process's own.
func (s *Settings) SeedPeerAddrs() []string {
	var list []string
	for _, seed := range s.SeedNodes {
		if host, _, err := net.SplitHostPort(seed); err == nil {
			list = append(list, net.JoinHostPort(host, strconv.Itoa(s.SparePorts[0])))
		}
	}
	slices.Sort(list)
	return slices.Compact(list)
}
