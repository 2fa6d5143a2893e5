package main

import (
	"bufio"
	"fmt"
	"io"
	"math"
	"slices"
	"strconv"
	"strings"
	"text/tabwriter"
)

// timeUnit is the unit that every benchmark has. Its spread decides on a repeat.
const timeUnit = "ns/op"

// result is one sub-benchmark with the values of its runs by unit.
type result struct {
	pkg    string
	name   string
	values map[string][]float64
}

// results holds sub-benchmarks in the order of their first run.
type results struct {
	order []*result
	byKey map[string]*result
}

func newResults() *results { return &results{byKey: map[string]*result{}} }

// parse reads the output of go test -bench. Results of a benchmark that an earlier
// parse has read replace the earlier ones, so that a repeat counts alone.
func (r *results) parse(in io.Reader) error {
	fresh := map[string]bool{}
	pkg := ""
	lines := bufio.NewScanner(in)
	for lines.Scan() {
		fields := strings.Fields(lines.Text())
		if len(fields) == 2 && fields[0] == "pkg:" {
			pkg = fields[1]
		}
		if len(fields) < 4 || !strings.HasPrefix(fields[0], "Benchmark") {
			continue
		}
		name := withoutProcs(fields[0])
		key := pkg + " " + name
		entry := r.byKey[key]
		if entry == nil {
			entry = &result{pkg: pkg, name: name}
			r.byKey[key] = entry
			r.order = append(r.order, entry)
		}
		if !fresh[key] {
			fresh[key] = true
			entry.values = map[string][]float64{}
		}
		for i := 2; i+1 < len(fields); i += 2 {
			value, err := strconv.ParseFloat(fields[i], 64)
			if err != nil {
				return fmt.Errorf("benchmark line %q: %w", lines.Text(), err)
			}
			entry.values[fields[i+1]] = append(entry.values[fields[i+1]], value)
		}
	}
	return lines.Err()
}

// withoutProcs removes the suffix with the number of processors.
func withoutProcs(name string) string {
	if i := strings.LastIndexByte(name, '-'); i > 0 {
		if _, err := strconv.Atoi(name[i+1:]); err == nil {
			return name[:i]
		}
	}
	return name
}

func median(values []float64) float64 {
	sorted := slices.Sorted(slices.Values(values))
	n := len(sorted)
	if n == 0 {
		return math.NaN()
	}
	return (sorted[(n-1)/2] + sorted[n/2]) / 2
}

// spread is how far the runs differ, as a part of the smallest.
func (r *result) spread() float64 {
	values := r.values[timeUnit]
	if len(values) == 0 || slices.Min(values) == 0 {
		return 0
	}
	return slices.Max(values)/slices.Min(values) - 1
}

// parameters returns the numeric parts of a name, as in replicas=40.
func (r *result) parameters() (names []string, values map[string]float64) {
	values = map[string]float64{}
	for _, part := range strings.Split(r.name, "/")[1:] {
		name, text, ok := strings.Cut(part, "=")
		value, err := strconv.ParseFloat(text, 64)
		if ok && err == nil {
			names = append(names, name)
			values[name] = value
		}
	}
	return names, values
}

// series returns the benchmark's name with one parameter left open.
func (r *result) series(parameter string) string {
	parts := strings.Split(r.name, "/")
	for i, part := range parts {
		if strings.HasPrefix(part, parameter+"=") {
			parts[i] = parameter + "=*"
		}
	}
	return strings.Join(parts, "/")
}

// fit is a line through the medians of a series.
type fit struct {
	pkg, series, unit string
	sizes             int
	slope, intercept  float64
	// correlation is the square of the correlation coefficient; 1 is a line.
	correlation float64
}

// fits returns a line for each parameter that has at least three sizes while the
// others stay the same.
func (r *results) fits() []fit {
	type group struct{ x, y []float64 }
	var order []fit
	groups := map[fit]*group{}
	for _, entry := range r.order {
		names, parameters := entry.parameters()
		for _, name := range names {
			for _, unit := range entry.units() {
				key := fit{pkg: entry.pkg, series: entry.series(name), unit: unit}
				if groups[key] == nil {
					groups[key] = &group{}
					order = append(order, key)
				}
				groups[key].x = append(groups[key].x, parameters[name])
				groups[key].y = append(groups[key].y, median(entry.values[unit]))
			}
		}
	}
	var found []fit
	for _, f := range order {
		g := groups[f]
		if len(g.x) < 3 {
			continue
		}
		f.sizes = len(g.x)
		f.slope, f.intercept, f.correlation = leastSquares(g.x, g.y)
		found = append(found, f)
	}
	return found
}

func leastSquares(x, y []float64) (slope, intercept, correlation float64) {
	n := float64(len(x))
	var sx, sy float64
	for i := range x {
		sx += x[i]
		sy += y[i]
	}
	var sxx, sxy, syy float64
	for i := range x {
		dx, dy := x[i]-sx/n, y[i]-sy/n
		sxx += dx * dx
		sxy += dx * dy
		syy += dy * dy
	}
	slope = sxy / sxx
	correlation = 1
	if syy > 0 {
		correlation = sxy * sxy / (sxx * syy)
	}
	return slope, (sy - slope*sx) / n, correlation
}

// units returns the units of a result, time first.
func (r *result) units() []string {
	units := []string{timeUnit}
	for unit := range r.values {
		if unit != timeUnit {
			units = append(units, unit)
		}
	}
	slices.Sort(units[1:])
	return units
}

// write prints the tables of medians and of slopes.
func (r *results) write(out io.Writer) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "medians\nbenchmark\tvalues\tspread")
	for _, entry := range r.order {
		var values []string
		for _, unit := range entry.units() {
			values = append(values, fmt.Sprintf("%.4g %s", median(entry.values[unit]), unit))
		}
		fmt.Fprintf(w, "%s %s\t%s\t%.0f%%\n", shortPackage(entry.pkg), entry.name, strings.Join(values, ", "), 100*entry.spread())
	}
	fmt.Fprintln(w, "\nslopes (least squares over the medians)\nseries\tper step\tat zero\tr2\tsizes")
	for _, f := range r.fits() {
		fmt.Fprintf(w, "%s %s\t%.4g %s\t%.4g\t%.3f\t%d\n", shortPackage(f.pkg), f.series, f.slope, f.unit, f.intercept, f.correlation, f.sizes)
	}
	return w.Flush()
}

// shortPackage leaves the path below the module's owner.
func shortPackage(path string) string {
	return strings.TrimPrefix(path, "github.com/sequoiaroad/sequoiaroad/")
}
