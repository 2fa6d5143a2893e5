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

// limitStart is the number of tokens that the engines had processed at a time.
type limitStart struct {
	at     time.Time
	tokens int
}

var tokenCounter = regexp.MustCompile(`(PromptTokens|GeneratedTokens):(\d+)`)

// processedTokens sums prompt and generated tokens over both engines.
func processedTokens(ts *testscript.TestScript) int {
	sum := 0
	for _, name := range []string{"E1", "E2"} {
		response, err := http.Get("http://" + ts.Getenv(name) + "/standin/counters")
		ts.Check(err)
		text, err := io.ReadAll(response.Body)
		_ = response.Body.Close()
		ts.Check(err)
		for _, match := range tokenCounter.FindAllStringSubmatch(string(text), -1) {
			n, err := strconv.Atoi(match[2])
			ts.Check(err)
			sum += n
		}
	}
	return sum
}

// cmdTokens runs "tokens NAME" and remembers the tokens processed so far.
func cmdTokens(ts *testscript.TestScript, _ bool, args []string) {
	table := processes(ts)
	table.starts[args[0]] = limitStart{at: time.Now(), tokens: processedTokens(ts)}
}

// cmdWithinLimit runs "withinlimit NAME RATE BURST" and fails if more tokens were
// processed since "tokens NAME" than the limit allows.
func cmdWithinLimit(ts *testscript.TestScript, _ bool, args []string) {
	start := processes(ts).starts[args[0]]
	rate, err := strconv.ParseFloat(args[1], 64)
	ts.Check(err)
	burst, err := strconv.ParseFloat(args[2], 64)
	ts.Check(err)
	used := float64(processedTokens(ts) - start.tokens)
	allowed := rate*time.Since(start.at).Seconds() + burst
	ts.Logf("%.0f tokens used, %.0f allowed", used, allowed)
	if used > allowed {
		ts.Fatalf("%.0f tokens were used, the limit allows %.0f", used, allowed)
	}
}

// cmdLongPrompt runs "longprompt VARIABLE" and sets a prompt of several cache blocks.
func cmdLongPrompt(ts *testscript.TestScript, _ bool, args []string) {
	const sentences = 220
	ts.Setenv(args[0], strings.Repeat("Check the igniter before the fan of the stove is replaced. ", sentences))
}
