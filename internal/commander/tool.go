package commander

import (
	"context"
	"os"

	"github.com/urfave/cli/v3"

	"github.com/lagoonmill/lagoonmill/internal/parser"
)

// Tool runs lagoonmill and returns its exit code.
func Tool(args []string) int { return execute(toolCommand(), args) }

func toolCommand() *cli.Command {
	return &cli.Command{
		Name:  "lagoonmill",
		Usage: "the command-line tool for operators and callers",
		Description: "Exit codes: 0 success, 1 failure, 2 invalid flag or document, 3 refused or conflict, 4 not found,\n" +
			"5 no entry available, 6 ended without finishing, 7 outcome unknown.",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "server", Value: "127.0.0.1:7080", Sources: cli.EnvVars("LAGOONMILL_SERVER"), Usage: "HTTP addresses of entries, IP:PORT, several separated by commas"},
			&cli.StringFlag{Name: "token-file", Sources: cli.EnvVars("LAGOONMILL_TOKEN_FILE"), Usage: "a file with one bearer token"},
			&cli.StringFlag{Name: "output", Value: "table", Sources: cli.EnvVars("LAGOONMILL_OUTPUT"), Usage: "table or json"},
		},
		Commands: []*cli.Command{workspacesCommand(), presetsCommand(), jobsCommand(), requestsCommand(), clusterCommand(), systemCommand(), explainCommand(), traceCommand()},
	}
}

// action implements a command that calls the administration API.
type action func(ctx context.Context, c *cli.Command, api *apiClient) error

func withClient(do action) cli.ActionFunc {
	return func(ctx context.Context, c *cli.Command) error {
		api, err := newClient(c)
		if err != nil {
			return err
		}
		return do(ctx, c, api)
	}
}

func example(text string) string { return "Example:\n   " + text }

// argument returns the only argument of a command; name describes it in the error.
func argument(c *cli.Command, name string) (string, error) {
	if c.Args().Len() != 1 {
		return "", usageError("want one argument, the %s; got %d", name, c.Args().Len())
	}
	return c.Args().First(), nil
}

func fileFlag() cli.Flag {
	return &cli.StringFlag{Name: "file", Required: true, Usage: "a YAML document"}
}

func revisionFlag() cli.Flag {
	return &cli.StringFlag{Name: "revision", Usage: "the revision that the change is based on; by default the current one"}
}

func commandFlag() cli.Flag {
	return &cli.StringFlag{Name: "command-id", Usage: "an id for the change; sent again with the same id, it is applied only once"}
}

func readDocument(c *cli.Command) (parser.Document, error) {
	text, err := os.ReadFile(c.String("file"))
	if err != nil {
		return parser.Document{}, usageError("--file: %w", err)
	}
	d, err := parser.Parse(text)
	if err != nil {
		return d, usageError("--file %s: %w", c.String("file"), err)
	}
	return d, nil
}
