package scenario

import (
	"encoding/json"
	"net/http"
	"strconv"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/sequoiaroad/sequoiaroad/standin/program"
)

// cmdMaxLoads runs "maxloads COUNT MAX ENGINE...": it fails unless the engines together
// completed COUNT weight loads, of which at most MAX ran concurrently.
func cmdMaxLoads(ts *testscript.TestScript, _ bool, args []string) {
	count, err := strconv.Atoi(args[0])
	ts.Check(err)
	maxConcurrent, err := strconv.Atoi(args[1])
	ts.Check(err)
	var all []program.WeightLoadInterval
	for _, address := range args[2:] {
		response, err := http.Get("http://" + address + "/standin/loads")
		ts.Check(err)
		var loads []program.WeightLoadInterval
		err = json.NewDecoder(response.Body).Decode(&loads)
		_ = response.Body.Close()
		ts.Check(err)
		all = append(all, loads...)
	}
	ts.Logf("loads: %v", all)
	if len(all) != count {
		ts.Fatalf("the engines started %d loads, expected %d", len(all), count)
	}
	for _, a := range all {
		if a.End == 0 {
			ts.Fatalf("a load has not ended")
		}
		// The number of concurrent loads only grows when a load starts.
		concurrent := 0
		for _, b := range all {
			if b.Start <= a.Start && a.Start < b.End {
				concurrent++
			}
		}
		if concurrent > maxConcurrent {
			ts.Fatalf("%d loads ran concurrently, at most %d are allowed", concurrent, maxConcurrent)
		}
	}
}
