package main

import (
	"net/http"
	"time"
)

// keysProbes is the number of requests with each key.
const keysProbes = 10

// runKeys lets the operator remove the only tenant. Its key, and one that no configuration
// ever held, must be refused afterwards.
func runKeys(w *world) (bool, error) {
	var desks []*replica
	for i, zone := range zoneNames {
		r, err := w.startReplica([]string{"desk-1", "desk-2", "desk-3"}[i], "desk", zone)
		if err != nil {
			return false, err
		}
		desks = append(desks, r)
	}
	if err := w.publishConfig(defaultConfig([]any{tenant("club", "key-of-club")})); err != nil {
		return false, err
	}
	if err := w.startHosts(3); err != nil {
		return false, err
	}
	time.Sleep(contactTime)
	for _, h := range w.hosts {
		w.send(h, http.MethodPost, "/book/visit", "key-of-club")
	}
	if w.trouble {
		if err := w.publishConfig(defaultConfig([]any{})); err != nil {
			return false, err
		}
	}
	time.Sleep(configDeadline + contactTime)
	before := 0
	for _, r := range desks {
		before += r.runs()
	}
	for range keysProbes {
		for _, h := range w.hosts {
			w.send(h, http.MethodPost, "/book/visit", "key-that-never-was")
			if w.trouble {
				w.send(h, http.MethodPost, "/book/visit", "key-of-club")
			}
		}
	}
	after := 0
	for _, r := range desks {
		after += r.runs()
	}
	w.rec.note("check: %d requests ran with a key that no configuration held, or that was taken away over %.1f s before", after-before, (configDeadline + contactTime).Seconds())
	return after > before, nil
}
