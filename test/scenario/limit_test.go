package scenario

import (
	"io"
	"net/http"
	"regexp"
	"strconv"
	"strings"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
)

// tokenSnapshot is the number of tokens that the engines had processed at some time.
type tokenSnapshot struct {
	at     time.Time
	tokens int
}

// tokenCounterPattern matches the token counters of an engine stand-in.
var tokenCounterPattern = regexp.MustCompile(`(PromptTokens|GeneratedTokens):(\d+)`)

// processedTokens returns the sum of the prompt and generated tokens of both engines.
func processedTokens(ts *testscript.TestScript) int {
	sum := 0
	for _, name := range []string{"E1", "E2"} {
		response, err := http.Get("http://" + ts.Getenv(name) + "/standin/counters")
		ts.Check(err)
		counters, err := io.ReadAll(response.Body)
		_ = response.Body.Close()
		ts.Check(err)
		for _, match := range tokenCounterPattern.FindAllStringSubmatch(string(counters), -1) {
			n, err := strconv.Atoi(match[2])
			ts.Check(err)
			sum += n
		}
	}
	return sum
}

// cmdTokens runs "tokens NAME": it stores the number of tokens processed so far under the
// name.
func cmdTokens(ts *testscript.TestScript, _ bool, args []string) {
	table := processTableOf(ts)
	table.tokenSnapshots[args[0]] = tokenSnapshot{at: time.Now(), tokens: processedTokens(ts)}
}

// cmdWithinLimit runs "withinlimit NAME RATE BURST": it fails if the engines processed
// more tokens since "tokens NAME" than the limit allows.
func cmdWithinLimit(ts *testscript.TestScript, _ bool, args []string) {
	snapshot := processTableOf(ts).tokenSnapshots[args[0]]
	rate, err := strconv.ParseFloat(args[1], 64)
	ts.Check(err)
	burst, err := strconv.ParseFloat(args[2], 64)
	ts.Check(err)
	used := float64(processedTokens(ts) - snapshot.tokens)
	allowed := rate*time.Since(snapshot.at).Seconds() + burst
	ts.Logf("%.0f tokens used, %.0f allowed", used, allowed)
	if used > allowed {
		ts.Fatalf("%.0f tokens used, the limit allows %.0f", used, allowed)
	}
}

// cmdLongPrompt runs "longprompt VARIABLE": it sets the variable to a prompt of several
// cache blocks.
func cmdLongPrompt(ts *testscript.TestScript, _ bool, args []string) {
	const sentences = 220
	ts.Setenv(args[0], strings.Repeat("Check the igniter before the fan of the stove is replaced. ", sentences))
}
