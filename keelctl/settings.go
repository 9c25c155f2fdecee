package main

import (
	"encoding/json"
	"net/url"
	"os"
	"strconv"
	"strings"
	"time"

	"samphirekeel.example/keel/fault"
	"samphirekeel.example/keel/operator"
	"samphirekeel.example/keel/platform"
	"samphirekeel.example/keel/settings"
)

type settingsCommands struct {
	Get     getCommand     `command:"get" description:"show what a node sets, or with --effective every value in force there and where it comes from"`
	Set     setCommand     `command:"set" description:"set values at a path, as key=value; key= takes a value away"`
	Apply   applyCommand   `command:"apply" description:"apply a change from a JSON file"`
	History historyCommand `command:"history" description:"show the accepted changes"`
	Diff    diffCommand    `command:"diff" description:"show what differs between two revisions"`
}

type getCommand struct {
	Effective bool `long:"effective" description:"show every value in force and the level that it comes from"`
	Args      struct {
		Path string `positional-arg-name:"path" description:"partner, partner/pool or partner/pool/service; / is the root"`
	} `positional-args:"yes"`
}

// Execute prints the node or the effective values.
func (c *getCommand) Execute([]string) error {
	var result operator.Settings
	err := cli.client().Get("/v1/settings"+pathQuery(c.Args.Path), &result)
	if err != nil {
		return err
	}
	if c.Effective {
		return show(result, effectiveTable)
	}
	return show(result, nodeTable)
}

func pathQuery(path string) string {
	if path == "" {
		return "?"
	}
	return "?path=" + url.QueryEscape(path)
}

// waitOption holds the option to wait, for commands that change settings.
type waitOption struct {
	Wait time.Duration `long:"wait" description:"wait until the change is in force on every entry, at most this long"`
}

// setCommand sends the node's revision, by default as read just before, so that it doesn't overwrite a concurrent edit.
type setCommand struct {
	waitOption
	Expect *uint64 `long:"expect" description:"revision of the node that you saw (default: its revision now)"`
	Note   string  `long:"note" description:"text for the history"`
	Args   struct {
		Path   string   `positional-arg-name:"path" required:"yes" description:"/ is the root"`
		Values []string `positional-arg-name:"key=value" description:"none creates the node"`
	} `positional-args:"yes"`
}

// Execute changes one node.
func (c *setCommand) Execute([]string) error {
	edit := settings.Edit{Path: settings.Path(c.Args.Path), Set: make(map[settings.Key]json.RawMessage), Expect: c.Expect}
	for _, pair := range c.Args.Values {
		key, value, ok := strings.Cut(pair, "=")
		switch {
		case !ok:
			return fault.New(fault.Usage, "%q is not key=value", pair)
		case value == "":
			edit.Unset = append(edit.Unset, settings.Key(key))
		default:
			edit.Set[settings.Key(key)] = jsonValue(value)
		}
	}
	if edit.Expect == nil {
		var current operator.Settings
		err := cli.client().Get("/v1/settings"+pathQuery(c.Args.Path)+"&fresh=true", &current)
		if err != nil {
			return err
		}
		edit.Expect = &current.Node.Revision
	}
	return change(settings.Change{Note: c.Note, Edits: []settings.Edit{edit}}, c.Wait)
}

// jsonValue returns the text itself if it is valid JSON, and as a JSON string otherwise.
func jsonValue(text string) json.RawMessage {
	if json.Valid([]byte(text)) {
		return json.RawMessage(text)
	}
	quoted, _ := json.Marshal(text)
	return quoted
}

type applyCommand struct {
	waitOption
	File   string `short:"f" long:"file" required:"true" description:"JSON file with the change"`
	DryRun bool   `long:"dry-run" description:"show what the change would alter, and change nothing"`
}

// Execute applies the file.
func (c *applyCommand) Execute([]string) error {
	data, err := os.ReadFile(c.File)
	if err != nil {
		return fault.Wrap(fault.Usage, err, "change file")
	}
	var edits settings.Change
	err = json.Unmarshal(data, &edits)
	if err != nil {
		return fault.Wrap(fault.Usage, err, "change file %s", c.File)
	}
	if !c.DryRun {
		return change(edits, c.Wait)
	}
	var result operator.ChangeResult
	err = cli.client().PostIdempotent("/v1/settings?dry_run=true", edits, &result)
	if err != nil {
		return err
	}
	warn(result.Warnings)
	return show(result, dryRunTable)
}

// change sends the change; its token makes it idempotent, so that it may be sent to another entry if no response comes.
func change(edits settings.Change, wait time.Duration) error {
	if edits.Token == "" {
		edits.Token = platform.NewToken()
	}
	var accepted operator.ChangeResult
	err := cli.client().PostIdempotent("/v1/settings", edits, &accepted)
	if err != nil {
		return err
	}
	warn(accepted.Warnings)
	if wait > 0 {
		err = waitApplied(accepted.Revision, wait)
	}
	if err != nil {
		return err
	}
	return show(accepted, acceptedTable)
}

type historyCommand struct {
	Limit int `long:"limit" default:"20" description:"number of changes, counted from the newest"`
	Args  struct {
		Path string `positional-arg-name:"path" description:"show only changes at or below the path"`
	} `positional-args:"yes"`
}

// Execute prints the newest changes, oldest first.
func (c *historyCommand) Execute([]string) error {
	var entries []settings.HistoryRecord
	query := pathQuery(c.Args.Path) + "&limit=" + strconv.Itoa(c.Limit)
	err := cli.client().Get("/v1/settings/history"+query, &entries)
	if err != nil {
		return err
	}
	return show(entries, historyTable)
}

type diffCommand struct {
	Args struct {
		From uint64 `positional-arg-name:"from" required:"yes" description:"earlier revision"`
		To   uint64 `positional-arg-name:"to" required:"yes" description:"later revision"`
		Path string `positional-arg-name:"path" description:"compare only at or below the path"`
	} `positional-args:"yes"`
}

// Execute prints the differences.
func (c *diffCommand) Execute([]string) error {
	var differences []settings.Difference
	query := pathQuery(c.Args.Path) + "&from=" + strconv.FormatUint(c.Args.From, 10) + "&to=" + strconv.FormatUint(c.Args.To, 10)
	err := cli.client().Get("/v1/settings/diff"+query, &differences)
	if err != nil {
		return err
	}
	return show(differences, differencesTable)
}
