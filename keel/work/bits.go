package work

import (
	"encoding/base64"
	"math/bits"

	"samphirekeel.example/keel/fault"
)

// BitSet is a small set of indexes.
type BitSet []byte

// Has reports whether the set holds the index.
func (b BitSet) Has(i int) bool { return i/8 < len(b) && b[i/8]&(1<<(i%8)) != 0 }

// With returns the set with the index added.
func (b BitSet) With(i int) BitSet {
	for i/8 >= len(b) {
		b = append(b, 0)
	}
	b[i/8] |= 1 << (i % 8)
	return b
}

// Union returns the set of the indexes that are in either set.
func (b BitSet) Union(o BitSet) BitSet {
	union := make(BitSet, max(len(b), len(o)))
	copy(union, b)
	for i, c := range o {
		union[i] |= c
	}
	return union
}

// Count returns the number of indexes in the set.
func (b BitSet) Count() int {
	n := 0
	for _, c := range b {
		n += bits.OnesCount8(c)
	}
	return n
}

// MarshalText writes the set in base 64.
func (b BitSet) MarshalText() ([]byte, error) {
	return []byte(base64.RawStdEncoding.EncodeToString(b)), nil
}

// UnmarshalText reads a set in base 64.
func (b *BitSet) UnmarshalText(text []byte) error {
	raw, err := base64.RawStdEncoding.DecodeString(string(text))
	if err != nil {
		return fault.Wrap(fault.Internal, err, "set of indexes")
	}
	*b = raw
	return nil
}
