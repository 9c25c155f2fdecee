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
	defaultHistoryLimit = 20
	// maxHistoryEntries is the maximum number of changes that are read for one response.
	maxHistoryEntries = 2000
)

// Settings is the response to a request for the settings of a node.
type Settings struct {
	Revision uint64        `json:"revision"`
	Path     settings.Path `json:"path"`
	// Node holds the values that the node itself sets; its revision is 0 if the node does not exist.
	Node settings.Node `json:"node"`
	// Descendants lists the paths of all nodes below the node.
	Descendants []settings.Path `json:"below,omitempty"`
	// Values holds the effective values and the node that each comes from.
	Values []settings.EffectiveValue `json:"values"`
}

func (a *API) getSettings(callCtx context.Context, ctx *fasthttp.RequestCtx, op Operator) (any, error) {
	path, err := readablePath(ctx, op)
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
	for _, descendant := range tree.Paths() {
		if path.Covers(descendant) && descendant != path {
			result.Descendants = append(result.Descendants, descendant)
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
	return fault.New(fault.NotReady, "this entry has not loaded its settings yet")
}

// readablePath returns the path of the request, or the operator's subtree if it has none; it fails if the operator may
// not read the path.
func readablePath(ctx *fasthttp.RequestCtx, op Operator) (settings.Path, error) {
	args := ctx.QueryArgs()
	if !args.Has("path") {
		return op.Subtree, nil
	}
	path, err := settings.ParsePath(string(args.Peek("path")))
	if err != nil {
		return "", err
	}
	if !op.Subtree.Covers(path) {
		return "", fault.New(fault.Forbidden, "%s may read %q only, not %q", op.Name, op.Subtree, path)
	}
	return path, nil
}

// ChangeResult is the response to an accepted change of settings, or to a dry run.
type ChangeResult struct {
	// Revision is the revision of the settings after the change, 0 for a dry run.
	Revision uint64 `json:"revision"`
	// Differences lists what the change of a dry run would alter.
	Differences []settings.Difference `json:"differences,omitempty"`
	// Warnings lists settings that can't take effect immediately, and what happens until they do.
	Warnings []string `json:"warnings,omitempty"`
}

func (a *API) changeSettings(callCtx context.Context, ctx *fasthttp.RequestCtx, op Operator) (any, error) {
	change, err := readChange(ctx.Request.Body(), op)
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
	a.OnSettingsChanged()
	return ChangeResult{Revision: revision, Warnings: a.warnings(callCtx, change)}, nil
}

// readChange decodes a change and checks that all its edits are in the operator's subtree.
func readChange(body []byte, op Operator) (settings.Change, error) {
	var change settings.Change
	err := json.Unmarshal(body, &change)
	if err != nil {
		return change, fault.New(fault.BadRequest, "decode change: %v", err)
	}
	change.Author = op.Name
	for i, edit := range change.Edits {
		path, err := settings.ParsePath(string(edit.Path))
		if err != nil {
			return change, err
		}
		change.Edits[i].Path = path
		if !op.Subtree.Covers(path) {
			return change, fault.New(fault.Forbidden, "%s may edit %q only, not %q", op.Name, op.Subtree, path)
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
	return ChangeResult{Differences: differences, Warnings: a.warnings(callCtx, change)}, nil
}

// warnings returns a warning for each pool that has more instances out of service than the changed budget allows.
func (a *API) warnings(callCtx context.Context, change settings.Change) []string {
	var warnings []string
	err := a.ReadView(callCtx, func(view *fleet.View) {
		next, err := view.Settings().Tree.Apply(change)
		if err != nil {
			next = view.Settings().Tree
		}
		for _, path := range next.Below("", settings.LevelPool) {
			budget := next.Int(path, settings.MaxUnavailable)
			unavailable := len(pool.Find(view.Pools(), string(path)).Value.Permits)
			if changesPath(change, path) && unavailable > budget {
				warnings = append(warnings, budgetWarning(path, budget, unavailable))
			}
		}
	})
	if err != nil {
		return nil
	}
	return warnings
}

func budgetWarning(path settings.Path, budget, unavailable int) string {
	return string(path) + ": " + string(settings.MaxUnavailable) + " is " + strconv.Itoa(budget) + ", but " +
		strconv.Itoa(unavailable) + " instances are out of service now; removals of instances that are not down yet are cancelled, and no further instance is removed until enough have returned"
}

func changesPath(change settings.Change, path settings.Path) bool {
	for _, edit := range change.Edits {
		if edit.Path.Covers(path) {
			return true
		}
	}
	return false
}

// history returns the newest accepted changes at or below a path, oldest first.
func (a *API) history(callCtx context.Context, ctx *fasthttp.RequestCtx, op Operator) (any, error) {
	path, err := readablePath(ctx, op)
	if err != nil {
		return nil, err
	}
	limit := ctx.QueryArgs().GetUintOrZero("limit")
	if limit == 0 {
		limit = defaultHistoryLimit
	}
	state, err := a.Store.Load(callCtx)
	if err != nil {
		return nil, err
	}
	last := state.Tree.Revision()
	entries, err := a.Store.History(callCtx, last-min(last, maxHistoryEntries)+1, last)
	if err != nil {
		return nil, err
	}
	filtered := filterEntries(entries, path)
	return filtered[max(0, len(filtered)-limit):], nil
}

func filterEntries(entries []settings.HistoryRecord, path settings.Path) []settings.HistoryRecord {
	filteredEntries := []settings.HistoryRecord{}
	for _, entry := range entries {
		filtered, ok := entry.FilterBy(path)
		if ok {
			filteredEntries = append(filteredEntries, filtered)
		}
	}
	return filteredEntries
}

// diff returns the differences between two revisions at or below a path.
func (a *API) diff(callCtx context.Context, ctx *fasthttp.RequestCtx, op Operator) (any, error) {
	path, err := readablePath(ctx, op)
	if err != nil {
		return nil, err
	}
	from, fromErr := strconv.ParseUint(string(ctx.QueryArgs().Peek("from")), 10, 64)
	to, toErr := strconv.ParseUint(string(ctx.QueryArgs().Peek("to")), 10, 64)
	if fromErr != nil || toErr != nil || from > to || to-from > maxHistoryEntries {
		return nil, fault.New(fault.BadRequest, "from and to must be revisions in this order, at most %d apart", maxHistoryEntries)
	}
	entries, err := a.Store.History(callCtx, from+1, to)
	if err != nil {
		return nil, err
	}
	if uint64(len(entries)) != to-from {
		return nil, fault.New(fault.NotExist, "revision %d: %d of the %d changes are in the history", to, len(entries), to-from)
	}
	return settings.CompareHistory(filterEntries(entries, path)), nil
}
