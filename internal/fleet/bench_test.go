package fleet

import (
	"context"
	"fmt"
	"slices"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/sequoiaroad/sequoiaroad/internal/wire"
	"github.com/sequoiaroad/sequoiaroad/policy/config"
	"github.com/sequoiaroad/sequoiaroad/policy/freshness"
	"github.com/sequoiaroad/sequoiaroad/policy/gossip"
)

// frameOverheadBytes is the length of a frame without its body.
const frameOverheadBytes = 31

// nopNetwork is a wire.Caller and wire.Registry whose calls succeed without being sent.
type nopNetwork struct{}

func (nopNetwork) Call(context.Context, string, wire.Message, wire.Message) error { return nil }
func (nopNetwork) Handle(wire.Type, wire.Handler)                                 {}

func benchmarkMember(i int) config.Member {
	return config.Member{
		HostID: fmt.Sprintf("host-%03d", i), Incarnation: fmt.Sprintf("0197a1b2-c3d4-7e5f-8a9b-%012d", i),
		Zone: fmt.Sprint("zone-", i%4), Region: fmt.Sprint("region-", i%2),
		InnerAddress:  fmt.Sprintf("10.0.%d.%d:7000", i/250, i%250),
		CallerAddress: fmt.Sprintf("10.0.%d.%d:8000", i/250, i%250),
		AdminAddress:  fmt.Sprintf("10.0.%d.%d:9000", i/250, i%250),
	}
}

// benchmarkReply returns the reply of a host in the steady state: fresh, with no pending
// attempt.
func benchmarkReply(i int) *probeReply {
	m := benchmarkMember(i)
	evidence := freshness.Evidence{Valid: true, Age: 400 * time.Millisecond}
	return &probeReply{Member: m, Fresh: true, HasEvidence: true, EvidenceAge: 400 * time.Millisecond,
		Report: freshness.Report{From: toFreshnessMember(m), Applied: 12345, Full: evidence, Conditional: evidence}}
}

// benchmarkFleet returns the Fleet of a host with an entry for the given number of
// hosts, itself included, of which at most MaxMembers are members.
func benchmarkFleet(b *testing.B, hosts int) *Fleet {
	f, err := New(Options{Self: benchmarkMember(0), Store: newFakeStore(), Caller: nopNetwork{}, Registry: nopNetwork{}})
	if err != nil {
		b.Fatal(err)
	}
	d := initialDocument()
	d.Revision = 12345
	for i := range min(hosts, MaxMembers) {
		d.Members = append(d.Members, benchmarkMember(i))
	}
	f.apply(d, "benchmark")
	for i := 1; i < hosts; i++ {
		f.observeReply(benchmarkReply(i), f.now())
	}
	return f
}

func encode(b *testing.B, m wire.Message) []byte {
	body, err := wire.Encode(m)
	if err != nil {
		b.Fatal(err)
	}
	return body
}

func decode(b *testing.B, body []byte, m wire.Message) {
	if err := msgpack.Unmarshal(body, m); err != nil {
		b.Fatal(err)
	}
}

// BenchmarkProbeRound measures the work of one host for one probe interval by the number
// of known hosts, up to maxFullMeshHosts: it probes each of them and replies to a probe
// from each. Framing, MACs and the network are excluded. sent-bytes/s is the rate at the
// mean interval, with frames.
func BenchmarkProbeRound(b *testing.B) {
	for _, hosts := range []int{5, 9, maxFullMeshHosts} {
		b.Run(fmt.Sprintf("hosts=%d", hosts), func(b *testing.B) {
			f := benchmarkFleet(b, hosts)
			probes, replies := make([][]byte, hosts), make([][]byte, hosts)
			for i := range hosts {
				probes[i] = encode(b, &probeRequest{Sender: benchmarkMember(i), Known: gossip.MemberHash(f.self)})
				replies[i] = encode(b, benchmarkReply(i))
			}
			ctx, sent := context.Background(), 0
			b.ReportAllocs()
			for b.Loop() {
				sent = 0
				for i, member := range f.peersToProbe() {
					message, _, _ := f.newProbe(member)
					sent += len(encode(b, message)) + frameOverheadBytes
					reply := &probeReply{}
					decode(b, replies[i+1], reply)
					f.observeReply(reply, f.now())
					f.endProbe(member)
					ownReply, err := f.handleProbe(ctx, wire.Peer{}, wire.Request{Type: wire.TypeProbe, Body: probes[i+1]})
					if err != nil {
						b.Fatal(err)
					}
					sent += len(encode(b, ownReply)) + frameOverheadBytes
				}
			}
			b.ReportMetric(float64(sent)/probeInterval.Seconds(), "sent-bytes/s")
		})
	}
}

