package commander

import (
	"context"
	"net/http"
	"net/url"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/lagoonmill/lagoonmill/internal/operator"
	"github.com/lagoonmill/lagoonmill/internal/registrar"
	"github.com/lagoonmill/lagoonmill/internal/scheduler"
)

const inForcePollInterval = 100 * time.Millisecond

// changeHeader returns a header with the values of --command-id and --revision, where given.
func changeHeader(c *cli.Command) http.Header {
	header := http.Header{}
	if id := c.String("command-id"); id != "" {
		header.Set(operator.HeaderCommand, id)
	}
	if revision := c.String("revision"); revision != "" {
		header.Set(operator.HeaderRevision, revision)
	}
	return header
}

func workspacesCommand() *cli.Command {
	return &cli.Command{
		Name: "workspaces", Usage: "workspaces and their guarantees",
		Commands: []*cli.Command{
			{
				Name: "create", Usage: "create or update the workspaces in a document",
				Description: example("lagoonmill workspaces create --file deploy/taukvads/workspaces.yaml"),
				Flags:       []cli.Flag{fileFlag(), revisionFlag(), commandFlag()}, Action: withClient(createWorkspaces),
			},
			{
				Name: "list", Usage: "list workspaces with their guaranteed, used and reclaimable accelerators",
				Description: example("lagoonmill workspaces list --output json"), Action: withClient(listWorkspaces),
			},
			{
				Name: "show", Usage: "show one workspace", ArgsUsage: "NAME",
				Description: example("lagoonmill workspaces show planner"), Action: withClient(showWorkspace),
			},
			{
				Name: "remove", Usage: "remove a workspace that has no jobs", ArgsUsage: "NAME",
				Description: example("lagoonmill workspaces remove planner"), Flags: []cli.Flag{revisionFlag(), commandFlag()},
				Action: withClient(removeWorkspace),
			},
		},
	}
}

func createWorkspaces(ctx context.Context, c *cli.Command, api *apiClient) error {
	d, err := readDocument(c)
	if err != nil {
		return err
	}
	if len(d.Workspaces) > 1 && (c.String("revision") != "" || c.String("command-id") != "") {
		return usageError("--revision and --command-id: not allowed with a document of several workspaces")
	}
	t := &table{header: []string{"WORKSPACE", "REVISION"}}
	var responses []registrar.Answer
	for _, w := range d.Workspaces {
		var a registrar.Answer
		if err := api.mutate(ctx, http.MethodPut, "/v1/workspaces/"+url.PathEscape(w.Name), changeHeader(c), w, &a); err != nil {
			return err
		}
		responses = append(responses, a)
		t.add(w.Name, a.Revision)
	}
	return printResult(c, responses, t)
}

func shareTable(shares []scheduler.Share) *table {
	t := &table{header: []string{"WORKSPACE", "GUARANTEED", "IN-USE", "RECLAIMABLE", "SHORT", "BORROWED"}}
	for _, s := range shares {
		t.add(s.Workspace.Name, s.Guaranteed, s.InUse, s.Reclaimable, s.Missing, s.Borrowed)
	}
	return t
}

func listWorkspaces(ctx context.Context, c *cli.Command, api *apiClient) error {
	var shares []scheduler.Share
	if err := api.get(ctx, "/v1/workspaces", &shares); err != nil {
		return err
	}
	return printResult(c, shares, shareTable(shares))
}

func showWorkspace(ctx context.Context, c *cli.Command, api *apiClient) error {
	name, err := argument(c, "workspace's name")
	if err != nil {
		return err
	}
	var s scheduler.Share
	if err := api.get(ctx, "/v1/workspaces/"+url.PathEscape(name), &s); err != nil {
		return err
	}
	return printResult(c, s, shareTable([]scheduler.Share{s}))
}

