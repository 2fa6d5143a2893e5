package balance

import (
	"fmt"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/sequoiaroad/sequoiaroad/policy/topology"
)

// BenchmarkPickManyParts chooses a target for prompts of 10, 100 and 1,000 parts, which a
// sixteenth of the engines have cached; 1,000 parts take most of a caller's header.
func BenchmarkPickManyParts(b *testing.B) {
	for _, n := range [...]int{10, 100, 1000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			balancer := New("a", zones)
			targets := make([]*topology.Target, 128)
			p := prompt("manual", 16)
			p.SampleSeed = 1
			for i := range n {
				p.Parts = append(p.Parts, Part{fmt.Sprint(i), 16})
			}
			p.Parts = FoldParts(p.Parts)
			for i := range targets {
				targets[i] = engine(fmt.Sprint("e", i), "a", 1)
				if i%16 == 0 {
					balancer.RecordCacheNotice(CacheNotice{Keys: p.Keys(1), TargetID: targets[i].ID}, now)
				}
			}
			for b.Loop() {
				balancer.Pick(p, targets, nil, now)
			}
		})
	}
}

// Guards against choices that take longer, and notices to all hosts that are larger, the more
// parts a caller lists, and against prompts that differ only in a late part and are taken for
// each other.
func TestPartsOfLongListAreFolded(t *testing.T) {
	g := NewWithT(t)
	list := func(n int, changed int) []Part {
		var parts []Part
		for i := range n {
			parts = append(parts, Part{fmt.Sprint("part-", i), 16})
		}
		if changed >= 0 {
			parts[changed].ID = "other"
		}
		return parts
	}
	short := list(maxSharedParts+1, -1)
	g.Expect(FoldParts(short)).To(Equal(short))
	g.Expect(FoldParts(nil)).To(BeEmpty())
	long := &Prompt{Model: model, Parts: FoldParts(list(600, -1))}
	g.Expect(long.Keys(1)).To(HaveLen(maxSharedParts))
	g.Expect(long.SharedTokens()).To(Equal(599 * 16))
	g.Expect(long.TotalTokens()).To(Equal(600 * 16))
	g.Expect(FoldParts(list(600, -1))).To(Equal(long.Parts))
	for _, changed := range [...]int{0, maxSharedParts - 1, 598} {
		other := &Prompt{Model: model, Parts: FoldParts(list(600, changed))}
		g.Expect(other.Keys(1)).NotTo(Equal(long.Keys(1)))
	}
	own := &Prompt{Model: model, Parts: FoldParts(list(600, 599))}
	g.Expect(own.Keys(1)).To(Equal(long.Keys(1)), "the last part is not shared")
}
