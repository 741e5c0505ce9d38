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

// Settings are what a process is told. Times are in seconds.
type Settings struct {
	NodeName      string             `toml:"node_name"`
	Serves        []string           `toml:"serves"`
	IPAddress     string             `toml:"ip_address"`
	Zone          string             `toml:"zone"`
	Region        string             `toml:"region"`
	SparePorts    []int              `toml:"spare_ports"`
	SeedNodes     []string           `toml:"seed_nodes"`
	FreshStart    bool               `toml:"fresh_start"`
	DataDir       string             `toml:"data_dir"`
	Bounds        []string           `toml:"bounds"`
	Zones         map[string]string  `toml:"zones"`
	Listen        Listen             `toml:"listen"`
	Limits        Limits             `toml:"limits"`
	Survive       Survive            `toml:"survive"`
	CloudAPI      CloudAPI           `toml:"cloud_api"`
	NumericBounds map[string]float64 `toml:"-"` // the bounds that are numbers, by name
}

// Listen holds the addresses for what a process serves; empty: it does not serve that.
type Listen struct {
	Front   string `toml:"front"`
	Ready   string `toml:"ready"`
	Control string `toml:"control"`
}

// Limits are the machine's.
type Limits struct {
	CPUShare  float64 `toml:"cpu_share"`
	MemoryMB  int     `toml:"memory_mb"`
	OpenFiles int     `toml:"open_files"`
	DiskMB    int     `toml:"disk_mb"`
}

// Survive is what may be lost at once with all rules kept: so many machines, or zones, or regions.
type Survive struct {
	Machines int `toml:"machines"`
	Zones    int `toml:"zones"`
	Regions  int `toml:"regions"`
}

// CloudAPI is where the platform holds the list of servers.
type CloudAPI struct {
	Address          string  `toml:"address"`
	AllowedPerSecond float64 `toml:"allowed_per_s"`
	DelaySeconds     float64 `toml:"delay_s"`
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
