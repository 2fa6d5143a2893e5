// Package program runs the stand-ins as processes of their own. A script test runner
// registers the functions as commands; they read os.Args and do not return.
package program

import (
	"encoding/json"
	"flag"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"sync"
	"time"

	"github.com/sequoiaroad/sequoiaroad/standin/engine"
	"github.com/sequoiaroad/sequoiaroad/standin/platform"
	"github.com/sequoiaroad/sequoiaroad/standin/relay"
	"github.com/sequoiaroad/sequoiaroad/standin/service"
)

func parseFlags(set *flag.FlagSet) {
	if err := set.Parse(os.Args[1:]); err != nil {
		os.Exit(2)
	}
}

func listenAndServe(address string, handler http.Handler) {
	server := &http.Server{Addr: address, Handler: handler, ReadHeaderTimeout: 10 * time.Second}
	fmt.Fprintln(os.Stderr, server.ListenAndServe())
	os.Exit(1)
}

// Platform serves the platform stand-in.
func Platform() {
	set := flag.NewFlagSet("platform-standin", flag.ContinueOnError)
	listen := set.String("listen", "", "IP:port")
	lag := set.Duration("host-list-lag", 0, "delay of the host list")
	parseFlags(set)
	listenAndServe(*listen, platform.New(platform.Options{HostListLag: *lag}))
}

// Engine serves an engine stand-in, with what a test needs to know of it under /standin.
func Engine() {
	set := flag.NewFlagSet("engine-standin", flag.ContinueOnError)
	listen := set.String("listen", "", "IP:port")
	var o engine.Options
	set.StringVar(&o.ID, "id", "", "target id")
	set.StringVar(&o.WeightsVersion, "weights", "1", "weights version")
	set.DurationVar(&o.DecodePerToken, "token-delay", 0, "time between tokens")
	set.DurationVar(&o.PrefillPerToken, "prefill", 0, "time for each uncached prompt token")
	set.IntVar(&o.CacheBlocks, "cache-blocks", 0, "limit of the prefix cache")
	set.BoolVar(&o.ChecksFencing, "checks-fencing", false, "refuse orders with an old fencing number")
	loadTime := set.Duration("load-time", 0, "time of a load of weights")
	set.BoolVar(&o.AcceptAnyResumeText, "any-resume", false, "continue texts of other weights")
	parseFlags(set)
	o.WeightStore = &engine.WeightStore{LoadTime: *loadTime}
	e := engine.New(o)
	mux := http.NewServeMux()
	recorder := &loadRecorder{engine: e}
	mux.HandleFunc("POST /v1/orders", recorder.order)
	mux.HandleFunc("GET /standin/loads", recorder.list)
	mux.Handle("/", e)
	mux.HandleFunc("POST /standin/drain", func(http.ResponseWriter, *http.Request) { e.SetDraining(true) })
	mux.HandleFunc("GET /standin/received", func(w http.ResponseWriter, _ *http.Request) {
		_, _ = fmt.Fprintf(w, "%+v\n", e.ReceivedRequests())
	})
	mux.HandleFunc("GET /standin/counters", func(w http.ResponseWriter, _ *http.Request) {
		_, _ = fmt.Fprintf(w, "%+v\n", e.Counters())
	})
	mux.HandleFunc("PUT /standin/faults", faultsHandler(e.SetFaults))
	listenAndServe(*listen, mux)
}

// loadRecorder notes when an engine loads weights.
type loadRecorder struct {
	engine *engine.Engine
	mu     sync.Mutex
	loads  []WeightLoadInterval
}

// WeightLoadInterval is a load of weights in Unix milliseconds; End is zero while it runs.
type WeightLoadInterval struct {
	Start int64 `json:"start"`
	End   int64 `json:"end"`
}

func (r *loadRecorder) order(w http.ResponseWriter, request *http.Request) {
	r.mu.Lock()
	i := len(r.loads)
	r.loads = append(r.loads, WeightLoadInterval{Start: time.Now().UnixMilli()})
	r.mu.Unlock()
	r.engine.ServeHTTP(w, request)
	r.mu.Lock()
	r.loads[i].End = time.Now().UnixMilli()
	r.mu.Unlock()
}

func (r *loadRecorder) list(w http.ResponseWriter, _ *http.Request) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = json.NewEncoder(w).Encode(r.loads)
}

