package scenario

import (
	"flag"
	"fmt"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/sequoiaroad/sequoiaroad/standin/engine"
	"github.com/sequoiaroad/sequoiaroad/standin/platform"
	"github.com/sequoiaroad/sequoiaroad/standin/relay"
	"github.com/sequoiaroad/sequoiaroad/standin/service"
)

func listenAndServe(address string, handler http.Handler) {
	server := &http.Server{Addr: address, Handler: handler, ReadHeaderTimeout: 10 * time.Second}
	fmt.Fprintln(os.Stderr, server.ListenAndServe())
	os.Exit(1)
}

func platformMain() {
	set := flag.NewFlagSet("platform-standin", flag.ContinueOnError)
	listen := set.String("listen", "", "IP:port")
	lag := set.Duration("host-list-lag", 0, "delay of the host list")
	parseFlags(set)
	listenAndServe(*listen, platform.New(platform.Options{HostListLag: *lag}))
}

func engineMain() {
	set := flag.NewFlagSet("engine-standin", flag.ContinueOnError)
	listen := set.String("listen", "", "IP:port")
	var o engine.Options
	set.StringVar(&o.ID, "id", "", "target id")
	set.StringVar(&o.WeightsVersion, "weights", "1", "weights version")
	set.DurationVar(&o.DecodePerToken, "token-delay", 0, "time between tokens")
	set.DurationVar(&o.PrefillPerToken, "prefill", 0, "time for each uncached prompt token")
	set.IntVar(&o.CacheBlocks, "cache-blocks", 0, "limit of the prefix cache")
	set.BoolVar(&o.ChecksFencing, "checks-fencing", false, "refuse orders with an old fencing number")
	parseFlags(set)
	e := engine.New(o)
	mux := http.NewServeMux()
	mux.Handle("/", e)
	mux.HandleFunc("POST /standin/drain", func(http.ResponseWriter, *http.Request) { e.SetDraining(true) })
	mux.HandleFunc("GET /standin/received", func(w http.ResponseWriter, _ *http.Request) {
		_, _ = fmt.Fprintf(w, "%+v\n", e.Received())
	})
	mux.HandleFunc("GET /standin/counters", func(w http.ResponseWriter, _ *http.Request) {
		_, _ = fmt.Fprintf(w, "%+v\n", e.Counters())
	})
	listenAndServe(*listen, mux)
}

func serviceMain() {
	set := flag.NewFlagSet("service-standin", flag.ContinueOnError)
	listen := set.String("listen", "", "IP:port")
	var o service.Options
	set.StringVar(&o.ID, "id", "", "replica")
	set.DurationVar(&o.Delay, "delay", 0, "time before each answer")
	parseFlags(set)
	s := service.New(o)
	mux := http.NewServeMux()
	mux.Handle("/", s)
	mux.HandleFunc("GET /standin/received", func(w http.ResponseWriter, _ *http.Request) {
		_, _ = fmt.Fprintf(w, "%+v\n", s.Received())
	})
	listenAndServe(*listen, mux)
}

// relayMain forwards one address. POST /cut?from=IP,IP drops what comes from these
// source addresses (all without from); POST /restore ends it.
func relayMain() {
	set := flag.NewFlagSet("relay-standin", flag.ContinueOnError)
	listen := set.String("listen", "", "IP:port")
	target := set.String("target", "", "IP:port")
	control := set.String("control", "", "IP:port")
	parseFlags(set)
	r, err := relay.Listen(*listen, *target)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /cut", func(_ http.ResponseWriter, request *http.Request) {
		if from := request.URL.Query().Get("from"); from != "" {
			r.BlockSources(strings.Split(from, ","))
			return
		}
		r.Cut(relay.Drop)
	})
	mux.HandleFunc("POST /restore", func(http.ResponseWriter, *http.Request) {
		r.BlockSources(nil)
		r.Restore()
	})
	listenAndServe(*control, mux)
}
