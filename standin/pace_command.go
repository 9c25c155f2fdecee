package main

import (
	"encoding/json"
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	"samphirekeel.example/keel/fault"
	"samphirekeel.example/standin/load"
)

// clockTicksPerSecond is USER_HZ, the unit of processor times in /proc on Linux.
const clockTicksPerSecond = 100

type paceCommand struct {
	Streams  []string      `long:"stream" required:"true" description:"NAME=URL,URL...: asked in turn; repeatable, all at once"`
	Method   string        `long:"method" default:"GET" description:"method of the requests"`
	Rate     int           `long:"rate" default:"100" description:"requests a second of each stream"`
	Duration time.Duration `long:"duration" default:"10s" description:"time to send for"`
	Timeout  time.Duration `long:"timeout" default:"2s" description:"bound on each request"`
	Clients  int           `long:"clients" default:"256" description:"greatest number of requests in flight of each stream"`
	PID      int           `long:"pid" description:"process whose processor time is reported"`
}

// paceReport is the output of the command.
type paceReport struct {
	Streams map[string]load.RateReport `json:"streams"`
	// ProcessorSeconds is the processor time that the process with the given PID used during the run.
	ProcessorSeconds float64 `json:"processor_seconds,omitempty"`
}

// Execute sends all streams at once and prints their results as JSON.
func (c *paceCommand) Execute([]string) error {
	before, err := processorSeconds(c.PID)
	if err != nil {
		return err
	}
	report := paceReport{Streams: make(map[string]load.RateReport)}
	var mu sync.Mutex
	var streams sync.WaitGroup
	for _, stream := range c.Streams {
		name, urls, _ := strings.Cut(stream, "=")
		generator := &load.RateGenerator{
			URLs: strings.Split(urls, ","), Method: c.Method, Rate: c.Rate, Duration: c.Duration,
			Timeout: c.Timeout, Clients: c.Clients,
		}
		streams.Go(func() {
			result := generator.Run()
			mu.Lock()
			defer mu.Unlock()
			report.Streams[name] = result
		})
	}
	streams.Wait()
	after, err := processorSeconds(c.PID)
	if err != nil {
		return err
	}
	report.ProcessorSeconds = after - before
	body, err := json.Marshal(report)
	if err != nil {
		return fault.Wrap(fault.Internal, err, "encode report")
	}
	fmt.Println(string(body))
	return nil
}

// processorSeconds returns the processor time that a process has used, or 0 if pid is 0.
func processorSeconds(pid int) (float64, error) {
	if pid == 0 {
		return 0, nil
	}
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, fault.Wrap(fault.Usage, err, "read processor time of process %d", pid)
	}
	// The command name, the second field, may contain spaces and ends at the last parenthesis; utime and stime are the
	// 12th and 13th fields after it.
	fields := strings.Fields(string(data[strings.LastIndexByte(string(data), ')')+1:]))
	user, _ := strconv.ParseFloat(fields[11], 64)
	system, _ := strconv.ParseFloat(fields[12], 64)
	return (user + system) / clockTicksPerSecond, nil
}
