package route

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"

	"samphirekeel.example/keel/instance"
	"samphirekeel.example/keel/platform"
	"samphirekeel.example/keel/settings"
)

const (
	benchService = "quabbin/intake"
	benchSlots   = 8
	benchPools   = 37
)

// benchRouter returns a router with a number of instances in its own data centre and in 22 others.
func benchRouter(b *testing.B, local, remote int) (*Router, *instance.Inventory, *settings.Tree) {
	nodes := map[settings.Path]settings.Node{"quabbin/p00/intake": {Path: "quabbin/p00/intake"}}
	for pool := range benchPools {
		path := settings.Path(fmt.Sprintf("quabbin/p%02d/service", pool))
		nodes[path] = settings.Node{Path: path}
	}
	tree := settings.NewTree(1, nodes)
	inventory := instance.NewInventory()
	for i := range local {
		putInstance(b, inventory, "worcester", i, 0, uint64(i+1))
	}
	for i := range remote {
		putInstance(b, inventory, fmt.Sprintf("dc%02d", i%22), i, i%benchPools, uint64(i+1))
	}
	router := &Router{DataCentre: "worcester"}
	router.Publish(inventory, tree)
	return router, inventory, tree
}

func putInstance(b *testing.B, inventory *instance.Inventory, dataCentre string, i, pool int, version uint64) {
	record := instance.Record{
		ID: fmt.Sprintf("i%05d", i), DataCentre: dataCentre, Address: "10.0.0.1:80", Slots: benchSlots,
		Pool: fmt.Sprintf("quabbin/p%02d", pool), State: instance.InService,
	}
	body, err := json.Marshal(record)
	assert.NilError(b, err)
	_, err = inventory.Update([]platform.Row{{Key: record.Key(), Version: version, Value: body}})
	assert.NilError(b, err)
}

// BenchmarkDecision measures the selection of an endpoint, with the look-up of the service and the release of the slot.
func BenchmarkDecision(b *testing.B) {
	for _, instances := range []int{50, 700, 16000} {
		b.Run(fmt.Sprint(instances), func(b *testing.B) {
			router, _, _ := benchRouter(b, instances, 0)
			b.ReportAllocs()
			for b.Loop() {
				service, _ := router.Find(benchService)
				chosen, ok := service.pool.pick(rand.IntN, nil)
				if !ok {
					b.Fatal("no endpoint")
				}
				chosen.endpoint.release()
			}
		})
	}
}

// BenchmarkPublish measures Publish after a change of one of 16,000 rows, 700 of them in the entry's own data centre.
func BenchmarkPublish(b *testing.B) {
	router, inventory, tree := benchRouter(b, 700, 15300)
	version := uint64(1_000_000)
	for b.Loop() {
		version++
		putInstance(b, inventory, "worcester", 3, 0, version)
		router.Publish(inventory, tree)
	}
}

// BenchmarkUpdate measures Update for the same change.
func BenchmarkUpdate(b *testing.B) {
	router, inventory, tree := benchRouter(b, 700, 15300)
	version := uint64(1_000_000)
	keys := []string{instance.Key("worcester", "i00003")}
	for b.Loop() {
		version++
		putInstance(b, inventory, "worcester", 3, 0, version)
		router.Update(inventory, tree, keys)
	}
}

// BenchmarkRefresh measures Refresh with 700 instances in the entry's own data centre.
func BenchmarkRefresh(b *testing.B) {
	router, inventory, _ := benchRouter(b, 700, 15300)
	observed := ClusterState{Entries: map[string]int64{"worcester": 3}, LeavingReason: func(string) string { return "" }}
	for b.Loop() {
		router.Refresh(observed, inventory)
	}
}
