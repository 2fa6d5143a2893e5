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

// timeUnit is the unit that every benchmark reports. Its spread decides whether a
// benchmark is repeated.
const timeUnit = "ns/op"

// benchmark holds the values of the runs of one sub-benchmark, by unit.
type benchmark struct {
	pkg    string
	name   string
	values map[string][]float64
}

// results holds sub-benchmarks in the order of their first run.
type results struct {
	list  []*benchmark
	byKey map[string]*benchmark
}

func newResults() *results { return &results{byKey: map[string]*benchmark{}} }

// parse reads the output of go test -bench. Results of a benchmark replace those of an
// earlier call to parse, so that a repeat is not mixed with the runs that it replaces.
func (r *results) parse(in io.Reader) error {
	replaced := map[string]bool{}
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
		name := trimProcsSuffix(fields[0])
		key := pkg + " " + name
		entry := r.byKey[key]
		if entry == nil {
			entry = &benchmark{pkg: pkg, name: name}
			r.byKey[key] = entry
			r.list = append(r.list, entry)
		}
		if !replaced[key] {
			replaced[key] = true
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

// trimProcsSuffix removes the suffix with the number of processors.
func trimProcsSuffix(name string) string {
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

// spread returns the difference between the largest and the smallest time per operation,
// relative to the smallest.
func (b *benchmark) spread() float64 {
	values := b.values[timeUnit]
	if len(values) == 0 || slices.Min(values) == 0 {
		return 0
	}
	return slices.Max(values)/slices.Min(values) - 1
}

// parameters returns the numeric parameters in the name, such as replicas=40.
func (b *benchmark) parameters() (names []string, values map[string]float64) {
	values = map[string]float64{}
	for _, part := range strings.Split(b.name, "/")[1:] {
		name, text, ok := strings.Cut(part, "=")
		value, err := strconv.ParseFloat(text, 64)
		if ok && err == nil {
			names = append(names, name)
			values[name] = value
		}
	}
	return names, values
}

// seriesName returns the benchmark's name with * in place of the value of one parameter.
func (b *benchmark) seriesName(parameter string) string {
	parts := strings.Split(b.name, "/")
	for i, part := range parts {
		if strings.HasPrefix(part, parameter+"=") {
			parts[i] = parameter + "=*"
		}
	}
	return strings.Join(parts, "/")
}

// linearFit is the regression line through the medians of a series.
type linearFit struct {
	pkg, series, unit string
	sizes             int
	slope, intercept  float64
	// rSquared is the square of the correlation coefficient; 1 is an exact line.
	rSquared float64
}

// linearFits returns a line for each parameter that has at least three values while the
// other parameters stay the same.
func (r *results) linearFits() []linearFit {
	type group struct{ x, y []float64 }
	var order []linearFit
	groups := map[linearFit]*group{}
	for _, entry := range r.list {
		names, parameters := entry.parameters()
		for _, name := range names {
			for _, unit := range entry.units() {
				key := linearFit{pkg: entry.pkg, series: entry.seriesName(name), unit: unit}
				if groups[key] == nil {
					groups[key] = &group{}
					order = append(order, key)
				}
				groups[key].x = append(groups[key].x, parameters[name])
				groups[key].y = append(groups[key].y, median(entry.values[unit]))
			}
		}
	}
	var fits []linearFit
	for _, f := range order {
		g := groups[f]
		if len(g.x) < 3 {
			continue
		}
		f.sizes = len(g.x)
		f.slope, f.intercept, f.rSquared = leastSquares(g.x, g.y)
		fits = append(fits, f)
	}
	return fits
}

func leastSquares(x, y []float64) (slope, intercept, rSquared float64) {
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
	rSquared = 1
	if syy > 0 {
		rSquared = sxy * sxy / (sxx * syy)
	}
	return slope, (sy - slope*sx) / n, rSquared
}

// units returns the units of a result, time first.
func (b *benchmark) units() []string {
	units := []string{timeUnit}
	for unit := range b.values {
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
	for _, entry := range r.list {
		var values []string
		for _, unit := range entry.units() {
			values = append(values, fmt.Sprintf("%.4g %s", median(entry.values[unit]), unit))
		}
		fmt.Fprintf(w, "%s %s\t%s\t%.0f%%\n", shortPackage(entry.pkg), entry.name, strings.Join(values, ", "), 100*entry.spread())
	}
	fmt.Fprintln(w, "\nslopes (least squares over the medians)\nseries\tper step\tat zero\tr2\tsizes")
	for _, f := range r.linearFits() {
		fmt.Fprintf(w, "%s %s\t%.4g %s\t%.4g\t%.3f\t%d\n", shortPackage(f.pkg), f.series, f.slope, f.unit, f.intercept, f.rSquared, f.sizes)
	}
	return w.Flush()
}

// shortPackage returns the package path relative to the root of the repository.
func shortPackage(path string) string {
	return strings.TrimPrefix(path, "github.com/sequoiaroad/sequoiaroad/")
}
