package fleet

import (
	"context"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"github.com/sequoiaroad/sequoiaroad/internal/platform"
	"github.com/sequoiaroad/sequoiaroad/policy/config"
)

// maxHistory bounds the number of revisions that History returns.
const maxHistory = 1000

// History implements Proposer. A limit of zero or above maxHistory means maxHistory.
// It reads each row by key, newest first, since a scan lists the oldest first.
func (f *Fleet) History(ctx context.Context, limit int) ([]*config.Document, error) {
	if limit <= 0 || limit > maxHistory {
		limit = maxHistory
	}
	_, current, err := f.readCurrent(ctx)
	if err != nil {
		return nil, errors.Wrap(err, "history")
	}
	documents := []*config.Document{current}
	for revision := current.Revision - 1; revision >= 1 && len(documents) < limit; revision-- {
		row, err := f.options.Store.Get(ctx, configTable, historyKey(revision))
		if errors.Is(err, platform.ErrNotFound) {
			break
		}
		if err != nil {
			return nil, errors.Wrapf(err, "history: read revision %d", revision)
		}
		d, err := config.Decode(row.Value)
		if err != nil {
			return nil, errors.Wrapf(err, "history: revision %d", revision)
		}
		documents = append(documents, d)
	}
	return documents, nil
}

// Bootstrap writes initial as revision 1 to an empty store. It returns
// ErrRevisionConflict if the store already has a configuration. If the response to the
// write is lost, it reads the revision back and compares the attempt ID.
func Bootstrap(ctx context.Context, store platform.Store, initial *config.Document) error {
	first, err := (&config.Document{}).Next(func(d *config.Document) error {
		*d = *initial.Clone()
		return nil
	}, initial.Change)
	if err != nil {
		return errors.Wrap(err, "bootstrap")
	}
	first.Change.AttemptID = uuid.NewString()
	encoded, err := first.Encode()
	if err != nil {
		return errors.Wrap(err, "bootstrap")
	}
	key := historyKey(first.Revision)
	_, err = store.Commit(ctx,
		[]platform.Condition{{Table: configTable, Key: currentKey}, {Table: configTable, Key: key}},
		[]platform.Write{
			{Table: configTable, Key: currentKey, Value: encoded},
			{Table: configTable, Key: key, Value: encoded},
		})
	if err == nil || errors.Is(err, platform.ErrUnavailable) {
		return errors.Wrap(err, "bootstrap")
	}
	row, readErr := store.Get(ctx, configTable, key)
	if readErr != nil {
		return errors.Wrapf(err, "bootstrap: read back: %v", readErr)
	}
	accepted, decodeErr := config.Decode(row.Value)
	if decodeErr == nil && accepted.Change.AttemptID == first.Change.AttemptID {
		return nil
	}
	return errors.Wrap(ErrRevisionConflict, "bootstrap")
}
