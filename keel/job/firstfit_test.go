package job

import "samphirekeel.example/keel/platform"

// firstFit is the baseline: it looks at the workers in order and takes the first that can hold the size.
type firstFit struct{ slots []*Candidate }

func (f *firstFit) place(size platform.Size) bool {
	for _, slot := range f.slots {
		if size.Fits(slot.Free) {
			slot.Free = subtract(slot.Free, size)
			return true
		}
	}
	return false
}
