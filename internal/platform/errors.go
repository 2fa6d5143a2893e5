package platform

import "fmt"

// CallError names the step and the peer at which a call of the platform failed.
// Kind is one of the errors that callers tell apart.
type CallError struct {
	Op   string
	Peer string
	Kind error
	// Cause is the underlying error; nil if Kind says it all.
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
