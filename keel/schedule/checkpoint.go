package schedule

// latestCheckpoint returns the checkpoint from which the task resumes, empty for none. All members of a gang resume from the same one.
func (t *task) latestCheckpoint() string {
	if t.step.spec.Gang {
		return t.step.checkpoint
	}
	return t.checkpoint
}

// setCheckpoint records a checkpoint that a worker listed, which may be empty. That of any member of a gang holds for all of them.
func (t *task) setCheckpoint(checkpoint string) {
	switch {
	case checkpoint == "":
	case t.step.spec.Gang:
		t.step.checkpoint = checkpoint
	default:
		t.checkpoint = checkpoint
	}
}
