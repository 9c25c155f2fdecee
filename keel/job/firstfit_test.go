package job

import "samphirekeel.example/keel/platform"

// firstFit is the baseline for Index: it places each job on the first worker, in order, that the size fits on.
type firstFit struct{ workers []*Candidate }

func (f *firstFit) place(size platform.Size) bool {
	for _, candidate := range f.workers {
		if size.Fits(candidate.Free) {
			candidate.Free = subtract(candidate.Free, size)
			return true
		}
	}
	return false
}
