package config

import (
	"bytes"
	"testing"
)

// Guards against a document that crashes the host, or that a host decodes differently
// from the one that encoded it.
func FuzzDecode(f *testing.F) {
	f.Add([]byte(`{"revision":1}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		d, err := Decode(data)
		if err != nil {
			return
		}
		encoded, err := d.Encode()
		if err != nil {
			t.Fatal(err)
		}
		again, err := Decode(encoded)
		if err != nil {
			t.Fatalf("the encoded form of a valid document is invalid: %v\n%s", err, encoded)
		}
		second, err := again.Encode()
		if err != nil || !bytes.Equal(encoded, second) {
			t.Fatalf("the encoded form changes: %v\n%s\n%s", err, encoded, second)
		}
		x := NewIndex(d)
		for _, a := range d.Accounts {
			if x.Account(a.ID) == nil {
				t.Fatalf("account %q is not found", a.ID)
			}
		}
		_ = x.Route("booking", "POST", "/bookings")
		if _, err := d.Next(func(*Document) error { return nil }, ChangeRecord{AttemptID: "x", Operator: "o", Summary: "s"}); err != nil {
			t.Fatalf("a valid document has no next revision: %v", err)
		}
	})
}
