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
	"samphirekeel.example/keel/settings"
	"samphirekeel.example/keel/wave"
)

// dispatchWave serves the calls about waves.
func (a *API) dispatchWave(callCtx context.Context, ctx *fasthttp.RequestCtx, who Operator) (any, error) {
	id := string(ctx.QueryArgs().Peek("id"))
	switch {
	case ctx.IsGet() && id == "":
		return a.waves(callCtx, who)
	case ctx.IsGet():
		return a.showWave(callCtx, who, id)
	default:
		return a.startWave(callCtx, ctx, who)
	}
}

func (a *API) waves(callCtx context.Context, who Operator) (any, error) {
	waves := []wave.Record{}
	err := a.Read(callCtx, func(view *fleet.View) {
		for found := range view.Waves().All {
			if mayMaintain(who, found.Value.Pools) == nil {
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
		return found, fault.New(fault.NotExist, "there is no wave %q", id)
	}
	return found, nil
}

// showWave tells how far a wave has come and why its instances wait.
func (a *API) showWave(callCtx context.Context, who Operator, id string) (any, error) {
	var progress wave.Progress
	var missing error
	err := a.Read(callCtx, func(view *fleet.View) {
		found, err := findWave(view, id)
		if err == nil {
			err = mayMaintain(who, found.Value.Pools)
		}
		if err != nil {
			missing = err
			return
		}
		progress = wave.NewProgress(view, found)
		progress.Estimate(time.Now())
		progress.Explain(view, a.Use)
	})
	if err == nil {
		err = missing
	}
	return progress, err
}

// StartWave asks for a wave over pools.
type StartWave struct {
	ID    string   `json:"id"`
	Pools []string `json:"pools"`
}

func (a *API) startWave(callCtx context.Context, ctx *fasthttp.RequestCtx, who Operator) (any, error) {
	var request StartWave
	err := json.Unmarshal(ctx.Request.Body(), &request)
	if err != nil {
		return nil, fault.New(fault.BadRequest, "wave: %v", err)
	}
	err = mayMaintain(who, request.Pools)
	if err != nil {
		return nil, err
	}
	var record wave.Record
	var refused error
	err = a.Read(callCtx, func(view *fleet.View) {
		refused = wave.Check(request.ID, request.Pools, view.Settings().Tree, view.Waves())
		record = wave.New(request.ID, who.Name, request.Pools, view, time.Now())
	})
	if err == nil {
		err = refused
	}
	if err != nil {
		return nil, err
	}
	if record.Instances == 0 {
		return nil, fault.New(fault.NotExist, "pools %v have no instances", request.Pools)
	}
	_, err = a.Client.Commit(callCtx, wave.Create(record))
	if fault.IsKind(err, fault.Conflict) {
		return nil, fault.New(fault.Conflict, "there is a wave %q already", request.ID)
	}
	if err == nil {
		a.Log.Write(event.WaveStarted, event.Fields{
			"wave": record.ID, "pools": strings.Join(record.Pools, ","), "instances": record.Instances,
		})
	}
	return record, err
}

func mayMaintain(who Operator, pools []string) error {
	for _, name := range pools {
		if !who.Subtree.Covers(settings.Path(name)) {
			return fault.New(fault.Forbidden, "%s may not maintain %q", who.Name, name)
		}
	}
	return nil
}

// TurnWave asks for a wave to be paused, resumed or aborted.
type TurnWave struct {
	ID    string     `json:"id"`
	State wave.State `json:"state"`
}

func (a *API) turnWave(callCtx context.Context, ctx *fasthttp.RequestCtx, who Operator) (any, error) {
	var request TurnWave
	err := json.Unmarshal(ctx.Request.Body(), &request)
	if err != nil {
		return nil, fault.New(fault.BadRequest, "wave: %v", err)
	}
	if !slices.Contains([]wave.State{wave.Running, wave.Paused, wave.Aborted}, request.State) {
		return nil, fault.New(fault.BadRequest, "wave: a wave is turned to running, paused or aborted, not %q", request.State)
	}
	var found wave.Versioned
	var missing error
	err = a.Read(callCtx, func(view *fleet.View) { found, missing = findWave(view, request.ID) })
	if err == nil {
		err = missing
	}
	if err == nil {
		err = mayMaintain(who, found.Value.Pools)
	}
	if err != nil {
		return nil, err
	}
	txn, err := wave.SetState(found, request.State, who.Name, time.Now().UnixMilli())
	if err != nil {
		return nil, err
	}
	_, err = a.Client.Commit(callCtx, txn)
	if err == nil {
		a.Log.Write(event.WaveChanged, event.Fields{"wave": request.ID, "state": request.State, "author": who.Name})
	}
	return request, err
}
