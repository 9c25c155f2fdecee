package operator

import (
	"context"

	"samphirekeel.example/keel/fleet"
	"samphirekeel.example/keel/repair"
	"samphirekeel.example/keel/settings"
)

// reportInstances lists what is odd about the instances of the operator's subtree.
func (a *API) reportInstances(callCtx context.Context, who Operator) (any, error) {
	report := []repair.Discrepancy{}
	err := a.Read(callCtx, func(view *fleet.View) {
		for _, oddity := range repair.Report(view) {
			if who.Subtree.Covers(settings.Path(oddity.Pool)) {
				report = append(report, oddity)
			}
		}
	})
	return report, err
}
