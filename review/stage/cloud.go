package main

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"
)

const (
	moveTime     = 1500 * time.Millisecond
	maintainTime = 2 * time.Second
)

// cloud is the platform's instance service.
type cloud struct {
	fleet *fleet
	// hold returns for how long the execution of an order for an instance's maintenance is held up; its response is lost then.
	hold func(name string) time.Duration
	// maintained is called when the maintenance of an instance begins.
	maintained func(name string)
}

func (c *cloud) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	f := c.fleet
	if r.URL.Path == names["instances"] {
		f.mu.Lock()
		defer f.mu.Unlock()
		all := []object{}
		for _, i := range f.all {
			o := object{"machine": i.name, "pool": i.pool, "state": i.state, "zone": i.zone, "labels": i.labels, "capacity": object{"cpu": i.cpu, "memMb": i.memory, "gpu": 0}, "id": ""}
			if i.worker != nil && (i.worker.alive || i.worker.dark) {
				o["id"] = i.worker.id
			}
			all = append(all, o)
		}
		respond(w, http.StatusOK, object{"machines": all, "nextPageToken": nil})
		return
	}
	var body object
	err := json.NewDecoder(r.Body).Decode(&body)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	token, _ := strconv.ParseInt(r.Header.Get("Fencing-Token"), 10, 64)
	holder := r.Header.Get("Lease-Holder")
	name := body.text("machine")
	if r.URL.Path == names["maintain"] && c.hold != nil {
		held := c.hold(name)
		if held > 0 {
			f.record.write("order %s for %s by %s/%d is held up for %v", r.URL.Path, name, holder, token, held)
			time.AfterFunc(held, func() {
				status, reason := c.order(r.URL.Path, body, holder, token)
				f.record.write("held up order for %s by %s/%d: %d %s", name, holder, token, status, reason)
			})
			<-r.Context().Done()
			return
		}
	}
	status, reason := c.order(r.URL.Path, body, holder, token)
	f.record.write("order %s %v by %s/%d: %d %s", r.URL.Path, body, holder, token, status, reason)
	respond(w, status, object{"reason": reason})
}

// order carries out an order to an instance.
func (c *cloud) order(path string, body object, holder string, token int64) (int, string) {
	f := c.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	var i *instance
	for _, e := range f.all {
		if e.name == body.text("machine") {
			i = e
		}
	}
	if i == nil {
		return http.StatusBadRequest, ""
	}
	if token < i.token {
		return http.StatusConflict, "fence"
	}
	i.token, i.holder = token, holder
	wave := body.number("wave")
	down := moveTime
	switch path {
	case names["move"]:
		if i.pool == body.text("pool") {
			return http.StatusOK, ""
		}
	case names["maintain"]:
		if i.waves[wave] {
			return http.StatusOK, ""
		}
		down = maintainTime
	default:
		return http.StatusBadRequest, ""
	}
	if i.state != "up" {
		return http.StatusConflict, "busy"
	}
	if path == names["move"] {
		i.state, i.pool = "moving", body.text("pool")
	} else {
		i.state, i.waves[wave] = "upkeep", true
		if c.maintained != nil {
			c.maintained(i.name)
		}
	}
	f.stop(i.worker)
	time.AfterFunc(down, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.boot(i)
	})
	return http.StatusOK, ""
}
