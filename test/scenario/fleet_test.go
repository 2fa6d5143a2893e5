package scenario

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/sequoiaroad/sequoiaroad/internal/admin"
	"github.com/sequoiaroad/sequoiaroad/policy/config"
	"github.com/sequoiaroad/sequoiaroad/policy/placement"
)

const fleetTimeout = 30 * time.Second

// background is the context of the calls that set a fleet up; each call has a timeout.
var background = context.Background()

// zones are the availability zones and regions of the hosts, in turn.
var zones = []struct{ zone, region string }{
	{"kigali-a", "kigali"}, {"kigali-b", "kigali"}, {"musanze-a", "musanze"},
}

// cmdFleet runs "fleet HOSTS [ENGINE FLAGS...]": a platform, two engines e1 and e2, a
// booking service, a network, and hosts h1 to hN, configured with model m1, account
// stove and a key. It sets KEY (operator), CLIENT (client key), H1..HN (caller
// addresses), A1..AN (administration addresses), STORE, NETCTL, E1, E2 and BOOKING.
func cmdFleet(ts *testscript.TestScript, _ bool, args []string) {
	count, err := strconv.Atoi(args[0])
	ts.Check(err)
	base := ts.Getenv("NET")
	ts.Setenv("STORE", "http://"+base+".1:9000")
	ts.Setenv("NETCTL", "http://"+base+".1:9099")
	ts.Setenv("E1", base+".2:9001")
	ts.Setenv("E2", base+".2:9002")
	ts.Setenv("E3", base+".2:9003") // started by scripts that need it
	ts.Setenv("BOOKING", base+".3:9003")
	startProcess(ts, "platform", "platform-standin", "--listen", base+".1:9000")
	startProcess(ts, "network", "network-standin", "--net", base, "--hosts", args[0])
	for _, id := range []string{"e1", "e2"} {
		startEngine(ts, id, args[1:])
	}
	startProcess(ts, "booking", "service-standin", "--listen", base+".3:9003", "--id", "b1")
	eventually(ts, "the platform answers", func() error { return getOK(ts.Getenv("STORE") + "/v1/stats") })

	ts.Check(ts.Exec("sequoiaroadctl", "init", "--platform-url", ts.Getenv("STORE"), "-o", "json"))
	var first struct {
		OperatorKey string `json:"operator_key"`
	}
	ts.Check(json.Unmarshal([]byte(ts.ReadFile("stdout")), &first))
	ts.Setenv("KEY", first.OperatorKey)
	ts.Setenv("SEQUOIAROADCTL_KEY", first.OperatorKey)
	ts.Setenv("SEQUOIAROADCTL_ADDRESS", base+".11:8082")
	for i := 1; i <= count; i++ {
		startHost(ts, i)
	}
	client := operator(ts, 1)
	eventually(ts, "all hosts are members", func() error { return allListed(client, count) })
	configure(ts, client)
}

// cmdEngine runs "engine NAME [ENGINE FLAGS...]": it starts an engine again.
func cmdEngine(ts *testscript.TestScript, _ bool, args []string) { startEngine(ts, args[0], args[1:]) }

func startEngine(ts *testscript.TestScript, id string, extra []string) {
	flags := append([]string{"--listen", ts.Getenv(strings.ToUpper(id)), "--id", id}, extra...)
	startProcess(ts, id, "engine-standin", flags...)
}

// cmdHost runs "host N [FLAGS...]": it starts host N again.
func cmdHost(ts *testscript.TestScript, _ bool, args []string) {
	i, err := strconv.Atoi(args[0])
	ts.Check(err)
	startHost(ts, i, args[1:]...)
}

func startHost(ts *testscript.TestScript, i int, extra ...string) {
	base := ts.Getenv("NET")
	ip := fmt.Sprintf("%s.%d", base, 10+i)
	ts.Setenv(fmt.Sprintf("H%d", i), ip+":8080")
	ts.Setenv(fmt.Sprintf("A%d", i), ip+":8082")
	place := zones[(i-1)%len(zones)]
	flags := []string{"serve", "--host-id", fmt.Sprintf("h%d", i), "--zone", place.zone, "--region", place.region,
		"--platform-url", fmt.Sprintf("http://%s.1:%d", base, 9100+i), "--caller-listen", ip + ":8080",
		"--inner-listen", ip + ":8081", "--inner-address", ip + ":8091", "--admin-listen", ip + ":8082",
		"--locator-ttl", "300ms", "--drain-grace", "600ms", "--log-level", "debug"}
	startProcess(ts, fmt.Sprintf("h%d", i), "sequoiaroad", append(flags, extra...)...)
}

func operator(ts *testscript.TestScript, host int) *admin.Client {
	return &admin.Client{Address: ts.Getenv(fmt.Sprintf("A%d", host)), Key: ts.Getenv("KEY"), HTTP: &http.Client{Timeout: fleetTimeout}}
}

func allListed(client *admin.Client, count int) error {
	hosts, err := client.Hosts(background)
	if err != nil {
		return err
	}
	listed := 0
	for _, h := range hosts {
		if h.Listed && h.Live && h.Fresh {
			listed++
		}
	}
	if listed < count {
		return fmt.Errorf("%d of %d hosts are listed and fresh", listed, count)
	}
	return nil
}

