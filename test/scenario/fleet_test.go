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

// eventuallyTimeout is how long eventually waits for a condition.
const eventuallyTimeout = 30 * time.Second

// background is the context of the calls that set up a fleet. The HTTP client of each
// call has a timeout.
var background = context.Background()

// zones are the availability zones, with their regions, that hosts are assigned to in
// turn.
var zones = []struct{ zone, region string }{
	{"kigali-a", "kigali"}, {"kigali-b", "kigali"}, {"musanze-a", "musanze"},
}

// cmdFleet runs "fleet HOSTS [ENGINE FLAGS...]": it starts a platform, two engines e1 and
// e2, a booking service, a network and the hosts h1 to hN, and configures model m1, the
// account stove and a client key. It sets KEY (operator key), CLIENT (client key), H1..HN
// (caller addresses), A1..AN (administration addresses), STORE and NETCTL (URLs), and E1,
// E2, E3 and BOOKING (addresses).
func cmdFleet(ts *testscript.TestScript, _ bool, args []string) {
	hostCount, err := strconv.Atoi(args[0])
	ts.Check(err)
	network := ts.Getenv("NET")
	ts.Setenv("STORE", "http://"+network+".1:9000")
	ts.Setenv("NETCTL", "http://"+network+".1:9099")
	ts.Setenv("E1", network+".2:9001")
	ts.Setenv("E2", network+".2:9002")
	ts.Setenv("E3", network+".2:9003") // scripts start e3 if they need it
	ts.Setenv("BOOKING", network+".3:9003")
	startProcess(ts, "platform", "platform-standin", "--listen", network+".1:9000")
	startProcess(ts, "network", "network-standin", "--net", network, "--hosts", args[0])
	for _, id := range []string{"e1", "e2"} {
		startEngine(ts, id, args[1:])
	}
	startProcess(ts, "booking", "service-standin", "--listen", network+".3:9003", "--id", "b1")
	eventually(ts, "the platform responds", func() error { return checkStatusOK(ts.Getenv("STORE") + "/v1/stats") })

	ts.Check(ts.Exec("sequoiaroadctl", "init", "--platform-url", ts.Getenv("STORE"), "-o", "json"))
	var initResult struct {
		OperatorKey string `json:"operator_key"`
	}
	ts.Check(json.Unmarshal([]byte(ts.ReadFile("stdout")), &initResult))
	ts.Setenv("KEY", initResult.OperatorKey)
	ts.Setenv("SEQUOIAROADCTL_KEY", initResult.OperatorKey)
	ts.Setenv("SEQUOIAROADCTL_ADDRESS", network+".11:8082")
	for i := 1; i <= hostCount; i++ {
		startHost(ts, i)
	}
	client := adminClient(ts, 1)
	eventually(ts, "all hosts are members", func() error { return checkAllListed(client, hostCount) })
	applyConfiguration(ts, client)
}

// cmdEngine runs "engine NAME [ENGINE FLAGS...]": it starts e3, or restarts an engine.
func cmdEngine(ts *testscript.TestScript, _ bool, args []string) { startEngine(ts, args[0], args[1:]) }

func startEngine(ts *testscript.TestScript, id string, extraFlags []string) {
	flags := append([]string{"--listen", ts.Getenv(strings.ToUpper(id)), "--id", id}, extraFlags...)
	startProcess(ts, id, "engine-standin", flags...)
}

// cmdHost runs "host N [FLAGS...]": it restarts host N after its process has exited.
func cmdHost(ts *testscript.TestScript, _ bool, args []string) {
	i, err := strconv.Atoi(args[0])
	ts.Check(err)
	startHost(ts, i, args[1:]...)
}

func startHost(ts *testscript.TestScript, i int, extraFlags ...string) {
	network := ts.Getenv("NET")
	ip := fmt.Sprintf("%s.%d", network, 10+i)
	ts.Setenv(fmt.Sprintf("H%d", i), ip+":8080")
	ts.Setenv(fmt.Sprintf("A%d", i), ip+":8082")
	location := zones[(i-1)%len(zones)]
	flags := []string{"serve", "--host-id", fmt.Sprintf("h%d", i), "--zone", location.zone, "--region", location.region,
		"--platform-url", fmt.Sprintf("http://%s.1:%d", network, 9100+i), "--caller-listen", ip + ":8080",
		"--inner-listen", ip + ":8081", "--inner-address", ip + ":8091", "--admin-listen", ip + ":8082",
		"--locator-ttl", "300ms", "--drain-grace", "600ms", "--log-level", "debug"}
	startProcess(ts, fmt.Sprintf("h%d", i), "sequoiaroad", append(flags, extraFlags...)...)
}

