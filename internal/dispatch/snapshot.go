package dispatch

import (
	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/sequoiaroad/sequoiaroad/policy/prefix"
	"github.com/sequoiaroad/sequoiaroad/policy/routing"
)

const (
	snapshotVersion = 1
	// snapshotBlocks keeps a snapshot near 2 MB, below the frame limit of 8 MiB.
	snapshotBlocks = 1 << 16
	// maxSnapshotBytes is the frame limit of the internal protocol.
	maxSnapshotBytes = 8 << 20
)

// snapshot is the serialized state that survives a restart.
type snapshot struct {
	Version int                    `msgpack:"v"`
	Learned []routing.LearnedState `msgpack:"l"`
	Targets []prefix.ExportTarget  `msgpack:"t"`
	// Hashes is the concatenation of the block hashes.
	Hashes  []byte     `msgpack:"h"`
	Holders [][]uint16 `msgpack:"b"`
}

// Snapshot encodes learned costs, ejections and the most used part of the index.
func (d *Dispatcher) Snapshot() ([]byte, error) {
	d.mu.Lock()
	d.applyConfig()
	export := d.index.Export(snapshotBlocks)
	s := snapshot{Version: snapshotVersion, Learned: d.router.ExportLearned(d.clock()), Targets: export.Targets, Holders: export.Holders}
	d.mu.Unlock()
	s.Hashes = make([]byte, 0, len(export.Hashes)*prefix.HashBytes)
	for i := range export.Hashes {
		s.Hashes = append(s.Hashes, export.Hashes[i][:]...)
	}
	encoded, err := msgpack.Marshal(&s)
	return encoded, errors.Wrap(err, "encode routing snapshot")
}

// Restore adds the content of a snapshot for targets that have no state yet. Restored
// index entries stay uncertain until the target's full list has arrived, and are
// dropped if the target reports another epoch.
func (d *Dispatcher) Restore(encoded []byte) error {
	if len(encoded) > maxSnapshotBytes {
		return errors.Errorf("restore routing snapshot: %d bytes exceed the limit of %d", len(encoded), maxSnapshotBytes)
	}
	var s snapshot
	if err := msgpack.Unmarshal(encoded, &s); err != nil {
		return errors.Wrap(err, "restore routing snapshot")
	}
	if s.Version != snapshotVersion {
		return errors.Errorf("restore routing snapshot: unknown version %d", s.Version)
	}
	if len(s.Hashes) != len(s.Holders)*prefix.HashBytes {
		return errors.Errorf("restore routing snapshot: %d blocks, but %d bytes of hashes", len(s.Holders), len(s.Hashes))
	}
	export := prefix.Export{Targets: s.Targets, Holders: s.Holders, Hashes: make([]prefix.BlockHash, len(s.Holders))}
	for i := range export.Hashes {
		copy(export.Hashes[i][:], s.Hashes[i*prefix.HashBytes:])
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.applyConfig()
	for i := range export.Targets {
		if d.targetQueues[export.Targets[i].ID] == nil {
			export.Targets[i].Epoch = "" // no longer configured
		}
	}
	d.index.Import(export)
	d.router.ImportLearned(s.Learned, d.clock())
	return nil
}
