package operator

import (
	"context"
	"encoding/json"
	"strconv"

	"github.com/valyala/fasthttp"

	"samphirekeel.example/keel/fault"
	"samphirekeel.example/keel/fleet"
	"samphirekeel.example/keel/pool"
	"samphirekeel.example/keel/settings"
)

const (
	defaultHistory = 20
	// maxHistory bounds the number of changes that one answer is drawn from.
	maxHistory = 2000
)

// Settings is the answer to a question for the settings of a node.
type Settings struct {
	Revision uint64        `json:"revision"`
	Path     settings.Path `json:"path"`
	// Node holds what the node sets itself; its revision is 0 if there is no such node.
	Node settings.Node `json:"node"`
	// Below lists the nodes below.
	Below []settings.Path `json:"below,omitempty"`
	// Values holds the values in force and where each comes from.
	Values []settings.EffectiveValue `json:"values"`
}

func (a *API) getSettings(callCtx context.Context, ctx *fasthttp.RequestCtx, who Operator) (any, error) {
	path, err := readablePath(ctx, who)
	if err != nil {
		return nil, err
	}
	state := a.Store.CachedState(callCtx)
	if ctx.QueryArgs().GetBool("fresh") {
		state, err = a.Store.Load(callCtx)
	}
	if err != nil {
		return nil, err
	}
	if state == nil {
		return nil, errNoSettings()
	}
	tree := state.Tree
	result := Settings{Path: path, Revision: tree.Revision(), Values: []settings.EffectiveValue{}}
	result.Node, _ = tree.Node(path)
	for _, below := range tree.Paths() {
		if path.Covers(below) && below != path {
			result.Below = append(result.Below, below)
		}
	}
	for _, definition := range settings.All() {
		if path.Level() <= definition.LowestLevel {
			result.Values = append(result.Values, tree.Effective(path, definition.Key))
		}
	}
	return result, nil
}

func errNoSettings() error {
	return fault.New(fault.NotReady, "this entry has no settings yet")
}

// readablePath returns the path that the call names and that the operator may read.
func readablePath(ctx *fasthttp.RequestCtx, who Operator) (settings.Path, error) {
	args := ctx.QueryArgs()
	if !args.Has("path") {
		return who.Subtree, nil
	}
	path, err := settings.ParsePath(string(args.Peek("path")))
	if err != nil {
		return "", err
	}
	if !who.Subtree.Covers(path) {
		return "", fault.New(fault.Forbidden, "%s may read %q only, not %q", who.Name, who.Subtree, path)
	}
	return path, nil
}

// Accepted is the answer to an accepted change of settings, or to a dry run.
type Accepted struct {
	// Revision is the revision that the change led to, 0 for a dry run.
	Revision uint64 `json:"revision"`
	// Differences lists what a dry run would alter.
	Differences []settings.Difference `json:"differences,omitempty"`
	// Warnings names settings that can't hold at once, and what happens until they do.
	Warnings []string `json:"warnings,omitempty"`
}

func (a *API) changeSettings(callCtx context.Context, ctx *fasthttp.RequestCtx, who Operator) (any, error) {
	change, err := readChange(ctx.Request.Body(), who)
	if err != nil {
		return nil, err
	}
	if ctx.QueryArgs().GetBool("dry_run") {
		return a.dryRun(callCtx, change)
	}
	revision, err := a.Store.Change(callCtx, change)
	if err != nil {
		return nil, err
	}
	a.Changed()
	return Accepted{Revision: revision, Warnings: a.warnings(callCtx, change)}, nil
}

// readChange decodes a change and holds it to the operator's subtree.
func readChange(body []byte, who Operator) (settings.Change, error) {
	var change settings.Change
	err := json.Unmarshal(body, &change)
	if err != nil {
		return change, fault.New(fault.BadRequest, "change: %v", err)
	}
	change.Author = who.Name
	for i, edit := range change.Edits {
		path, err := settings.ParsePath(string(edit.Path))
		if err != nil {
			return change, err
		}
		change.Edits[i].Path = path
		if !who.Subtree.Covers(path) {
			return change, fault.New(fault.Forbidden, "%s may edit %q only, not %q", who.Name, who.Subtree, path)
		}
	}
	return change, nil
}

