package config

import (
	"encoding/json"
	"slices"

	"github.com/pkg/errors"
)

// Clone returns a deep copy.
func (d *Document) Clone() *Document {
	c := *d
	c.Members = slices.Clone(d.Members)
	c.Accounts = slices.Clone(d.Accounts)
	c.ClientKeys = slices.Clone(d.ClientKeys)
	c.OperatorKeys = slices.Clone(d.OperatorKeys)
	c.Routes = slices.Clone(d.Routes)
	c.Models = slices.Clone(d.Models)
	c.Targets = slices.Clone(d.Targets)
	for i := range c.Targets {
		c.Targets[i].Models = slices.Clone(c.Targets[i].Models)
	}
	c.Change.WithdrawnKeyIDs = slices.Clone(d.Change.WithdrawnKeyIDs)
	return &c
}

// Mutation edits a copy of the current document. It returns an error to reject the
// change, for example because it names an unknown account.
type Mutation func(*Document) error

// Next returns the revision that follows d: a validated copy with the mutation
// applied and the revision raised by one. The record's withdrawal fields are
// derived from the difference between both documents.
func (d *Document) Next(mutate Mutation, record ChangeRecord) (*Document, error) {
	next := d.Clone()
	if err := mutate(next); err != nil {
		return nil, err
	}
	next.Revision = d.Revision + 1
	next.MembersRevision = d.MembersRevision
	if d.MembersRevision == 0 {
		next.MembersRevision = d.Revision
	}
	if !slices.Equal(d.Members, next.Members) {
		next.MembersRevision = next.Revision
	}
	record.WithdrawnKeyIDs = withdrawnKeyIDs(d, next)
	record.OnlyWithdrawals = len(record.WithdrawnKeyIDs) > 0 && onlyWithdraws(d, next)
	next.Change = record
	if err := next.Validate(); err != nil {
		return nil, err
	}
	return next, nil
}

func withdrawnKeyIDs(old, next *Document) []string {
	var ids []string
	for _, k := range old.ClientKeys {
		kept := slices.ContainsFunc(next.ClientKeys, func(n ClientKey) bool { return n.ID == k.ID })
		if !kept {
			ids = append(ids, k.ID)
		}
	}
	return ids
}

// onlyWithdraws reports whether next differs from old only by removed client keys.
func onlyWithdraws(old, next *Document) bool {
	a, b := old.Clone(), next.Clone()
	a.Revision, b.Revision = 0, 0
	a.MembersRevision, b.MembersRevision = 0, 0 // follows from Members
	a.Change, b.Change = ChangeRecord{}, ChangeRecord{}
	a.ClientKeys = slices.DeleteFunc(a.ClientKeys, func(k ClientKey) bool {
		return !slices.Contains(b.ClientKeys, k)
	})
	x, errX := json.Marshal(a)
	y, errY := json.Marshal(b)
	return errX == nil && errY == nil && string(x) == string(y)
}

// Encode returns the stored form of the document.
func (d *Document) Encode() ([]byte, error) {
	b, err := json.Marshal(d)
	return b, errors.Wrap(err, "encode configuration")
}

// Decode parses and validates a stored document.
func Decode(data []byte) (*Document, error) {
	var d Document
	if err := json.Unmarshal(data, &d); err != nil {
		return nil, errors.Wrap(err, "decode configuration")
	}
	if err := d.Validate(); err != nil {
		return nil, errors.Wrap(err, "decode configuration")
	}
	return &d, nil
}
