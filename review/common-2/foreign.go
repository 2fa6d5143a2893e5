package main

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"
)

// foreignRequests is the number of bookings that are sent to each host, one each
// foreignInterval.
const (
	foreignRequests = 200
	foreignInterval = 10 * time.Millisecond
)

// runForeign lets another writer put an entry into the list of replicas that lacks a field.
// It names no replica to use, so that the server at its address must get nothing.
func runForeign(w *world) (bool, error) {
	for i, zone := range zoneNames {
		if _, err := w.startReplica([]string{"desk-1", "desk-2", "desk-3"}[i], "desk", zone); err != nil {
			return false, err
		}
	}
	if err := w.publishConfig(defaultConfig([]any{tenant("club", "key-of-club")})); err != nil {
		return false, err
	}
	if err := w.startHosts(3); err != nil {
		return false, err
	}
	time.Sleep(contactTime)
	stranger, err := w.newReplica("stranger-1", "desk", zoneNames[0])
	if err != nil {
		return false, err
	}
	if w.trouble {
		delete(stranger.entry, "cold_left_ms")
		stranger.entry["seq"] = 1
		value, err := json.Marshal(stranger.entry)
		if err != nil {
			return false, err
		}
		w.store.Put("servers", stranger.id, value)
		w.rec.note("another writer puts an entry without cold_left_ms: %s", value)
	}
	time.Sleep(contactTime)
	var clients sync.WaitGroup
	for range foreignRequests {
		for _, h := range w.hosts {
			clients.Go(func() { w.send(h, http.MethodPost, "/book/visit", "key-of-club") })
		}
		time.Sleep(foreignInterval)
	}
	clients.Wait()
	ran := stranger.runs()
	w.rec.note("check: the server of the incomplete entry ran %d bookings", ran)
	return ran > 0, nil
}
