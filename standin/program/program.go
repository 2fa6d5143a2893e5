// Package program runs each stand-in as a separate process. A script test runner
// registers the functions as commands; they parse os.Args and do not return.
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

func parseFlags(flags *flag.FlagSet) {
	if err := flags.Parse(os.Args[1:]); err != nil {
		os.Exit(2)
	}
}

func listenAndServe(address string, handler http.Handler) {
	server := &http.Server{Addr: address, Handler: handler, ReadHeaderTimeout: 10 * time.Second}
	fmt.Fprintln(os.Stderr, server.ListenAndServe())
	os.Exit(1)
}

// Platform runs the platform stand-in.
func Platform() {
	flags := flag.NewFlagSet("platform-standin", flag.ContinueOnError)
	listen := flags.String("listen", "", "IP:port")
	lag := flags.Duration("host-list-lag", 0, "delay of changes to the host list")
	parseFlags(flags)
	listenAndServe(*listen, platform.New(platform.Options{HostListLag: *lag}))
}

// Engine runs an engine stand-in, with its state and faults for tests under /standin.
func Engine() {
	flags := flag.NewFlagSet("engine-standin", flag.ContinueOnError)
	listen := flags.String("listen", "", "IP:port")
	var o engine.Options
	flags.StringVar(&o.ID, "id", "", "target id")
	flags.StringVar(&o.WeightsVersion, "weights", "1", "weights version")
	flags.DurationVar(&o.DecodePerToken, "token-delay", 0, "time between tokens")
	flags.DurationVar(&o.PrefillPerToken, "prefill", 0, "prefill time of an uncached prompt token")
	flags.IntVar(&o.CacheBlocks, "cache-blocks", 0, "capacity of the prefix cache in blocks")
	flags.BoolVar(&o.ChecksFencing, "checks-fencing", false, "reject orders with a stale fencing token")
	loadTime := flags.Duration("load-time", 0, "duration of a load of weights")
	flags.BoolVar(&o.AcceptAnyResumeText, "any-resume", false, "resume texts that other weights generated")
	parseFlags(flags)
	o.WeightStore = &engine.WeightStore{LoadTime: *loadTime}
	e := engine.New(o)
	mux := http.NewServeMux()
	recorder := &weightLoadRecorder{engine: e}
	mux.HandleFunc("POST /v1/orders", recorder.handleOrder)
	mux.HandleFunc("GET /standin/loads", recorder.handleList)
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

// weightLoadRecorder records the interval of each order, during which the engine loads
// weights.
type weightLoadRecorder struct {
	engine *engine.Engine
	mu     sync.Mutex
	loads  []WeightLoadInterval
}

// WeightLoadInterval is the interval of a load of weights, in Unix milliseconds. End is
// zero while the load is in progress.
type WeightLoadInterval struct {
	Start int64 `json:"start"`
	End   int64 `json:"end"`
}

func (r *weightLoadRecorder) handleOrder(w http.ResponseWriter, request *http.Request) {
	r.mu.Lock()
	i := len(r.loads)
	r.loads = append(r.loads, WeightLoadInterval{Start: time.Now().UnixMilli()})
	r.mu.Unlock()
	r.engine.ServeHTTP(w, request)
	r.mu.Lock()
	r.loads[i].End = time.Now().UnixMilli()
	r.mu.Unlock()
}

func (r *weightLoadRecorder) handleList(w http.ResponseWriter, _ *http.Request) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = json.NewEncoder(w).Encode(r.loads)
}

// Service runs a booking service stand-in, with its counters and faults for tests under
// /standin.
func Service() {
	flags := flag.NewFlagSet("service-standin", flag.ContinueOnError)
	listen := flags.String("listen", "", "IP:port")
	var o service.Options
	flags.StringVar(&o.ID, "id", "", "replica id")
	flags.DurationVar(&o.Delay, "delay", 0, "time before each response")
	parseFlags(flags)
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

// faultsHandler returns a handler that sets the faults of a stand-in from a JSON body.
func faultsHandler[F any](setFaults func(F)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var faults F
		if err := json.NewDecoder(r.Body).Decode(&faults); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		setFaults(faults)
	}
}

// Network runs relays between the hosts, and between the hosts and the platform, with
// which scripts cut and delay links. Other hosts connect to host i at NET.1i:8091, and
// host i connects to the platform at NET.1:910i.
//
//	POST /isolate?host=i         cuts host i from all other hosts and the platform
//	POST /isolate?host=i&store=  cuts host i from all other hosts only
//	POST /cut-store?host=i       cuts host i from the platform only
//	POST /slow-store?host=i&by=D delays each way between host i and the platform by D
//	POST /heal                   restores all links
func Network() {
	flags := flag.NewFlagSet("network-standin", flag.ContinueOnError)
	subnet := flags.String("net", "", "first three octets of all addresses")
	hosts := flags.Int("hosts", 0, "number of hosts")
	parseFlags(flags)
	n := &network{subnet: *subnet}
	for i := 1; i <= *hosts; i++ {
		innerLink, err := relay.Listen(fmt.Sprintf("%s:8091", n.hostIP(i)), fmt.Sprintf("%s:8081", n.hostIP(i)))
		exitOnError(err)
		storeLink, err := relay.Listen(fmt.Sprintf("%s.1:%d", *subnet, 9100+i), fmt.Sprintf("%s.1:9000", *subnet))
		exitOnError(err)
		n.innerLinks, n.storeLinks = append(n.innerLinks, innerLink), append(n.storeLinks, storeLink)
	}
	listenAndServe(*subnet+".1:9099", n)
}

func exitOnError(err error) {
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

type network struct {
	subnet                 string
	innerLinks, storeLinks []*relay.Relay
	isolated               map[int]bool
}

func (n *network) hostIP(i int) string { return fmt.Sprintf("%s.%d", n.subnet, 10+i) }

func (n *network) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	host, _ := strconv.Atoi(r.URL.Query().Get("host"))
	if r.URL.Path != "/heal" && (host < 1 || host > len(n.innerLinks)) {
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
			n.storeLinks[host-1].Cut(relay.Reset)
		}
	case "/cut-store":
		n.storeLinks[host-1].Cut(relay.Reset)
	case "/slow-store":
		delay, err := time.ParseDuration(r.URL.Query().Get("by"))
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		n.storeLinks[host-1].SetDelay(delay)
	case "/heal":
		n.isolated = nil
		n.applyIsolation()
		for _, link := range n.storeLinks {
			link.SetDelay(0)
			link.Restore()
		}
	default:
		http.NotFound(w, r)
	}
}

// applyIsolation blocks connections between each isolated host and all other hosts.
func (n *network) applyIsolation() {
	for i := range n.innerLinks {
		var blocked []string
		for j := range n.innerLinks {
			if i != j && (n.isolated[i+1] || n.isolated[j+1]) {
				blocked = append(blocked, n.hostIP(j+1))
			}
		}
		n.innerLinks[i].BlockSources(blocked)
	}
}