func (a *API) dryRun(callCtx context.Context, change settings.Change) (any, error) {
	state, err := a.Store.Load(callCtx)
	if err != nil {
		return nil, err
	}
	differences, err := state.Tree.CompareChange(change)
	if err != nil {
		return nil, err
	}
	return Accepted{Differences: differences, Warnings: a.warnings(callCtx, change)}, nil
}

// warnings names the pools of which more instances are out of service than the changed budget allows.
func (a *API) warnings(callCtx context.Context, change settings.Change) []string {
	var warnings []string
	err := a.Read(callCtx, func(view *fleet.View) {
		next, err := view.Settings().Tree.Apply(change)
		if err != nil {
			next = view.Settings().Tree
		}
		for _, path := range next.Below("", settings.LevelPool) {
			budget := next.Int(path, settings.MaxUnavailable)
			down := len(pool.Find(view.Pools(), string(path)).Value.Permits)
			if touches(change, path) && down > budget {
				warnings = append(warnings, budgetWarning(path, budget, down))
			}
		}
	})
	if err != nil {
		return nil
	}
	return warnings
}

func budgetWarning(path settings.Path, budget, down int) string {
	return string(path) + ": " + string(settings.MaxUnavailable) + " is " + strconv.Itoa(budget) + ", but " +
		strconv.Itoa(down) + " instances are out of service now; those that leave but are not down yet are put back, and no further one is taken out before enough are back"
}

func touches(change settings.Change, path settings.Path) bool {
	for _, edit := range change.Edits {
		if edit.Path.Covers(path) {
			return true
		}
	}
	return false
}

// history answers with the newest accepted changes at or below a path, oldest first.
func (a *API) history(callCtx context.Context, ctx *fasthttp.RequestCtx, who Operator) (any, error) {
	path, err := readablePath(ctx, who)
	if err != nil {
		return nil, err
	}
	limit := ctx.QueryArgs().GetUintOrZero("limit")
	if limit == 0 {
		limit = defaultHistory
	}
	state, err := a.Store.Load(callCtx)
	if err != nil {
		return nil, err
	}
	last := state.Tree.Revision()
	entries, err := a.Store.History(callCtx, last-min(last, maxHistory)+1, last)
	if err != nil {
		return nil, err
	}
	within := entriesWithin(entries, path)
	return within[max(0, len(within)-limit):], nil
}

func entriesWithin(entries []settings.HistoryRecord, path settings.Path) []settings.HistoryRecord {
	within := []settings.HistoryRecord{}
	for _, entry := range entries {
		part, touched := entry.FilterBy(path)
		if touched {
			within = append(within, part)
		}
	}
	return within
}

// diff answers with the differences between two revisions at or below a path.
func (a *API) diff(callCtx context.Context, ctx *fasthttp.RequestCtx, who Operator) (any, error) {
	path, err := readablePath(ctx, who)
	if err != nil {
		return nil, err
	}
	from, fromErr := strconv.ParseUint(string(ctx.QueryArgs().Peek("from")), 10, 64)
	to, toErr := strconv.ParseUint(string(ctx.QueryArgs().Peek("to")), 10, 64)
	if fromErr != nil || toErr != nil || from > to || to-from > maxHistory {
		return nil, fault.New(fault.BadRequest, "from and to must be revisions in this order, at most %d apart", maxHistory)
	}
	entries, err := a.Store.History(callCtx, from+1, to)
	if err != nil {
		return nil, err
	}
	if uint64(len(entries)) != to-from {
		return nil, fault.New(fault.NotExist, "revision %d: %d of the %d changes are in the history", to, len(entries), to-from)
	}
	return settings.CompareHistory(entriesWithin(entries, path)), nil
}
