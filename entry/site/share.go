package site

import "samphirekeel.example/keel/work"

// checkCap fails with kind JobNeverFits if the job can never run under its tenant's cap. Only a configuration that is known to be in
// force shows that.
func (c checkedConfig) checkCap(job *work.Job) error {
	if !c.current {
		return nil
	}
	return job.CheckCap(c.Tenants.ByName(job.Tenant))
}
