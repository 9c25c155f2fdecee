package work

import (
	"encoding/base64"
	"math/bits"

	"samphirekeel.example/keel/fault"
)

// BitSet is a set of small non-negative integers, with one bit for each.
type BitSet []byte

// Has reports whether the set contains i.
func (b BitSet) Has(i int) bool { return i/8 < len(b) && b[i/8]&(1<<(i%8)) != 0 }

// With adds i and returns the set; it may reuse the memory of b, as append does.
func (b BitSet) With(i int) BitSet {
	for i/8 >= len(b) {
		b = append(b, 0)
	}
	b[i/8] |= 1 << (i % 8)
	return b
}

// Union returns a new set with the elements of both sets.
func (b BitSet) Union(o BitSet) BitSet {
	union := make(BitSet, max(len(b), len(o)))
	copy(union, b)
	for i, c := range o {
		union[i] |= c
	}
	return union
}

// Count returns the number of elements.
func (b BitSet) Count() int {
	n := 0
	for _, c := range b {
		n += bits.OnesCount8(c)
	}
	return n
}

// MarshalText encodes the set in unpadded base64.
func (b BitSet) MarshalText() ([]byte, error) {
	return []byte(base64.RawStdEncoding.EncodeToString(b)), nil
}

// UnmarshalText decodes a set from unpadded base64.
func (b *BitSet) UnmarshalText(text []byte) error {
	raw, err := base64.RawStdEncoding.DecodeString(string(text))
	if err != nil {
		return fault.Wrap(fault.Internal, err, "decode bit set")
	}
	*b = raw
	return nil
}
