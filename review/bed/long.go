package main

import (
	"fmt"
	"time"
)

func long(b *bed, trouble bool) {
	const host, prefix = "q.example", "/q/"
	b.addPool("pool-a", 8, false)
	b.addPool("spare", 2, true)
	b.addQueue("queue-a", host, prefix, "pool-a", 3)
	b.putConfig()
	b.addEntries(3)
	b.awaitReady()
	time.Sleep(2 * time.Second)
	ms := 40000
	if trouble {
		ms = 150000
	}
	id := fmt.Sprintf("%016x", 0x1000)
	status, _ := b.entries[0].call("POST", host, prefix+id, body(2, spec{Ms: ms, CPU: 1000, Mem: 500}, nil), 3*time.Second)
	b.record("POST %s: %d", id, status)
	time.Sleep(90 * time.Second)
}
