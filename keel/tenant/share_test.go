package tenant

import (
	"testing"

	"gotest.tools/v3/assert"
)

func TestRoomUnderCap(t *testing.T) {
	tests := []struct {
		name           string
		cap, used, add Cap
		fits           bool
		share          float64
	}{
		{"room in each dimension", Cap{1000, 100, 1}, Cap{400, 50, 0}, Cap{600, 50, 1}, true, 0.5},
		{"too little memory", Cap{1000, 100, 0}, Cap{100, 90, 0}, Cap{100, 11, 0}, false, 0.9},
		{"no limit of accelerators", Cap{1000, 100, 0}, Cap{0, 0, 9}, Cap{1000, 100, 9}, true, 0},
		{"no limit at all", Cap{}, Cap{1 << 40, 1 << 40, 1 << 40}, Cap{1 << 40, 0, 0}, true, 0},
		{"more in use than the cap", Cap{1000, 0, 0}, Cap{1500, 0, 0}, Cap{0, 0, 0}, false, 1.5},
		{"nothing in use", Cap{1000, 0, 0}, Cap{}, Cap{1001, 0, 0}, false, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			assert.Equal(t, test.cap.Room(test.used).Holds(test.add), test.fits)
			assert.Equal(t, test.cap.DominantShare(test.used), test.share)
		})
	}
}
