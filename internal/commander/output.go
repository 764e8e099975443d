package commander

import (
	"encoding/json"
	"fmt"
	"os"
	"strings"
	"text/tabwriter"

	"github.com/urfave/cli/v3"
)

// table is the tabular output of a command.
type table struct {
	header []string
	rows   [][]string
}

func (t *table) add(cells ...any) {
	row := make([]string, len(cells))
	for i, c := range cells {
		row[i] = fmt.Sprint(c)
	}
	t.rows = append(t.rows, row)
}

// printResult writes value as JSON or t as a table to standard output, depending on --output.
func printResult(c *cli.Command, value any, t *table) error {
	switch c.String("output") {
	case "json":
		enc := json.NewEncoder(os.Stdout)
		enc.SetIndent("", "  ")
		if err := enc.Encode(value); err != nil {
			return fmt.Errorf("write output: %w", err)
		}
		return nil
	case "table":
		return t.print()
	}
	return usageError("--output: got %q, want table or json", c.String("output"))
}

func (t *table) print() error {
	const padding = 2
	w := tabwriter.NewWriter(os.Stdout, 0, 0, padding, ' ', 0)
	_, _ = fmt.Fprintln(w, strings.Join(t.header, "\t"))
	for _, row := range t.rows {
		_, _ = fmt.Fprintln(w, strings.Join(row, "\t"))
	}
	if err := w.Flush(); err != nil {
		return fmt.Errorf("write output: %w", err)
	}
	return nil
}
