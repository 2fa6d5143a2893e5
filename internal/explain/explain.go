// Package explain prints what a host's log says about one request.
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

// fixed are the fields that each line of the log has.
var fixed = map[string]bool{"@level": true, "@message": true, "@module": true, "@timestamp": true, "request": true}

// line is one line about the request.
type line struct {
	time, module, message string
	fields                map[string]any
}

// Request reads the logs of one or more hosts and prints the lines about a request in
// the order of time. Lines may have a prefix before the JSON object. It returns the
// number of lines printed.
func Request(id string, logs io.Reader, out io.Writer) (int, error) {
	scanner := bufio.NewScanner(logs)
	scanner.Buffer(nil, maxLineBytes)
	quoted := []byte(`"` + id + `"`)
	var found []line
	for scanner.Scan() {
		if l, ok := parse(id, quoted, scanner.Bytes()); ok {
			found = append(found, l)
		}
	}
	if err := scanner.Err(); err != nil {
		return 0, errors.Wrap(err, "read the log")
	}
	sort.SliceStable(found, func(i, j int) bool { return found[i].time < found[j].time })
	for _, l := range found {
		if err := l.print(out); err != nil {
			return 0, errors.Wrap(err, "print the story")
		}
	}
	return len(found), nil
}

func parse(id string, quoted, data []byte) (line, bool) {
	start := bytes.IndexByte(data, '{')
	if start < 0 || !bytes.Contains(data, quoted) {
		return line{}, false
	}
	fields := map[string]any{}
	if err := json.Unmarshal(data[start:], &fields); err != nil || fields["request"] != id {
		return line{}, false
	}
	text := func(name string) string {
		s, _ := fields[name].(string) // another type prints as ""
		return s
	}
	return line{text("@timestamp"), text("@module"), text("@message"), fields}, true
}

func (l line) print(out io.Writer) error {
	if _, err := fmt.Fprintf(out, "%s %s: %s\n", l.time, l.module, l.message); err != nil {
		return err
	}
	names := make([]string, 0, len(l.fields))
	for name := range l.fields {
		if !fixed[name] {
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
