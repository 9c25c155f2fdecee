package fleet_test

import (
	"encoding/json"
	"fmt"
	"runtime"
	"testing"

	"gotest.tools/v3/assert"

	"samphirekeel.example/keel/fleet"
	"samphirekeel.example/keel/instance"
	"samphirekeel.example/keel/platform"
)

// BenchmarkStart fills a view with the rows of 16,000 instances and reports the heap that it keeps.
func BenchmarkStart(b *testing.B) {
	const instances = 16000
	result := platform.ScanResult{Through: instances}
	for i := range instances {
		record := instance.Record{
			ID: fmt.Sprintf("i%05d", i), DataCentre: fmt.Sprintf("d%02d", i%23), Rack: fmt.Sprintf("r%04d", i/4),
			Address: fmt.Sprintf("10.%d.%d.1:80", i/250, i%250), Pool: fmt.Sprintf("p/%d", i%37), State: instance.InService,
		}
		body, _ := json.Marshal(record)
		key := instance.Key(record.DataCentre, record.ID)
		result.Rows = append(result.Rows, platform.Row{Key: key, Version: uint64(i + 1), Token: "0123456789abcdef0123456789abcdef0123", Value: body})
	}
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	var view *fleet.View
	for b.Loop() {
		view = fleet.NewView()
		_, err := view.Apply(0, result)
		assert.NilError(b, err)
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/(1<<20), "MiB-kept")
	runtime.KeepAlive(view)
}
