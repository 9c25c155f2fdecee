package probe

import (
	"bytes"
	"fmt"
	"strings"
	"time"

	dto "github.com/prometheus/client_model/go"
	"github.com/prometheus/common/expfmt"
	"github.com/prometheus/common/model"
	"github.com/valyala/fasthttp"

	"samphirekeel.example/keel/fault"
)

const (
	scrapeTimeout = 5 * time.Second
	bytesPerMB    = 1 << 20
	bytesPerKB    = 1000
	percent       = 100
)

// Probe measures the resources that entries use over a period.
type Probe struct {
	// Entries lists the addresses at which entries listen for operators.
	Entries []string
	Period  time.Duration
}

// Cost is the resources that one entry used over the period.
type Cost struct {
	Entry string `json:"entry"`
	// CPUPercent is the processor time in percent of one core.
	CPUPercent float64 `json:"cpu_percent"`
	// MemoryMB is the resident memory in mebibytes at the end of the period.
	MemoryMB float64 `json:"memory_mb"`
	// HeapMB is the heap in use in mebibytes at the end of the period.
	HeapMB float64 `json:"heap_mb"`
	// BytesPerSecond is the control traffic by direction and link, such as "received platform".
	BytesPerSecond map[string]float64 `json:"bytes_per_second"`
}

// Summary returns the costs as a row of a Markdown table: mean and maximum processor time in percent of a core, then
// the maxima of the heap and the resident memory in MB, and of the control traffic in KB per second from the platform,
// to the platform, from peers and to peers.
func Summary(costs []Cost) string {
	cells := []float64{mean(costs, func(c Cost) float64 { return c.CPUPercent })}
	for _, value := range []func(Cost) float64{
		func(c Cost) float64 { return c.CPUPercent },
		func(c Cost) float64 { return c.HeapMB },
		func(c Cost) float64 { return c.MemoryMB },
		func(c Cost) float64 { return c.BytesPerSecond["received platform"] / bytesPerKB },
		func(c Cost) float64 { return c.BytesPerSecond["sent platform"] / bytesPerKB },
		func(c Cost) float64 { return c.BytesPerSecond["received peer"] / bytesPerKB },
		func(c Cost) float64 { return c.BytesPerSecond["sent peer"] / bytesPerKB },
	} {
		cells = append(cells, maximum(costs, value))
	}
	var row strings.Builder
	for _, cell := range cells {
		fmt.Fprintf(&row, "| %.2f ", cell)
	}
	row.WriteString("|")
	return row.String()
}

func mean(costs []Cost, value func(Cost) float64) float64 {
	total := 0.0
	for _, c := range costs {
		total += value(c)
	}
	return total / float64(len(costs))
}

func maximum(costs []Cost, value func(Cost) float64) float64 {
	highest := 0.0
	for _, c := range costs {
		highest = max(highest, value(c))
	}
	return highest
}

// sample is the result of one scrape of an entry.
type sample struct {
	takenAt       time.Time
	cpuSeconds    float64
	residentBytes float64
	heapBytes     float64
	// controlBytes counts the bytes of control traffic by direction and link.
	controlBytes map[string]float64
}

// Run scrapes every entry at the start and the end of the period and returns the costs in the order of Entries.
func (p *Probe) Run() ([]Cost, error) {
	before := make([]sample, len(p.Entries))
	for i, entry := range p.Entries {
		s, err := scrape(entry)
		if err != nil {
			return nil, err
		}
		before[i] = s
	}
	time.Sleep(p.Period)
	costs := make([]Cost, 0, len(p.Entries))
	for i, entry := range p.Entries {
		after, err := scrape(entry)
		if err != nil {
			return nil, err
		}
		costs = append(costs, cost(entry, before[i], after))
	}
	return costs, nil
}

func cost(entry string, before, after sample) Cost {
	seconds := after.takenAt.Sub(before.takenAt).Seconds()
	result := Cost{
		Entry:          entry,
		CPUPercent:     percent * (after.cpuSeconds - before.cpuSeconds) / seconds,
		MemoryMB:       after.residentBytes / bytesPerMB,
		HeapMB:         after.heapBytes / bytesPerMB,
		BytesPerSecond: make(map[string]float64),
	}
	for link, count := range after.controlBytes {
		result.BytesPerSecond[link] = (count - before.controlBytes[link]) / seconds
	}
	return result
}

func scrape(entry string) (sample, error) {
	status, body, err := fasthttp.GetTimeout(nil, "http://"+entry+"/metrics", scrapeTimeout)
	if err != nil || status != fasthttp.StatusOK {
		return sample{}, fault.Wrap(fault.NotReady, err, "scrape metrics of entry %s: status %d", entry, status)
	}
	parser := expfmt.NewTextParser(model.UTF8Validation)
	families, err := parser.TextToMetricFamilies(bytes.NewReader(body))
	if err != nil {
		return sample{}, fault.Wrap(fault.Internal, err, "decode metrics of entry %s", entry)
	}
	return sample{
		takenAt:       time.Now(),
		cpuSeconds:    sumValues(families["process_cpu_seconds_total"]),
		residentBytes: sumValues(families["process_resident_memory_bytes"]),
		heapBytes:     sumValues(families["go_memstats_heap_inuse_bytes"]),
		controlBytes:  valuesByLabels(families["samphirekeel_control_bytes_total"]),
	}, nil
}

// sumValues returns the sum of the values of a family of counters or gauges.
func sumValues(family *dto.MetricFamily) float64 {
	total := 0.0
	for _, metric := range family.GetMetric() {
		total += metric.GetCounter().GetValue() + metric.GetGauge().GetValue()
	}
	return total
}

// valuesByLabels returns the values of a family of counters by their label values, joined with spaces.
func valuesByLabels(family *dto.MetricFamily) map[string]float64 {
	values := make(map[string]float64)
	for _, metric := range family.GetMetric() {
		var labels []string
		for _, label := range metric.GetLabel() {
			labels = append(labels, label.GetValue())
		}
		values[strings.Join(labels, " ")] = metric.GetCounter().GetValue()
	}
	return values
}
