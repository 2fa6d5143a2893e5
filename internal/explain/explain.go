// Package explain prints the log lines of one request.
package explain

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"sort"

	"github.com/pkg/errors"
)

const maxLineBytes = 1 << 20

// standardFields are the fields that every log line has.
var standardFields = map[string]bool{"@level": true, "@message": true, "@module": true, "@timestamp": true, "request": true}

// logLine is one log line of the request.
type logLine struct {
	time, module, message string
	fields                map[string]any
}

// Request reads the logs of one or more hosts and prints the lines of a request in
// time order. Lines may have a prefix before the JSON object. It returns the
// number of lines printed.
func Request(id string, logs io.Reader, out io.Writer) (int, error) {
	scanner := bufio.NewScanner(logs)
	scanner.Buffer(nil, maxLineBytes)
	quoted := []byte(`"` + id + `"`)
	var lines []logLine
	for scanner.Scan() {
		if l, ok := parseLine(id, quoted, scanner.Bytes()); ok {
			lines = append(lines, l)
		}
	}
	if err := scanner.Err(); err != nil {
		return 0, errors.Wrap(err, "read the log")
	}
	sort.SliceStable(lines, func(i, j int) bool { return lines[i].time < lines[j].time })
	for _, l := range lines {
		if err := l.print(out); err != nil {
			return 0, errors.Wrap(err, "print the log lines")
		}
	}
	return len(lines), nil
}

func parseLine(id string, quoted, data []byte) (logLine, bool) {
	start := bytes.IndexByte(data, '{')
	if start < 0 || !bytes.Contains(data, quoted) {
		return logLine{}, false
	}
	fields := map[string]any{}
	if err := json.Unmarshal(data[start:], &fields); err != nil || fields["request"] != id {
		return logLine{}, false
	}
	stringField := func(name string) string {
		s, _ := fields[name].(string) // a value of another type is printed as ""
		return s
	}
	return logLine{stringField("@timestamp"), stringField("@module"), stringField("@message"), fields}, true
}

func (l logLine) print(out io.Writer) error {
	if _, err := fmt.Fprintf(out, "%s %s: %s\n", l.time, l.module, l.message); err != nil {
		return err
	}
	names := make([]string, 0, len(l.fields))
	for name := range l.fields {
		if !standardFields[name] {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	for _, name := range names {
		if _, err := fmt.Fprintf(out, "    %s = %v\n", name, l.fields[name]); err != nil {
			return err
		}
	}
	return nil
}
