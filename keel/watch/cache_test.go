package watch_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"samphirekeel.example/keel/platform"
	"samphirekeel.example/keel/watch"
)

func row(version uint64, value string) platform.Row {
	return platform.Row{Key: "c/a", Version: version, Value: []byte(value)}
}

func TestApplyNeverGoesBack(t *testing.T) {
	cache := watch.New("c/")
	newer := platform.ScanResult{Rows: []platform.Row{row(5, `2`)}, Through: 5}
	older := platform.ScanResult{Rows: []platform.Row{row(3, `1`)}, Through: 4}
	assert.Equal(t, len(cache.Apply(0, newer)), 1)
	assert.Equal(t, len(cache.Apply(0, older)), 0)
	assert.Equal(t, cache.Get("c/a").Version, uint64(5))
	assert.Equal(t, cache.Through(), uint64(5))
}

func TestApplyIgnoresResultAfterGap(t *testing.T) {
	cache := watch.New("c/")
	cache.Apply(7, platform.ScanResult{Rows: []platform.Row{row(9, `1`)}, Through: 9})
	assert.Equal(t, cache.Through(), uint64(0))
	assert.Equal(t, cache.Len(), 0)
}

func TestSinceIncludesDeletions(t *testing.T) {
	cache := watch.New("c/")
	cache.Apply(0, platform.ScanResult{Rows: []platform.Row{row(1, `1`)}, Through: 1})
	cache.Apply(1, platform.ScanResult{Rows: []platform.Row{{Key: "c/a", Version: 2}}, Through: 2})
	assert.Equal(t, cache.Len(), 0)
	copied := watch.New("c/")
	copied.Apply(0, cache.Since(0, 0))
	assert.Equal(t, copied.Through(), uint64(2))
	assert.Equal(t, copied.Get("c/a").Version, uint64(0))
}
