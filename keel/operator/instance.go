package operator

import (
	"context"

	"samphirekeel.example/keel/fleet"
	"samphirekeel.example/keel/repair"
	"samphirekeel.example/keel/settings"
)

// listDiscrepancies returns the discrepancies of the instances in the operator's subtree.
func (a *API) listDiscrepancies(callCtx context.Context, op Operator) (any, error) {
	report := []repair.Discrepancy{}
	err := a.ReadView(callCtx, func(view *fleet.View) {
		for _, discrepancy := range repair.Report(view) {
			if op.Subtree.Covers(settings.Path(discrepancy.Pool)) {
				report = append(report, discrepancy)
			}
		}
	})
	return report, err
}
