package operator

import (
	"context"
	"encoding/json"

	"github.com/valyala/fasthttp"

	"samphirekeel.example/keel/event"
	"samphirekeel.example/keel/fault"
	"samphirekeel.example/keel/fleet"
	"samphirekeel.example/keel/platform"
)

// ForgetEntry is the request to delete the row of an entry whose process has ended for good.
type ForgetEntry struct {
	Incarnation string `json:"incarnation"`
}

// forgetEntry deletes the row of a lapsed entry; until then maintenance of instances waits for the entry's heartbeat.
func (a *API) forgetEntry(callCtx context.Context, ctx *fasthttp.RequestCtx, op Operator) (any, error) {
	var request ForgetEntry
	err := json.Unmarshal(ctx.Request.Body(), &request)
	if err != nil {
		return nil, fault.New(fault.BadRequest, "decode entry: %v", err)
	}
	if op.Subtree != "" {
		return nil, fault.New(fault.Forbidden, "%s may act on %q only; forgetting an entry concerns every partner", op.Name, op.Subtree)
	}
	var txn platform.Txn
	var checkErr error
	err = a.ReadView(callCtx, func(*fleet.View) { txn, checkErr = a.ForgetEntryTxn(request.Incarnation) })
	if err == nil {
		err = checkErr
	}
	if err != nil {
		return nil, err
	}
	_, err = a.Client.Commit(callCtx, txn)
	if err != nil {
		return nil, err
	}
	a.Log.Write(event.MemberForgotten, event.Fields{"incarnation": request.Incarnation, "operator": op.Name})
	return request, nil
}