// configure applies the whole configuration in one change.
func configure(ts *testscript.TestScript, client *admin.Client) {
	key := admin.NewClientKey()
	eventually(ts, "the configuration is applied", func() error {
		d, err := client.Configuration(background)
		if err != nil {
			return err
		}
		d.Models = []config.Model{{ID: "m1", WeightsVersion: "1"}}
		d.Accounts = []config.Account{{ID: "stove", RateTokensPerSecond: 20_000, BurstTokens: 100_000}}
		d.ClientKeys = []config.ClientKey{{ID: "k1", AccountID: "stove", Hash: config.HashKey(key), CreatedAt: time.Now().UTC()}}
		d.Routes = []config.Route{
			{Service: "booking", PathPrefix: "/runs", Method: "GET", Idempotent: true},
			{Service: "booking", PathPrefix: "/echo", Method: "GET", Open: true, Idempotent: true},
		}
		d.Targets = []config.Target{
			{ID: "e1", Kind: config.TargetEngine, URL: "http://" + ts.Getenv("E1"), Zone: "kigali-a", Region: "kigali", Models: []string{"m1"}},
			{ID: "e2", Kind: config.TargetEngine, URL: "http://" + ts.Getenv("E2"), Zone: "kigali-b", Region: "kigali", Models: []string{"m1"}},
			{ID: "b1", Kind: config.TargetService, URL: "http://" + ts.Getenv("BOOKING"), Zone: "kigali-a", Region: "kigali", Service: "booking"},
		}
		change, err := client.Apply(background, d, admin.ChangeOptions{ExpectedRevision: d.Revision})
		if err == nil && len(change.Pending) > 0 {
			err = fmt.Errorf("not in force at %s", strings.Join(change.Pending, ", "))
		}
		return err
	})
	ts.Setenv("CLIENT", key)
}

func getOK(url string) error {
	response, err := http.Get(url)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	_, _ = io.Copy(io.Discard, response.Body)
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("status %d", response.StatusCode)
	}
	return nil
}

func eventually(ts *testscript.TestScript, what string, check func() error) {
	deadline := time.Now().Add(fleetTimeout)
	for {
		err := check()
		if err == nil {
			return
		}
		if time.Now().After(deadline) {
			ts.Fatalf("not within %v: %s: %v", fleetTimeout, what, err)
		}
		time.Sleep(retryInterval)
	}
}

// cmdBusyEngine runs "busyengine VARIABLE": it waits until exactly one engine runs a
// request and sets the variable to its process name.
func cmdBusyEngine(ts *testscript.TestScript, _ bool, args []string) {
	eventually(ts, "one engine is busy", func() error {
		var busy []string
		for _, id := range []string{"e1", "e2"} {
			if engineIsBusy("http://" + ts.Getenv(strings.ToUpper(id)) + "/v1/load") {
				busy = append(busy, id)
			}
		}
		if len(busy) != 1 {
			return fmt.Errorf("%d engines are busy", len(busy))
		}
		ts.Setenv(args[0], busy[0])
		return nil
	})
}

// cmdOtherBusy runs "otherbusy NAME": it waits until the other engine runs a request.
func cmdOtherBusy(ts *testscript.TestScript, _ bool, args []string) {
	other := map[string]string{"e1": "E2", "e2": "E1"}[args[0]]
	eventually(ts, "the other engine is busy", func() error {
		if !engineIsBusy("http://" + ts.Getenv(other) + "/v1/load") {
			return fmt.Errorf("engine %s is idle", other)
		}
		return nil
	})
}

func engineIsBusy(url string) bool {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get(url)
	if err != nil {
		return false
	}
	defer response.Body.Close()
	var load struct {
		Running int `json:"running"`
	}
	return json.NewDecoder(response.Body).Decode(&load) == nil && load.Running > 0
}

// cmdOwnerOf runs "ownerof ACCOUNT" with three hosts: it sets OWNER to the process name
// of the account's owner, CUT to the number of another
// host, CUTCALLER to its address for callers, and LEFTCALLER to that of the third one.
func cmdOwnerOf(ts *testscript.TestScript, _ bool, args []string) {
	d, err := operator(ts, 1).Configuration(background)
	ts.Check(err)
	nodes := make([]placement.Node, len(d.Members))
	for i, m := range d.Members {
		nodes[i] = placement.Node{ID: m.HostID, Zone: m.Zone, Region: m.Region, Weight: m.Weight}
	}
	owner := placement.Homes(args[0], nodes)[0].ID
	ts.Setenv("OWNER", owner)
	var others []string
	for _, n := range []string{"1", "2", "3"} {
		if "h"+n != owner {
			others = append(others, n)
		}
	}
	ts.Setenv("CUT", others[0])
	ts.Setenv("CUTCALLER", ts.Getenv("H"+others[0]))
	ts.Setenv("LEFTCALLER", ts.Getenv("H"+others[1]))
}

// cmdWaitClaim runs "waitclaim TIMEOUT": it waits until the store holds a claim. It
// polls faster than waitfor, so that a script can act before the holder has the answer.
func cmdWaitClaim(ts *testscript.TestScript, _ bool, args []string) {
	timeout, err := time.ParseDuration(args[0])
	ts.Check(err)
	const interval = 5 * time.Millisecond
	for deadline := time.Now().Add(timeout); ; time.Sleep(interval) {
		response, err := http.Get(ts.Getenv("STORE") + "/v1/tables/idempotency/rows?prefix=")
		ts.Check(err)
		var found struct {
			Rows []json.RawMessage `json:"rows"`
		}
		err = json.NewDecoder(response.Body).Decode(&found)
		_ = response.Body.Close()
		ts.Check(err)
		if len(found.Rows) > 0 {
			return
		}
		if time.Now().After(deadline) {
			ts.Fatalf("no claim within %v", timeout)
		}
	}
}
