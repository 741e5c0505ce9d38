package storage

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"io/fs"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"github.com/gravitational/trace"

	"dunespoke/internal/controlplane/message"
	"dunespoke/internal/controlplane/replica"
)

// Snapshot is the content of a stopped machine's store, as a JSON document for operators. It contains the
// configuration with the tenants' API keys, so it must be kept as secret as those. The JSON keys are those of
// existing documents.
type Snapshot struct {
	Format   int      `json:"form"`  // of the document: snapshotFormat
	CaughtUp bool     `json:"whole"` // the replica had all acknowledged configurations, and a vote
	Version  uint64   `json:"version"`
	Epoch    uint64   `json:"epoch"`  // the highest that was promised or installed
	Members  []string `json:"core"`   // addresses of the members of the core
	Chain    []string `json:"chain"`  // of the last installed view
	Digest   string   `json:"sha256"` // of Config, in hexadecimal
	Config   string   `json:"config"` // as received
}

// snapshotFormat is the only supported format.
const snapshotFormat = 1

// ReadSnapshot reads the store of a stopped machine without changing it. The error is a trace.NotFound if
// there is no store, and a trace.CompareFailed if the store is in use or can't be read completely.
func ReadSnapshot(dir string) (snapshot *Snapshot, err error) {
	path := filepath.Join(dir, storeName)
	if _, err := os.Stat(path); errors.Is(err, fs.ErrNotExist) {
		return nil, trace.NotFound("no store in this folder")
	}
	lock, err := diskEnvironment.fs.Lock(filepath.Join(path, lockName))
	if err != nil {
		return nil, trace.CompareFailed("can't lock the store; is its process still running? %v", err)
	}
	defer func() { err = trace.NewAggregate(err, lock.Close()) }()
	opened, err := openPebble(path, diskEnvironment, true)
	if err != nil {
		return nil, trace.CompareFailed("can't read the store: %v", err)
	}
	return newSnapshot(opened.takeInitial()), trace.Wrap(opened.close())
}

func newSnapshot(state replica.PersistentState) *Snapshot {
	snapshot := &Snapshot{Format: snapshotFormat, CaughtUp: state.CaughtUp, Version: state.Version,
		Epoch: max(state.PromisedEpoch, state.Epoch), Chain: state.Chain, Digest: configDigest(state.Config),
		Config: string(state.Config)}
	for _, member := range state.Members {
		snapshot.Members = append(snapshot.Members, member.Addr)
	}
	return snapshot
}

// configDigest returns the SHA-256 digest of a configuration in hexadecimal.
func configDigest(config []byte) string {
	sum := sha256.Sum256(config)
	return hex.EncodeToString(sum[:])
}

// Encode returns a snapshot as a JSON document.
func (s *Snapshot) Encode() ([]byte, error) {
	b, err := json.MarshalIndent(s, "", " ")
	return append(b, '\n'), trace.Wrap(err)
}

// DecodeSnapshot parses a document that Encode returned, and checks that it is complete and unaltered. An
// error is a trace.BadParameter.
func DecodeSnapshot(text []byte) (*Snapshot, error) {
	s := new(Snapshot)
	if err := json.Unmarshal(text, s); err != nil {
		return nil, trace.BadParameter("snapshot: invalid JSON: %v", err)
	}
	switch {
	case s.Format != snapshotFormat:
		return nil, trace.BadParameter("snapshot: unsupported form %d, want %d", s.Format, snapshotFormat)
	case s.Digest != configDigest([]byte(s.Config)):
		return nil, trace.BadParameter("snapshot: digest mismatch: the document was altered")
	case s.Version > 0 && s.Config == "":
		return nil, trace.BadParameter("snapshot: the configuration is missing")
	}
	return s, nil
}

// restoredEpochGap is by how much the first epoch of a restored core exceeds that of the snapshot, since
// other members of the old core may have promised later epochs.
const restoredEpochGap = 1 << 20

// Restore creates the store of one member of a core that is restored from a snapshot. All members must be
// restored from the same snapshot with the same list of members, and no member of the old core may be started
// again with its old store. If the directory already contains a store, the error is a trace.AlreadyExists.
func Restore(dir string, s *Snapshot, members []message.Node) error {
	if len(members) == 0 {
		return trace.BadParameter("a core needs at least one member")
	}
	if _, err := os.Stat(filepath.Join(dir, storeName)); err == nil {
		return trace.AlreadyExists("there is already a store in this folder: move it away first")
	}
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return trace.ConvertSystemError(err)
	}
	members = slices.Clone(members)
	slices.SortFunc(members, func(a, b message.Node) int { return strings.Compare(a.Addr, b.Addr) })
	restored, _, err := Open(dir)
	if err != nil {
		return trace.Wrap(err)
	}
	epoch := s.Epoch + restoredEpochGap
	for i := range members { // the same for all members, and different from the IDs of earlier stores
		members[i].StoreID = epoch
	}
	err = restored.write(replica.PersistentState{CaughtUp: true, Members: members, MembershipEpoch: epoch,
		PromisedEpoch: epoch, Epoch: epoch, Value: replica.Value{Version: s.Version, Config: []byte(s.Config)}})
	return trace.NewAggregate(err, restored.Close(closeTimeout))
}
