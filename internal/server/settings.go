package server

import (
	"context"
	"os"
	"time"

	"github.com/gravitational/trace"

	"dunespoke/internal/controlplane/discovery"
	"dunespoke/internal/events"
	"dunespoke/internal/net/direct"
	"dunespoke/internal/settings"
)

// settingsPollInterval is between looks at the settings file.
const settingsPollInterval = time.Second

// fileVersion tells one state of a file from another.
type fileVersion struct {
	modified int64 // nanoseconds
	size     int64 // bytes
}

func fileVersionOf(path string) fileVersion {
	info, err := os.Stat(path)
	if err != nil { // it is being replaced, or gone: looked at again
		return fileVersion{}
	}
	return fileVersion{info.ModTime().UnixNano(), info.Size()}
}

// watchSettings waits for the end, and reads the settings again when they change.
func (s *Server) watchSettings(ctx context.Context, reload <-chan os.Signal) {
	ticker := time.NewTicker(settingsPollInterval)
	defer ticker.Stop()
	seen := fileVersionOf(s.path)
	for {
		forced := false
		select {
		case <-ctx.Done():
			return
		case <-reload:
			forced = true
		case <-ticker.C:
		}
		if current := fileVersionOf(s.path); forced || current != seen {
			seen = current
			s.reloadSettings()
		}
	}
}

// reloadSettings reads the settings again. The platform's address, the seeds and the keys for peers are
// applied; all else needs a restart.
func (s *Server) reloadSettings() {
	set, err := settings.ReadFile(s.path)
	if err != nil {
		s.Log(events.SettingsInvalid, "error", trace.UserMessage(err))
		return
	}
	s.reloadPeerKeys(set)
	s.loop.post(func() {
		if set.CloudAPI.Address != s.settings.CloudAPI.Address {
			s.discovery = discovery.New(set.CloudAPI.Address, direct.Dial)
		}
		s.node.SetSeeds(set.SeedPeerAddrs())
		s.settings.CloudAPI = set.CloudAPI
		s.Log(events.Settings)
	})
}

// reloadPeerKeys has peers authenticated by the keys that the settings name now.
func (s *Server) reloadPeerKeys(set *settings.Settings) {
	authentication, err := peerAuthentication(set)
	if err != nil {
		s.Log(events.PeerKeysInvalid, "error", trace.UserMessage(err))
		return
	}
	if authentication.Authenticator != nil || s.authenticatesPeers {
		s.authenticatesPeers = authentication.Authenticator != nil
		s.transport.SetAuthentication(authentication)
	}
}
