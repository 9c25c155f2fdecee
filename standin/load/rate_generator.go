package load

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"samphirekeel.example/standin/endpoint"
)

// RateGenerator sends requests at a fixed rate without retries and reports their latencies. The rate does not depend on
// the responses as long as fewer than Clients requests are in flight. It must not be reused after Run.
type RateGenerator struct {
	// URLs lists the URLs to which the requests are sent in turn.
	URLs   []string
	Method string
	// Rate is the number of requests per second.
	Rate     int
	Duration time.Duration
	// Timeout is the timeout of one request.
	Timeout time.Duration
	// Clients is the maximum number of requests in flight.
	Clients int

	mu              sync.Mutex
	started         time.Time
	completedInTime int
	latencies       []time.Duration
	statuses        map[int]int
}

// RateReport is the result of a run.
type RateReport struct {
	Sent int `json:"sent"`
	// Goodput is the number of requests per second that succeeded within the duration of the run.
	Goodput float64 `json:"goodput"`
	// Statuses counts the requests by HTTP status, 0 for those without a response.
	Statuses map[int]int `json:"statuses"`
	// P50, P99 and Max are latencies of the successful requests in microseconds.
	P50 int64 `json:"p50_us"`
	P99 int64 `json:"p99_us"`
	Max int64 `json:"max_us"`
}

// Run sends the requests and waits for their responses.
func (g *RateGenerator) Run() RateReport {
	g.statuses = make(map[int]int)
	client := &fasthttp.Client{
		MaxIdemponentCallAttempts: 1, MaxConnsPerHost: g.Clients, RetryIfErr: neverRetry,
		MaxIdleConnDuration: time.Minute,
	}
	total := int64(g.Duration.Seconds() * float64(g.Rate))
	var nextNumber atomic.Int64
	var clients sync.WaitGroup
	g.started = time.Now()
	for range g.Clients {
		clients.Go(func() {
			for {
				number := nextNumber.Add(1) - 1
				if number >= total {
					return
				}
				due := g.started.Add(time.Duration(number) * time.Second / time.Duration(g.Rate))
				time.Sleep(time.Until(due))
				g.send(client, g.URLs[int(number)%len(g.URLs)])
			}
		})
	}
	clients.Wait()
	return g.report(int(total))
}

func neverRetry(*fasthttp.Request, int, error) (bool, bool) { return false, false }

func (g *RateGenerator) send(client *fasthttp.Client, url string) {
	request := fasthttp.AcquireRequest()
	response := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.SetRequestURI(url)
	request.Header.SetMethod(g.Method)
	request.Header.Set(endpoint.HeaderTicket, "pace")
	start := time.Now()
	err := client.DoTimeout(request, response, g.Timeout)
	latency := time.Since(start)
	status := 0
	if err == nil {
		status = response.StatusCode()
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.statuses[status]++
	if status == fasthttp.StatusOK {
		g.latencies = append(g.latencies, latency)
		if time.Since(g.started) <= g.Duration {
			g.completedInTime++
		}
	}
}

func (g *RateGenerator) report(sent int) RateReport {
	report := RateReport{Sent: sent, Statuses: g.statuses, Goodput: float64(g.completedInTime) / g.Duration.Seconds()}
	if len(g.latencies) == 0 {
		return report
	}
	slices.Sort(g.latencies)
	report.P50 = g.latencies[len(g.latencies)/2].Microseconds()
	report.P99 = g.latencies[len(g.latencies)*99/100].Microseconds()
	report.Max = g.latencies[len(g.latencies)-1].Microseconds()
	return report
}