func removeWorkspace(ctx context.Context, c *cli.Command, api *apiClient) error {
	name, err := argument(c, "workspace's name")
	if err != nil {
		return err
	}
	var a registrar.Answer
	if err := api.mutate(ctx, http.MethodDelete, "/v1/workspaces/"+url.PathEscape(name), changeHeader(c), nil, &a); err != nil {
		return err
	}
	t := &table{header: []string{"WORKSPACE", "REVISION"}}
	t.add(name, a.Revision)
	return printResult(c, a, t)
}

func presetsCommand() *cli.Command {
	return &cli.Command{
		Name: "presets", Usage: "policies for ordinary days, peaks and maintenance",
		Commands: []*cli.Command{
			{
				Name: "set", Usage: "create or update the presets in a document", Description: example("lagoonmill presets set --file deploy/taukvads/presets.yaml"),
				Flags: []cli.Flag{fileFlag()}, Action: withClient(setPresets),
			},
			{
				Name: "list", Usage: "list presets and show which one is in force", Description: example("lagoonmill presets list"),
				Action: withClient(listPresets),
			},
			{
				Name: "use", Usage: "switch to a preset and wait until it is in force everywhere", ArgsUsage: "NAME",
				Description: example("lagoonmill presets use peak"),
				Flags:       []cli.Flag{revisionFlag(), commandFlag(), &cli.BoolFlag{Name: "no-wait", Usage: "return as soon as the change is accepted"}},
				Action:      withClient(usePreset),
			},
			{
				Name: "history", Usage: "list configuration changes with their authors", Description: example("lagoonmill presets history"),
				Action: withClient(showHistory),
			},
		},
	}
}

func setPresets(ctx context.Context, c *cli.Command, api *apiClient) error {
	d, err := readDocument(c)
	if err != nil {
		return err
	}
	t := &table{header: []string{"PRESET", "REVISION"}}
	var responses []registrar.Answer
	for _, p := range d.Presets {
		var a registrar.Answer
		if err := api.mutate(ctx, http.MethodPut, "/v1/presets/"+url.PathEscape(p.Name), nil, registrar.Preset(p), &a); err != nil {
			return err
		}
		responses = append(responses, a)
		t.add(p.Name, a.Revision)
	}
	return printResult(c, responses, t)
}

func listPresets(ctx context.Context, c *cli.Command, api *apiClient) error {
	var presets []registrar.Preset
	if err := api.get(ctx, "/v1/presets", &presets); err != nil {
		return err
	}
	var r operator.Revisions
	if err := api.get(ctx, "/v1/revision", &r); err != nil {
		return err
	}
	t := &table{header: []string{"PRESET", "IN-FORCE", "ACCEPTED"}}
	for _, p := range presets {
		t.add(p.Name, p.Name == r.Current, p.Name == r.Accepted)
	}
	return printResult(c, presets, t)
}

func usePreset(ctx context.Context, c *cli.Command, api *apiClient) error {
	name, err := argument(c, "preset's name")
	if err != nil {
		return err
	}
	var a registrar.Answer
	if err := api.mutate(ctx, http.MethodPost, "/v1/presets/"+url.PathEscape(name)+"/use", changeHeader(c), nil, &a); err != nil {
		return err
	}
	var r operator.Revisions
	for {
		if err := api.get(ctx, "/v1/revision", &r); err != nil {
			return err
		}
		if r.InForce >= a.Revision || c.Bool("no-wait") {
			break
		}
		time.Sleep(inForcePollInterval)
	}
	t := &table{header: []string{"PRESET", "REVISION", "IN-FORCE"}}
	t.add(name, a.Revision, r.InForce >= a.Revision)
	return printResult(c, r, t)
}

func showHistory(ctx context.Context, c *cli.Command, api *apiClient) error {
	var entries []registrar.HistoryEntry
	if err := api.get(ctx, "/v1/history", &entries); err != nil {
		return err
	}
	t := &table{header: []string{"REVISION", "AT", "AUTHOR", "CHANGE"}}
	for _, e := range entries {
		t.add(e.Revision, time.UnixMilli(int64(e.At)).UTC().Format(time.RFC3339), e.Author, e.Description)
	}
	return printResult(c, entries, t)
}
