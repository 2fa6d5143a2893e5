package freshness

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkObserve measures the processing of one report, by the members of the revision.
func BenchmarkObserve(b *testing.B) {
	for _, count := range []int{3, 9, 35, 350} {
		b.Run(fmt.Sprintf("members=%d", count), func(b *testing.B) {
			members := make([]Member, count)
			for i := range members {
				members[i] = Member{HostID: fmt.Sprintf("host-%03d", i), Incarnation: fmt.Sprint(i)}
			}
			s := New(members[0])
			s.Apply(1, members)
			now := time.Unix(1, 0)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				now = now.Add(time.Millisecond)
				s.Observe(Report{From: members[i%count], Applied: 1}, now, now)
			}
		})
	}
}
