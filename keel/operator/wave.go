package operator

import (
	"context"
	"encoding/json"
	"slices"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"samphirekeel.example/keel/event"
	"samphirekeel.example/keel/fault"
	"samphirekeel.example/keel/fleet"
	"samphirekeel.example/keel/platform"
	"samphirekeel.example/keel/settings"
	"samphirekeel.example/keel/wave"
)

// serveWaves serves GET /v1/waves for all waves or one by its ID, and POST /v1/waves.
func (a *API) serveWaves(callCtx context.Context, ctx *fasthttp.RequestCtx, op Operator) (any, error) {
	id := string(ctx.QueryArgs().Peek("id"))
	switch {
	case ctx.IsGet() && id == "":
		return a.listWaves(callCtx, op)
	case ctx.IsGet():
		return a.getWave(callCtx, op, id)
	default:
		return a.startWave(callCtx, ctx, op)
	}
}

func (a *API) listWaves(callCtx context.Context, op Operator) (any, error) {
	waves := []wave.Record{}
	err := a.ReadView(callCtx, func(view *fleet.View) {
		for found := range view.Waves().All {
			if authorizeMaintenance(op, found.Value.Pools) == nil {
				waves = append(waves, found.Value)
			}
		}
	})
	slices.SortFunc(waves, func(a, b wave.Record) int { return strings.Compare(a.ID, b.ID) })
	return waves, err
}

func findWave(view *fleet.View, id string) (wave.Versioned, error) {
	found, exists := view.Waves().Get(wave.Key(id))
	if !exists {
		return found, fault.New(fault.NotExist, "wave %q does not exist", id)
	}
	return found, nil
}

// getWave returns a wave's progress and the reasons why its instances wait.
func (a *API) getWave(callCtx context.Context, op Operator, id string) (any, error) {
	var progress wave.Progress
	var findErr error
	err := a.ReadView(callCtx, func(view *fleet.View) {
		found, err := findWave(view, id)
		if err == nil {
			err = authorizeMaintenance(op, found.Value.Pools)
		}
		if err != nil {
			findErr = err
			return
		}
		progress = wave.NewProgress(view, found)
		progress.Estimate(time.Now())
		progress.Explain(view, a.Usage)
	})
	if err == nil {
		err = findErr
	}
	return progress, err
}

// StartWave is the request to start a wave over pools.
type StartWave struct {
	ID    string   `json:"id"`
	Pools []string `json:"pools"`
}

func (a *API) startWave(callCtx context.Context, ctx *fasthttp.RequestCtx, op Operator) (any, error) {
	var request StartWave
	err := json.Unmarshal(ctx.Request.Body(), &request)
	if err != nil {
		return nil, fault.New(fault.BadRequest, "decode wave: %v", err)
	}
	err = authorizeMaintenance(op, request.Pools)
	if err != nil {
		return nil, err
	}
	var record wave.Record
	err = a.decideOnView(callCtx, func(view *fleet.View) error {
		err := wave.Check(request.ID, request.Pools, view.Settings().Tree, view.Waves())
		if err != nil {
			return err
		}
		record = wave.New(request.ID, op.Name, request.Pools, view, time.Now())
		if record.Instances == 0 {
			return fault.New(fault.NotExist, "pools %v have no instances", request.Pools)
		}
		return nil
	})
	if err != nil {
		return nil, err
	}
	_, err = a.Client.Commit(callCtx, wave.Create(record))
	if fault.IsKind(err, fault.Conflict) {
		return nil, fault.New(fault.Conflict, "wave %q already exists", request.ID)
	}
	if err == nil {
		a.Log.Write(event.WaveStarted, event.Fields{
			"wave": record.ID, "pools": strings.Join(record.Pools, ","), "instances": record.Instances,
		})
	}
	return record, err
}

// decideOnView runs decide on the control loop. The view lags behind the table, so after a rejection that newer rows may
// lift it reads them and runs decide once more.
func (a *API) decideOnView(callCtx context.Context, decide func(*fleet.View) error) error {
	err := a.runOnView(callCtx, decide)
	if !fault.IsKind(err, fault.NotExist) && !fault.IsKind(err, fault.Conflict) {
		return err
	}
	err = a.RefreshView(callCtx)
	if err != nil {
		return fault.As(err).WithOutcome(fault.NotRun)
	}
	return a.runOnView(callCtx, decide)
}

func (a *API) runOnView(callCtx context.Context, decide func(*fleet.View) error) error {
	var decideErr error
	err := a.ReadView(callCtx, func(view *fleet.View) { decideErr = decide(view) })
	if err != nil {
		return err
	}
	return decideErr
}

func authorizeMaintenance(op Operator, pools []string) error {
	for _, name := range pools {
		if !op.Subtree.Covers(settings.Path(name)) {
			return fault.New(fault.Forbidden, "%s may not maintain %q", op.Name, name)
		}
	}
	return nil
}

// ChangeWaveState is the request to pause, resume or abort a wave.
type ChangeWaveState struct {
	ID    string     `json:"id"`
	State wave.State `json:"state"`
}

func (a *API) setWaveState(callCtx context.Context, ctx *fasthttp.RequestCtx, op Operator) (any, error) {
	var request ChangeWaveState
	err := json.Unmarshal(ctx.Request.Body(), &request)
	if err != nil {
		return nil, fault.New(fault.BadRequest, "decode wave: %v", err)
	}
	if !slices.Contains([]wave.State{wave.Running, wave.Paused, wave.Aborted}, request.State) {
		return nil, fault.New(fault.BadRequest, "wave state must be running, paused or aborted, not %q", request.State)
	}
	var txn platform.Txn
	err = a.decideOnView(callCtx, func(view *fleet.View) error {
		found, err := findWave(view, request.ID)
		if err != nil {
			return err
		}
		err = authorizeMaintenance(op, found.Value.Pools)
		if err != nil {
			return err
		}
		txn, err = wave.SetState(found, request.State, op.Name, time.Now().UnixMilli())
		return err
	})
	if err != nil {
		return nil, err
	}
	_, err = a.Client.Commit(callCtx, txn)
	if err == nil {
		a.Log.Write(event.WaveChanged, event.Fields{"wave": request.ID, "state": request.State, "author": op.Name})
	}
	return request, err
}