// BenchmarkHosts measures Hosts by the number of known hosts. The locator and the
// addresses in a refusal are built from its result.
func BenchmarkHosts(b *testing.B) {
	for _, hosts := range []int{9, 35, 118, 350} {
		b.Run(fmt.Sprintf("hosts=%d", hosts), func(b *testing.B) {
			f := benchmarkFleet(b, hosts)
			b.ReportAllocs()
			for b.Loop() {
				f.Hosts()
			}
		})
	}
}

// BenchmarkFetch measures the reply to a fetch of the applied document, which the proposer
// of a change sends to each non-member, by the number of accounts with four keys each.
func BenchmarkFetch(b *testing.B) {
	for _, accounts := range []int{5, 52, 520} {
		b.Run(fmt.Sprintf("accounts=%d", accounts), func(b *testing.B) {
			f := benchmarkFleet(b, MaxMembers)
			d := f.Index().Document().Clone()
			d.Revision++
			for i := range accounts {
				id := fmt.Sprintf("account-%03d", i)
				d.Accounts = append(d.Accounts, config.Account{ID: id, RateTokensPerSecond: 30_000, BurstTokens: 300_000})
				for k := range 4 {
					key := fmt.Sprintf("%s-key-%d", id, k)
					d.ClientKeys = append(d.ClientKeys, config.ClientKey{ID: key, AccountID: id, Hash: config.HashKey(key)})
				}
			}
			f.apply(d, "benchmark")
			request := wire.Request{Type: wire.TypeFetch, Body: encode(b, &fetchRequest{Above: 1})}
			size := 0
			b.ReportAllocs()
			for b.Loop() {
				reply, err := f.handleFetch(context.Background(), wire.Peer{}, request)
				if err != nil {
					b.Fatal(err)
				}
				size = len(reply.(*fetchReply).Document)
			}
			b.ReportMetric(float64(size), "document-bytes")
		})
	}
}

// BenchmarkIdleFleet runs hosts over loopback without requests and reports the CPU time
// of one host per second, by the number of hosts. It covers probes, polls of a store and
// of a host list in memory, and the kernel's share. One operation is one second.
func BenchmarkIdleFleet(b *testing.B) {
	for _, hosts := range []int{5, 10, 20, 40} {
		b.Run(fmt.Sprintf("hosts=%d", hosts), func(b *testing.B) {
			c := newCluster(b)
			var all []*host
			for i := range hosts {
				all = append(all, c.start(fmt.Sprintf("h%03d", i), ""))
			}
			defer func() {
				for _, h := range all {
					h.stop()
				}
			}()
			c.g.Eventually(func() bool {
				return slices.IndexFunc(all, func(h *host) bool { return !h.fleet.Fresh() || len(h.fleet.Hosts()) < hosts }) < 0
			}, testDeadline).Should(BeTrue())
			time.Sleep(2 * time.Second) // excludes joins and first probes
			start := cpuTime(b)
			b.ResetTimer()
			time.Sleep(time.Duration(b.N) * time.Second)
			b.ReportMetric(float64(cpuTime(b)-start)/float64(hosts*b.N), "cpu-ns/host-s")
		})
	}
}

// cpuTime returns the user and system CPU time of this process.
func cpuTime(b testing.TB) time.Duration {
	var used syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &used); err != nil {
		b.Fatal(err)
	}
	return time.Duration(used.Utime.Nano() + used.Stime.Nano())
}
