package platform

import "fmt"

// CallError reports the operation and the peer of a failed call to the platform.
type CallError struct {
	// Op describes the operation, such as "read host list".
	Op string
	// Peer is the host and port of the platform.
	Peer string
	// Kind is the error that callers test for, such as ErrUnavailable.
	Kind error
	// Cause is the underlying error; nil if Kind is sufficient.
	Cause error
}

func (e *CallError) Error() string {
	if e.Cause == nil {
		return fmt.Sprintf("%s at %s: %v", e.Op, e.Peer, e.Kind)
	}
	return fmt.Sprintf("%s at %s: %v: %v", e.Op, e.Peer, e.Kind, e.Cause)
}

// Unwrap returns the kind and the cause.
func (e *CallError) Unwrap() []error {
	if e.Cause == nil {
		return []error{e.Kind}
	}
	return []error{e.Kind, e.Cause}
}
