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

// Snapshot is what a stopped machine's store holds, as a document that operators can keep and look at. The
// configuration is in it with its tenants' keys: it is to be kept like one. The names of its fields are those
// of documents that were written before.
type Snapshot struct {
	Format   int      `json:"form"`  // of the document: 1
	CaughtUp bool     `json:"whole"` // the replica had all that was acknowledged, and a vote
	Version  uint64   `json:"version"`
	Epoch    uint64   `json:"epoch"` // the highest that it has promised or installed
	Members  []string `json:"core"`  // addresses of the machines of the core
	Chain    []string `json:"chain"` // of the view installed last
	Digest   string   `json:"sha256"`
	Config   string   `json:"config"` // as it was sent
}

// snapshotFormat is the format that this program writes and reads.
const snapshotFormat = 1

// ReadSnapshot reads the store of a stopped machine without changing it. The error is a trace.NotFound where
// there is no store, a trace.CompareFailed where the store is in use or can't be read whole.
func ReadSnapshot(dir string) (snapshot *Snapshot, err error) {
	path := filepath.Join(dir, storeName)
	if _, err := os.Stat(path); errors.Is(err, fs.ErrNotExist) {
		return nil, trace.NotFound("no store in this folder")
	}
	lock, err := diskEnvironment.fs.Lock(filepath.Join(path, lockName))
	if err != nil {
		return nil, trace.CompareFailed("the store can't be opened; does its machine run? %v", err)
	}
	defer func() { err = trace.NewAggregate(err, lock.Close()) }()
	opened, err := openPebble(path, diskEnvironment, true)
	if err != nil {
		return nil, trace.CompareFailed("the store can't be read: %v", err)
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

func configDigest(config []byte) string {
	sum := sha256.Sum256(config)
	return hex.EncodeToString(sum[:])
}

// Encode writes a snapshot as a document.
func (s *Snapshot) Encode() ([]byte, error) {
	b, err := json.MarshalIndent(s, "", " ")
	return append(b, '\n'), trace.Wrap(err)
}

// DecodeSnapshot reads a document that Encode wrote, and checks that it is whole. An error is a
// trace.BadParameter.
func DecodeSnapshot(text []byte) (*Snapshot, error) {
	s := new(Snapshot)
	if err := json.Unmarshal(text, s); err != nil {
		return nil, trace.BadParameter("snapshot: can't be read: %v", err)
	}
	switch {
	case s.Format != snapshotFormat:
		return nil, trace.BadParameter("snapshot: of form %d, this program reads %d", s.Format, snapshotFormat)
	case s.Digest != configDigest([]byte(s.Config)):
		return nil, trace.BadParameter("snapshot: it is not as it was written: its digest differs")
	case s.Version > 0 && s.Config == "":
		return nil, trace.BadParameter("snapshot: the configuration is missing")
	}
	return s, nil
}

// restoredEpochGap is by how much a core that is restored begins above the epochs of a snapshot: those who
// are not in it may have promised later ones.
const restoredEpochGap = 1 << 20

// Restore makes the store of one member of a core that is restored from a snapshot. All members named must
// get the same, and none of the old core may be started again with its old store. The folder must hold no
// store; the error is a trace.AlreadyExists otherwise.
func Restore(dir string, s *Snapshot, members []message.Node) error {
	if len(members) == 0 {
		return trace.BadParameter("a core needs machines")
	}
	if _, err := os.Stat(filepath.Join(dir, storeName)); err == nil {
		return trace.AlreadyExists("there is a store in this folder: move it away first")
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
	for i := range members { // the same on all of them, and of no store before
		members[i].StoreID = epoch
	}
	err = restored.write(replica.PersistentState{CaughtUp: true, Members: members, MembershipEpoch: epoch,
		PromisedEpoch: epoch, Epoch: epoch, Value: replica.Value{Version: s.Version, Config: []byte(s.Config)}})
	return trace.NewAggregate(err, restored.Close(closeTimeout))
}
