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

// settingsPollInterval is the time between checks of the settings file for changes.
const settingsPollInterval = time.Second

// fileVersion identifies the state of a file, to detect changes.
type fileVersion struct {
	modified int64 // nanoseconds
	size     int64 // bytes
}

func fileVersionOf(path string) fileVersion {
	info, err := os.Stat(path)
	if err != nil { // it is being replaced, or was removed; the next poll checks again
		return fileVersion{}
	}
	return fileVersion{info.ModTime().UnixNano(), info.Size()}
}

// watchSettings reloads the settings when their file changes or a value arrives on reload. It returns when
// the context ends.
func (s *Server) watchSettings(ctx context.Context, reload <-chan os.Signal) {
	ticker := time.NewTicker(settingsPollInterval)
	defer ticker.Stop()
	last := fileVersionOf(s.path)
	for {
		forced := false
		select {
		case <-ctx.Done():
			return
		case <-reload:
			forced = true
		case <-ticker.C:
		}
		if current := fileVersionOf(s.path); forced || current != last {
			last = current
			s.reloadSettings()
		}
	}
}

// reloadSettings reads the settings file again. The address of the platform's API, the seeds and the peer
// keys are applied; all other settings need a restart.
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

// reloadPeerKeys applies the peer keys that the settings name now. If they are invalid, the old ones stay in
// use.
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