// Service serves a booking service stand-in, with its counters under /standin.
func Service() {
	set := flag.NewFlagSet("service-standin", flag.ContinueOnError)
	listen := set.String("listen", "", "IP:port")
	var o service.Options
	set.StringVar(&o.ID, "id", "", "replica")
	set.DurationVar(&o.Delay, "delay", 0, "time before each answer")
	parseFlags(set)
	s := service.New(o)
	mux := http.NewServeMux()
	mux.Handle("/", s)
	mux.HandleFunc("GET /standin/runs", func(w http.ResponseWriter, _ *http.Request) {
		_, _ = fmt.Fprintf(w, "{\"runs\":%d}\n", s.Executions().Total())
	})
	mux.HandleFunc("GET /standin/received", func(w http.ResponseWriter, _ *http.Request) {
		_, _ = fmt.Fprintf(w, "%+v\n", s.ReceivedRequests())
	})
	mux.HandleFunc("GET /standin/bookings/{id}", func(w http.ResponseWriter, r *http.Request) {
		_, _ = fmt.Fprintf(w, "{\"runs\":%d}\n", s.Executions().ForBooking(r.PathValue("id")))
	})
	mux.HandleFunc("PUT /standin/faults", faultsHandler(s.SetFaults))
	listenAndServe(*listen, mux)
}

// faultsHandler sets the faults of a stand-in from a JSON body.
func faultsHandler[F any](set func(F)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var faults F
		if err := json.NewDecoder(r.Body).Decode(&faults); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		set(faults)
	}
}

// Network stands between hosts, and between hosts and the platform, so that a
// script can cut links. Host i is reached at NET.1i:8091 and reaches the platform at
// NET.1:910i.
//
//	POST /isolate?host=i         cuts host i from all other hosts and the platform
//	POST /isolate?host=i&store=  cuts it from the other hosts only
//	POST /cut-store?host=i       cuts it from the platform only
//	POST /slow-store?host=i&by=D delays each way between host i and the platform by D
//	POST /heal                   restores all links
func Network() {
	set := flag.NewFlagSet("network-standin", flag.ContinueOnError)
	base := set.String("net", "", "first three octets of all addresses")
	hosts := set.Int("hosts", 0, "number of hosts")
	parseFlags(set)
	n := &network{base: *base}
	for i := 1; i <= *hosts; i++ {
		inner, err := relay.Listen(fmt.Sprintf("%s:8091", n.hostIP(i)), fmt.Sprintf("%s:8081", n.hostIP(i)))
		exitOn(err)
		store, err := relay.Listen(fmt.Sprintf("%s.1:%d", *base, 9100+i), fmt.Sprintf("%s.1:9000", *base))
		exitOn(err)
		n.inner, n.store = append(n.inner, inner), append(n.store, store)
	}
	listenAndServe(*base+".1:9099", n)
}

func exitOn(err error) {
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

type network struct {
	base         string
	inner, store []*relay.Relay
	isolated     map[int]bool
}

func (n *network) hostIP(i int) string { return fmt.Sprintf("%s.%d", n.base, 10+i) }

func (n *network) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	host, _ := strconv.Atoi(r.URL.Query().Get("host"))
	if r.URL.Path != "/heal" && (host < 1 || host > len(n.inner)) {
		http.Error(w, "no such host", http.StatusNotFound)
		return
	}
	switch r.URL.Path {
	case "/isolate":
		if n.isolated == nil {
			n.isolated = map[int]bool{}
		}
		n.isolated[host] = true
		n.applyIsolation()
		if !r.URL.Query().Has("store") {
			n.store[host-1].Cut(relay.Reset)
		}
	case "/cut-store":
		n.store[host-1].Cut(relay.Reset)
	case "/slow-store":
		by, err := time.ParseDuration(r.URL.Query().Get("by"))
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		n.store[host-1].SetDelay(by)
	case "/heal":
		n.isolated = nil
		n.applyIsolation()
		for _, s := range n.store {
			s.SetDelay(0)
			s.Restore()
		}
	default:
		http.NotFound(w, r)
	}
}

// applyIsolation blocks, at the relay of each host, the hosts that can't reach it.
func (n *network) applyIsolation() {
	for i := range n.inner {
		var blocked []string
		for j := range n.inner {
			if i != j && (n.isolated[i+1] || n.isolated[j+1]) {
				blocked = append(blocked, n.hostIP(j+1))
			}
		}
		n.inner[i].BlockSources(blocked)
	}
}
