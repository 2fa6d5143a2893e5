package scenario

import (
	"encoding/json"
	"net/http"
	"strconv"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/sequoiaroad/sequoiaroad/standin/program"
)

// cmdMaxLoads runs "maxloads COUNT MOST ENGINE..." and fails unless the engines did
// COUNT loads of weights together, all ended, of which at most MOST ran at once.
func cmdMaxLoads(ts *testscript.TestScript, _ bool, args []string) {
	count, err := strconv.Atoi(args[0])
	ts.Check(err)
	most, err := strconv.Atoi(args[1])
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
		ts.Fatalf("%d loads were made, not %d", len(all), count)
	}
	for _, a := range all {
		if a.End == 0 {
			ts.Fatalf("a load has not ended")
		}
		// The most loads run at the start of one of them.
		running := 0
		for _, b := range all {
			if b.Start <= a.Start && a.Start < b.End {
				running++
			}
		}
		if running > most {
			ts.Fatalf("%d loads ran at once, at most %d may", running, most)
		}
	}
}
