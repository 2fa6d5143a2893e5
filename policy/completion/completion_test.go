package completion

import (
	"testing"

	. "github.com/onsi/gomega"
)

// step is one thing that a host learns of a stream.
type step func(p *Progress)

func relayed(part string) step { return func(p *Progress) { p.RecordRelayed([]byte(part)) } }
func partial(part string) step { return func(p *Progress) { p.RecordPartial([]byte(part)) } }
func resumption(p *Progress)   { p.RecordResumption() }

// Guards against a stream that ends as complete although a target has begun an event that the
// caller never received, and against a complete one that counts as broken off.
func TestStreamIsCompleteOnceNoEventIsOwed(t *testing.T) {
	const event = "id: 1\ndata: token\n\n"
	for name, c := range map[string]struct {
		steps []step
		want  error
	}{
		"no event":                                {nil, ErrIncomplete},
		"an event":                                {[]step{relayed(event)}, nil},
		"only comments":                           {[]step{relayed(": wait\n\n"), relayed(":\r\n\r\n")}, ErrIncomplete},
		"an event and a comment":                  {[]step{relayed(event), relayed(": end\n\n")}, nil},
		"an event without a number":               {[]step{relayed("data: token\n\n")}, nil},
		"resumed by the caller after the last":    {[]step{resumption}, nil},
		"resumed by the host after the last":      {[]step{relayed(event)}, nil},
		"part of an event, then nothing":          {[]step{relayed(event), partial("id: 2\nda")}, ErrIncomplete},
		"part of the first event, then nothing":   {[]step{partial("i")}, ErrIncomplete},
		"part of an event, then a comment":        {[]step{relayed(event), partial("id: 2\nda"), relayed(": wait\n\n")}, ErrIncomplete},
		"part of an event, then the event":        {[]step{relayed(event), partial("id: 2\nda"), relayed("id: 2\ndata: token\n\n")}, nil},
		"part of a comment":                       {[]step{relayed(event), partial(": wa")}, nil},
		"a comment before part of an event":       {[]step{relayed(event), partial(": wait\nid: 2")}, ErrIncomplete},
		"resumed by the caller, part of an event": {[]step{resumption, partial("id: 2")}, ErrIncomplete},
		"parts of an event at two targets":        {[]step{relayed(event), partial("id: 2"), partial("id: 2\nda")}, ErrIncomplete},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			var p Progress
			for _, s := range c.steps {
				s(&p)
			}
			_, err := p.Check(End{Stream: true})
			if c.want == nil {
				g.Expect(err).NotTo(HaveOccurred())
				return
			}
			g.Expect(err).To(MatchError(c.want))
			_, err = p.Check(End{Stream: true, HeadOnly: true})
			g.Expect(err).NotTo(HaveOccurred(), "a HEAD request asks for no event")
		})
	}
}

// Guards against a response that counts as complete because its connection has ended, against
// a framed one that waits for a sign of life, and against asking a target that leaves, whose
// end would count as a crash.
func TestEndOfAConnectionAloneProvesNothing(t *testing.T) {
	for name, c := range map[string]struct {
		end  End
		want Proof
	}{
		"framed body":                      {End{}, NoProof},
		"framed stream":                    {End{Stream: true}, NoProof},
		"unframed body":                    {End{Unframed: true}, SignOfLife},
		"unframed stream":                  {End{Stream: true, Unframed: true}, SignOfLife},
		"head of an unframed body":         {End{HeadOnly: true, Unframed: true}, NoProof},
		"unframed body, target leaves":     {End{Unframed: true, TargetLeaves: true}, NoProof},
		"unframed stream, target leaves":   {End{Stream: true, Unframed: true, TargetLeaves: true}, NoProof},
		"framed stream of one that leaves": {End{Stream: true, TargetLeaves: true}, NoProof},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			var p Progress
			p.RecordRelayed([]byte("id: 1\ndata: token\n\n"))
			proof, err := p.Check(c.end)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(proof).To(Equal(c.want))
		})
	}
}
