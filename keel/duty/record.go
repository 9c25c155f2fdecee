package duty

import (
	"encoding/json"

	"github.com/cespare/xxhash/v2"

	"samphirekeel.example/keel/platform"
)

// The key prefixes of member rows and duty rows.
const (
	Prefix       = "m/"
	memberPrefix = Prefix + "member/"
	dutyPrefix   = Prefix + "duty/"
)

// Member is the row of one incarnation of an entry.
type Member struct {
	// Incarnation identifies one start of the entry: the entry's name and a number that is never used again.
	Incarnation string `json:"incarnation"`
	// Name is the entry's name, which stays the same across restarts.
	Name       string `json:"name,omitempty"`
	DataCentre string `json:"data_centre"`
	// Peer is the address at which the entry serves requests of other entries.
	Peer string `json:"peer"`
	// RenewalCount increases with each renewal, so that the row changes.
	RenewalCount uint64 `json:"beat"`
	// Lapsed reports that another entry ended this session; its process may still run, partitioned from the platform.
	Lapsed bool `json:"lapsed,omitempty"`
}

// Record is the row of one duty.
type Record struct {
	Name   string `json:"name"`
	Holder string `json:"holder"`
	// HolderKey is the key of the holder's member row.
	HolderKey string `json:"holder_key"`
	// Epoch increases with each change of holder.
	Epoch uint64 `json:"epoch"`
}

// Key returns the key of a member's row.
func (m Member) Key() string { return memberPrefix + m.DataCentre + "/" + m.Incarnation }

// Key returns the key of the duty's row.
func (r Record) Key() string { return dutyPrefix + r.Name }

func encode(key string, value any) platform.Write {
	body, _ := json.Marshal(value)
	return platform.Write{Key: key, Value: body}
}

// Preferred returns the incarnation that should hold the duty by rendezvous hashing, or an empty string if there are
// none.
func Preferred(name string, incarnations []string) string {
	best := ""
	var bestScore uint64
	for _, incarnation := range incarnations {
		score := xxhash.Sum64String(incarnation + "|" + name)
		if best == "" || score > bestScore || score == bestScore && incarnation < best {
			best, bestScore = incarnation, score
		}
	}
	return best
}
