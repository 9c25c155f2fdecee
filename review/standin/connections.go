package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"
)

func init() { cases["connections"] = connections }

// connections keeps the connections of many callers open, while more callers come at once several times. The platform
// starts an entry again that has ended.
func connections(s *site, trouble bool) {
	const (
		maxFiles    = 4100 // of the settings
		usual       = 1600 // open connections of callers to each entry
		burstFactor = 2.6  // the largest dose of a burst in the site file
		burstTime   = 4 * time.Second
		bursts      = 3
		pause       = 12 * time.Second
		restart     = time.Second
	)
	s.maxFiles = maxFiles
	q := queueSpec{name: "r-1", host: "pule25.example", prefix: "/puxa400/", pool: "huvo11a", attempts: 4, timeoutMs: 3000}
	s.configure(3, []queueSpec{q}, []string{q.pool})
	zones := []string{"worcester", "lowell"}
	for i := range 2 {
		s.addWorker(q.pool, zones[i], 16000, 32768, func(string, int64, *worker) (time.Duration, string) { return 300 * time.Millisecond, "done" })
	}
	for i := range 2 {
		s.addEntry(zones[i])
	}
	s.ready(15 * time.Second)
	time.Sleep(2 * time.Second)

	ends := make(map[string]int)
	var mu sync.Mutex
	stop := make(chan struct{})
	var watchers sync.WaitGroup
	for _, e := range s.entries {
		watchers.Add(1)
		go func() {
			defer watchers.Done()
			for {
				select {
				case <-e.done:
				case <-stop:
					return
				}
				mu.Lock()
				ends[e.name]++
				mu.Unlock()
				s.record.note("%s ended by itself: %v: %s", e.name, e.command.ProcessState, lastLine(filepath.Join(s.folder, e.name+".log")))
				time.Sleep(restart)
				s.launch(e)
			}
		}()
	}
	stay := &callers{site: s, queue: q}
	stay.come(usual)
	s.record.note("%d callers are connected to each entry", usual)
	time.Sleep(3 * time.Second)
	for range bursts {
		if trouble {
			more := &callers{site: s, queue: q}
			s.record.note("burst: %.1f times as many callers", burstFactor)
			more.come(int(usual * (burstFactor - 1)))
			time.Sleep(burstTime)
			more.leave()
			s.record.note("the burst is over")
		}
		time.Sleep(pause)
		// Callers whose connection was closed connect again.
		stay.leave()
		stay.come(usual)
	}
	close(stop)
	watchers.Wait()
	answered, failed := stay.count()
	machines := 0
	for _, n := range ends {
		if n >= bursts {
			machines++
		}
	}
	result := fmt.Sprintf("ends of the %d entries by themselves: %v; %d calls of the usual callers answered, %d not", len(s.entries), ends, answered, failed)
	if machines >= 2 {
		s.finish(1, "broken: %s", result)
	}
	s.finish(0, "held: %s", result)
}

// callers are callers that each hold one connection open.
type callers struct {
	site  *site
	queue queueSpec

	mu               sync.Mutex
	open             []net.Conn
	answered, failed int
}

// come connects n callers to each entry. Each of them makes a call and keeps its connection.
func (c *callers) come(n int) {
	var group sync.WaitGroup
	limit := make(chan struct{}, 64)
	for range n {
		for _, e := range c.site.entries {
			group.Add(1)
			limit <- struct{}{}
			go func() {
				defer group.Done()
				defer func() { <-limit }()
				conn, err := c.callOnce(e)
				c.mu.Lock()
				defer c.mu.Unlock()
				if err != nil {
					c.failed++
					return
				}
				c.answered++
				c.open = append(c.open, conn)
			}()
		}
	}
	group.Wait()
	answered, failed := c.count()
	c.site.record.note("%d callers came to each entry; in all, %d of their calls were answered and %d not", n, answered, failed)
}

func (c *callers) callOnce(e *entryProcess) (net.Conn, error) {
	conn, err := net.DialTimeout("tcp", fmt.Sprintf("%s:%d", e.ip, e.callers), 3*time.Second)
	if err != nil {
		return nil, err
	}
	_ = conn.SetDeadline(time.Now().Add(3 * time.Second))
	_, err = fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: %s\r\n%s: 3000\r\n\r\n", c.queue.prefix, c.queue.host, wire("timeoutHeader"))
	if err != nil {
		_ = conn.Close()
		return nil, err
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		_ = conn.Close()
		return nil, err
	}
	_ = response.Body.Close()
	return conn, nil
}

// leave closes all connections.
func (c *callers) leave() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, conn := range c.open {
		_ = conn.Close()
	}
	c.open = nil
}

func (c *callers) count() (answered, failed int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.answered, c.failed
}

func lastLine(path string) string {
	content, err := os.ReadFile(path)
	if err != nil {
		return err.Error()
	}
	lines := strings.Split(strings.TrimSpace(string(content)), "\n")
	return lines[len(lines)-1]
}
