package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

// Dimensions of the case "levels".
const (
	levelsHosts   = 3
	levelsEngines = 8
	// levels is the number of parts that a prompt shares with others besides the one that crashes
	// engines.
	levels = 8
	// firstQuestions is the number of prompts that share all of them.
	firstQuestions = 3
	// questionPause is the time between two prompts with the part that crashes engines.
	questionPause = 2 * time.Second
	// soundPause is how long no sound prompt shares the parts of the others.
	soundPause = 16 * time.Second
	// otherPause is the time between two sound prompts of other texts, so that 0.04 of all prompts
	// have the part that crashes engines. otherTexts is the number of these texts.
	otherPause = 80 * time.Millisecond
	otherTexts = 10
	// backAfter is when a replica is back after its crash.
	backAfter = 2500 * time.Millisecond
	// The rule: more than maxLate requests sent later than contactTime after this crash.
	countedCrash = 5
	maxLate      = 3
	crashPart    = "dead0001"
	partTokens   = 300
)

// levelsCase sends prompts of a tree of texts: a part that crashes engines at the top, and below it
// parts that are shared by ever fewer prompts. They come in the order of the tree: first questions
// on one leaf, then a question on the next leaf, the next branch above it, and so on. Not more than
// maxLate may reach an engine later than contactTime after the fifth crash. Without the trouble
// the part crashes nothing.
func levelsCase(s *site) (bool, error) {
	if err := s.putConfig(); err != nil {
		return false, err
	}
	for i := range levelsEngines {
		o := replicaOptions{
			id: fmt.Sprintf("i-engine-%d", i), service: engineService, zone: []string{"zone-a", "zone-b"}[i%2], events: 6, interval: 30 * time.Millisecond,
		}
		if s.trouble {
			o.crashPart = crashPart
		}
		if err := s.supervise(o); err != nil {
			return false, err
		}
	}
	if err := s.addHosts(levelsHosts, func(int) string { return s.storeURL }); err != nil {
		return false, err
	}
	if err := s.startHosts(); err != nil {
		return false, err
	}
	time.Sleep(contactTime)
	questions := treeQuestions()
	ask := func(i int, parts []string) answer {
		return s.hosts[i%levelsHosts].send(http.MethodPost, "/diagnosis/1", treeHeader(parts))
	}
	var answers []answer
	sound := func() error {
		for i, parts := range questions {
			a := ask(i, parts)
			s.list("sound prompt %v: %s", parts, a.String())
			if a.status != http.StatusOK || !a.whole {
				return fmt.Errorf("a sound prompt: %s", a.String())
			}
		}
		return nil
	}
	if err := sound(); err != nil {
		return false, err
	}
	s.note("%d sound prompts were served, which share all parts but the one that crashes engines", len(questions))
	stopOthers := s.askOthers()
	time.Sleep(soundPause)
	for i, parts := range questions {
		at := time.Now()
		a := ask(i, append([]string{crashPart}, parts...))
		answers = append(answers, a)
		s.note("prompt %d, with %s and %d of the %d parts of the first one: status %d", i+1, crashPart, sharedWith(parts, questions[0]), levels, a.status)
		time.Sleep(questionPause - time.Since(at))
	}
	others := stopOthers()
	lost := 0
	for _, a := range others {
		if a.status != http.StatusOK || !a.whole {
			lost++
			s.list("sound prompt of another text: %s", a.String())
		}
	}
	s.note("%d of %d sound prompts of other texts failed", lost, len(others))
	var crashes []time.Time
	reached := map[string]time.Time{}
	for _, r := range s.all() {
		for _, t := range r.told() {
			switch t.What {
			case "crash":
				crashes = append(crashes, t.At)
			case "arrived":
				reached[t.ID] = t.At
			}
		}
	}
	slices.SortFunc(crashes, time.Time.Compare)
	s.note("%d crashes", len(crashes))
	if !s.trouble {
		for _, a := range answers {
			if a.status != http.StatusOK || !a.whole {
				return false, fmt.Errorf("without the trouble: %s", a.String())
			}
		}
		return false, nil
	}
	if len(crashes) < countedCrash {
		return false, nil
	}
	late := 0
	end := crashes[countedCrash-1].Add(contactTime)
	for i, a := range answers {
		if at, ok := reached[a.id]; ok && at.After(end) {
			late++
			s.note("prompt %d reached an engine %d ms after the fifth crash", i+1, at.Sub(crashes[countedCrash-1]).Milliseconds())
		}
	}
	s.note("%d requests with the part reached engines later than %v after the fifth crash; %d are allowed", late, contactTime, maxLate)
	return late > maxLate, nil
}

// askOthers sends sound prompts of other texts until the returned function is called, which returns
// their answers.
func (s *site) askOthers() (stop func() []answer) {
	texts := make([]string, otherTexts)
	for i := range texts {
		texts[i] = fmt.Sprintf("%08x", rand.Uint32())
	}
	var mu sync.Mutex
	var answers []answer
	var running sync.WaitGroup
	stopped := make(chan struct{})
	running.Go(func() {
		ticker := time.NewTicker(otherPause)
		defer ticker.Stop()
		for n := 0; ; n++ {
			select {
			case <-stopped:
				return
			case <-ticker.C:
			}
			running.Go(func() {
				a := s.hosts[n%levelsHosts].send(http.MethodPost, "/diagnosis/1", treeHeader([]string{texts[n%otherTexts]}))
				mu.Lock()
				defer mu.Unlock()
				answers = append(answers, a)
			})
		}
	})
	return func() []answer {
		close(stopped)
		running.Wait()
		return answers
	}
}

// treeQuestions returns the parts of the prompts, without the one that crashes engines and the last
// one, which is each prompt's own.
func treeQuestions() [][]string {
	path := make([]string, levels)
	for i := range path {
		path[i] = fmt.Sprintf("%08x", rand.Uint32())
	}
	var out [][]string
	for range firstQuestions {
		out = append(out, slices.Clone(path))
	}
	for changed := levels - 1; changed >= 0; changed-- {
		for i := changed; i < levels; i++ {
			path[i] = fmt.Sprintf("%08x", rand.Uint32())
		}
		out = append(out, slices.Clone(path))
	}
	return out
}

// treeHeader returns the headers of a prompt with these parts and one of its own.
func treeHeader(parts []string) map[string]string {
	var list strings.Builder
	for _, p := range parts {
		fmt.Fprintf(&list, "%s:%d,", p, partTokens)
	}
	fmt.Fprintf(&list, "%08x:%d", rand.Uint32(), partTokens)
	return map[string]string{
		"X-Model": modelName, "X-Token-Usage": fmt.Sprintf("%d,40", partTokens*(len(parts)+1)), "X-Prefix-Hash": list.String(),
	}
}

func sharedWith(a, b []string) int {
	n := 0
	for n < len(a) && a[n] == b[n] {
		n++
	}
	return n
}

// supervise starts a replica and starts it again, under its id and address, after each crash.
func (s *site) supervise(o replicaOptions) error {
	r, err := s.startReplica(o)
	if err != nil {
		return err
	}
	o.address = r.address
	go func() {
		for {
			<-r.exited
			if s.isClosed() {
				return
			}
			s.note("%s crashed", r.id)
			time.Sleep(backAfter)
			next, err := s.startReplica(o)
			if err != nil {
				s.note("%v", errors.Join(errors.New("the supervisor"), err))
				return
			}
			r = next
			_ = r.register("ready") // it was encoded before
		}
	}()
	return r.register("ready")
}
