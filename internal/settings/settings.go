// Package settings reads the file that tells a process what it is, and checks it by a schema.
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

// Settings are what a process is told, by the file that its platform writes. The keys are the platform's.
type Settings struct {
	NodeName  string   `toml:"node_name"`  // in log lines and in the status
	Serves    []string `toml:"serves"`     // what others may call here: edge, control
	IPAddress string   `toml:"ip_address"` // for the system's own processes
	Zone      string   `toml:"zone"`       // a failure domain; servers and replicas of it are preferred
	Region    string   `toml:"region"`     // of the zone; empty: as Zones says
	// SparePorts are the first and the last port that is free. The first is for the system's own processes.
	SparePorts []int `toml:"spare_ports"`
	// SeedNodes are control addresses by which a process that knows no replica finds the core. At the first
	// start they are the same everywhere.
	SeedNodes []string `toml:"seed_nodes"`
	// FreshStart says that the whole system starts for the first time, with empty disks. Default: false.
	FreshStart bool `toml:"fresh_start"`
	// DataDir is a folder on the machine's disk, and makes it hold a replica. Default: none.
	DataDir string   `toml:"data_dir"`
	Bounds  []string `toml:"bounds"` // of the form name=value; see NumericBounds
	// Zones are the zones' regions, by zone. A process whose settings let regions be lost has to find its own.
	Zones    map[string]string `toml:"zones"`
	Listen   Listen            `toml:"listen"`
	Limits   Limits            `toml:"limits"`
	Survive  Survive           `toml:"survive"`
	CloudAPI CloudAPI          `toml:"cloud_api"`
	PeerAuth PeerAuth          `toml:"peer_auth"`
	// Metrics is where this process tells its figures, of the form PORT/PATH, at IPAddress. Default: nowhere.
	Metrics string `toml:"metrics"`
	// NumericBounds are the bounds that are numbers, by name. Those that end in _s are in seconds.
	NumericBounds map[string]float64 `toml:"-"`
}

// Listen holds the addresses for what a process serves; empty: it does not serve that.
type Listen struct {
	Front   string `toml:"front"`   // for clients
	Ready   string `toml:"ready"`   // for checks whether clients should come
	Control string `toml:"control"` // for operators and servers
}

// Limits are the machine's. 0: no limit is told.
type Limits struct {
	CPUShare  float64 `toml:"cpu_share"`  // of a core; for the platform, this program uses one at most
	MemoryMB  int     `toml:"memory_mb"`  // the collector works harder from six tenths of it
	OpenFiles int     `toml:"open_files"` // descriptors; a third of what is left for connections is for servers
	DiskMB    int     `toml:"disk_mb"`    // for the platform: the store is much smaller
}

// Survive is what may be lost at once with nothing lost that was acknowledged: so many machines with a disk,
// or all those of so many zones, or regions. Default: 0 each.
type Survive struct {
	Machines int `toml:"machines"`
	Zones    int `toml:"zones"`
	Regions  int `toml:"regions"`
}

// PeerAuth is by what the system's own processes know each other. Default: by nothing, so that whoever
// reaches the first spare port is a peer.
type PeerAuth struct {
	// KeyFile is a file of keys, one a line: the first is used, all are accepted. It is read again on SIGHUP.
	KeyFile string `toml:"key_file"`
	// Optional lets in peers without keys, while keys are given to one process after the other. Default: false.
	Optional bool `toml:"optional"`
}

// CloudAPI is where the platform holds the list of servers.
type CloudAPI struct {
	Address          string  `toml:"address"`
	AllowedPerSecond float64 `toml:"allowed_per_s"` // calls a second, of all processes together
	DelaySeconds     float64 `toml:"delay_s"`       // by which the list lags
}

var settingsSchema = schema.New("settings", schemaText)

// ReadFile reads a file of settings.
func ReadFile(path string) (*Settings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	s, err := Read(text)
	return s, trace.Wrap(err, "settings %s", path)
}

// Read reads settings. An error names each fault with its key. Fields that this program doesn't know are
// passed over.
func Read(text []byte) (*Settings, error) {
	var raw map[string]any
	if err := toml.Unmarshal(text, &raw); err != nil {
		return nil, trace.BadParameter("not TOML: %v", err)
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

// checkRegion holds the settings to telling the region of this process's zone, where regions may be lost.
func (s *Settings) checkRegion() error {
	switch region, known := s.Zones[s.Zone]; {
	case s.Survive.Regions == 0:
	case !known:
		return trace.BadParameter("zones: no region of zone %q, and survive.regions is %d", s.Zone,
			s.Survive.Regions)
	case s.Region != "" && s.Region != region:
		return trace.BadParameter("region: %q, and zones has %q for zone %q", s.Region, region, s.Zone)
	}
	return nil
}

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
		return trace.BadParameter("listen: neither front nor control")
	}
	return nil
}

// Bound is a bound, or the given value where the file has none.
func (s *Settings) Bound(name string, otherwise float64) float64 {
	if n, ok := s.NumericBounds[name]; ok {
		return n
	}
	return otherwise
}

// MetricsEndpoint is the address and the path at which figures are told; ok is false where they are not.
func (s *Settings) MetricsEndpoint() (addr, path string, ok bool) {
	port, path, ok := strings.Cut(s.Metrics, "/")
	return net.JoinHostPort(s.IPAddress, port), "/" + path, ok
}

// PeerAddr is this process's address for the system's other processes.
func (s *Settings) PeerAddr() string {
	return net.JoinHostPort(s.IPAddress, strconv.Itoa(s.SparePorts[0]))
}

// SeedPeerAddrs are the seeds' addresses for the system's own processes: ports are alike on all machines.
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