// adminClient returns an administration client of a host, with the operator key.
func adminClient(ts *testscript.TestScript, host int) *admin.Client {
	return &admin.Client{Address: ts.Getenv(fmt.Sprintf("A%d", host)), Key: ts.Getenv("KEY"), HTTP: &http.Client{Timeout: eventuallyTimeout}}
}

// checkAllListed returns an error if fewer than want hosts are listed, live and fresh.
func checkAllListed(client *admin.Client, want int) error {
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
	if listed < want {
		return fmt.Errorf("%d of %d hosts are listed, live and fresh", listed, want)
	}
	return nil
}

// applyConfiguration applies the whole configuration in one change and sets CLIENT to the
// new client key.
func applyConfiguration(ts *testscript.TestScript, client *admin.Client) {
	key := admin.NewClientKey()
	eventually(ts, "the configuration is applied", func() error {
		document, err := client.Configuration(background)
		if err != nil {
			return err
		}
		document.Models = []config.Model{{ID: "m1", WeightsVersion: "1"}}
		document.Accounts = []config.Account{{ID: "stove", RateTokensPerSecond: 20_000, BurstTokens: 100_000}}
		document.ClientKeys = []config.ClientKey{{ID: "k1", AccountID: "stove", Hash: config.HashKey(key), CreatedAt: time.Now().UTC()}}
		document.Routes = []config.Route{
			{Service: "booking", PathPrefix: "/runs", Method: "GET", Idempotent: true},
			{Service: "booking", PathPrefix: "/echo", Method: "GET", Open: true, Idempotent: true},
		}
		document.Targets = []config.Target{
			{ID: "e1", Kind: config.TargetEngine, URL: "http://" + ts.Getenv("E1"), Zone: "kigali-a", Region: "kigali", Models: []string{"m1"}},
			{ID: "e2", Kind: config.TargetEngine, URL: "http://" + ts.Getenv("E2"), Zone: "kigali-b", Region: "kigali", Models: []string{"m1"}},
			{ID: "b1", Kind: config.TargetService, URL: "http://" + ts.Getenv("BOOKING"), Zone: "kigali-a", Region: "kigali", Service: "booking"},
		}
		change, err := client.Apply(background, document, admin.ChangeOptions{ExpectedRevision: document.Revision})
		if err == nil && len(change.Pending) > 0 {
			err = fmt.Errorf("not in force at %s", strings.Join(change.Pending, ", "))
		}
		return err
	})
	ts.Setenv("CLIENT", key)
}

// checkStatusOK returns an error unless a GET request returns 200.
func checkStatusOK(url string) error {
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

// eventually repeats a check until it succeeds, and fails the script after
// eventuallyTimeout.
func eventually(ts *testscript.TestScript, condition string, check func() error) {
	deadline := time.Now().Add(eventuallyTimeout)
	for {
		err := check()
		if err == nil {
			return
		}
		if time.Now().After(deadline) {
			ts.Fatalf("condition not met within %v: %s: %v", eventuallyTimeout, condition, err)
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

// cmdOtherBusy runs "otherbusy NAME": it waits until the other one of the engines e1 and
// e2 runs a request.
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

// cmdOwnerOf runs "ownerof ACCOUNT" in a fleet of three hosts: it sets OWNER to the
// process name of the account's owner, CUT to the number of another host, CUTCALLER to
// that host's caller address, and LEFTCALLER to the caller address of the third host.
func cmdOwnerOf(ts *testscript.TestScript, _ bool, args []string) {
	document, err := adminClient(ts, 1).Configuration(background)
	ts.Check(err)
	nodes := make([]placement.Node, len(document.Members))
	for i, m := range document.Members {
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

// cmdWaitClaim runs "waitclaim TIMEOUT": it waits until the store holds an idempotency
// claim. It polls faster than waitfor, so that a script can act before the host that made
// the claim receives the store's response.
func cmdWaitClaim(ts *testscript.TestScript, _ bool, args []string) {
	timeout, err := time.ParseDuration(args[0])
	ts.Check(err)
	const interval = 5 * time.Millisecond
	for deadline := time.Now().Add(timeout); ; time.Sleep(interval) {
		response, err := http.Get(ts.Getenv("STORE") + "/v1/tables/idempotency/rows?prefix=")
		ts.Check(err)
		var result struct {
			Rows []json.RawMessage `json:"rows"`
		}
		err = json.NewDecoder(response.Body).Decode(&result)
		_ = response.Body.Close()
		ts.Check(err)
		if len(result.Rows) > 0 {
			return
		}
		if time.Now().After(deadline) {
			ts.Fatalf("the store holds no claim after %v", timeout)
		}
	}
}
