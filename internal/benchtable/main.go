// Command benchtable runs the benchmarks of the given packages, one package at a time,
// and prints tables of medians and of slopes over the sizes. With -parse it reads the
// raw output of an earlier run instead.
package main

import (
	"bytes"
	"flag"
	"fmt"
	"io"
	"os"
	"os/exec"
	"strings"
	"time"
)

// maxSpread is the relative difference between the runs of a benchmark above which it is
// repeated, since other work on the machine probably disturbed it.
const maxSpread = 0.3

type options struct {
	parse     string
	raw       string
	bench     string
	skip      string
	benchTime string
	count     int
	packages  []string
}

func main() {
	o := options{}
	flag.StringVar(&o.parse, "parse", "", "file with raw output to read instead of a run")
	flag.StringVar(&o.raw, "raw", "", "file for the raw output of the run")
	flag.StringVar(&o.bench, "bench", ".", "benchmarks to run")
	flag.StringVar(&o.skip, "skip", "^$", "benchmarks to leave out")
	flag.StringVar(&o.benchTime, "benchtime", "100ms", "time of each run")
	flag.IntVar(&o.count, "count", 5, "runs of each benchmark")
	flag.Parse()
	o.packages = flag.Args()
	if err := o.run(os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "benchtable:", err)
		os.Exit(1)
	}
}

func (o *options) run(out io.Writer) error {
	all := newResults()
	if o.parse != "" {
		if err := parseFile(all, o.parse); err != nil {
			return err
		}
		return all.write(out)
	}
	raw := io.Discard
	if o.raw != "" {
		file, err := os.Create(o.raw)
		if err != nil {
			return err
		}
		defer file.Close()
		raw = file
	}
	for _, pkg := range o.packages {
		if err := o.runPackage(all, pkg, raw); err != nil {
			return err
		}
	}
	return all.write(out)
}

// parseFile parses the raw output of an earlier run, one section after the other.
func parseFile(all *results, name string) error {
	data, err := os.ReadFile(name)
	if err != nil {
		return err
	}
	for section := range strings.SplitSeq(string(data), sectionPrefix) {
		if err := all.parse(strings.NewReader(section)); err != nil {
			return err
		}
	}
	return nil
}

// runPackage runs the benchmarks of a package and repeats those whose runs differ by more
// than maxSpread. A repeat replaces the first runs even if it differs as much.
func (o *options) runPackage(all *results, pkg string, raw io.Writer) error {
	before := len(all.list)
	if err := o.goTest(all, pkg, o.bench, raw); err != nil {
		return err
	}
	for _, entry := range all.list[before:] {
		if entry.spread() > maxSpread {
			if err := o.goTest(all, pkg, exactPattern(entry.name), raw); err != nil {
				return err
			}
		}
	}
	return nil
}

// exactPattern returns a -bench pattern that matches one sub-benchmark.
func exactPattern(name string) string {
	return "^" + strings.Join(strings.Split(name, "/"), "$/^") + "$"
}

// sectionPrefix marks the start of the output of one go test command.
const sectionPrefix = "## "

func (o *options) goTest(all *results, pkg, bench string, raw io.Writer) error {
	args := []string{"test", "-run", "^$", "-bench", bench, "-skip", o.skip, "-benchtime", o.benchTime,
		"-benchmem", "-count", fmt.Sprint(o.count), "-timeout", "30m", pkg}
	fmt.Fprintf(raw, "%s%s go %s\n", sectionPrefix, time.Now().UTC().Format(time.RFC3339), strings.Join(args, " "))
	if load, err := exec.Command("uptime").Output(); err == nil {
		_, _ = raw.Write(load)
	}
	output, err := exec.Command("go", args...).CombinedOutput()
	if _, writeErr := raw.Write(output); writeErr != nil {
		return writeErr
	}
	if err != nil {
		return fmt.Errorf("go test %s: %w\n%s", pkg, err, output)
	}
	return all.parse(bytes.NewReader(output))
}
