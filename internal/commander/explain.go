package commander

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/urfave/cli/v3"
)

// logLine is one line of a process's log, with the fields that are not common to all.
type logLine struct {
	Time    time.Time      `json:"time"`
	Process string         `json:"process"`
	Event   int            `json:"event"`
	Message string         `json:"message"`
	Fields  map[string]any `json:"fields"`
}

// maxLogLine bounds a line of a log file, in bytes.
const maxLogLine = 1 << 20

func explainCommand() *cli.Command {
	return &cli.Command{
		Name: "explain", Usage: "tell what became of a job, from collected log files", ArgsUsage: "JOB",
		Description: example("lagoonmill explain 5c0e7a21d94b36f8 --log entry.log --log control.log"),
		Flags:       []cli.Flag{&cli.StringSliceFlag{Name: "log", Required: true, Usage: "a log file; may be given more than once"}},
		Action:      explain,
	}
}

func explain(_ context.Context, c *cli.Command) error {
	job, err := argument(c, "job")
	if err != nil {
		return err
	}
	var lines []logLine
	for _, path := range c.StringSlice("log") {
		more, err := readLog(path, job)
		if err != nil {
			return usageError("--log %s: %w", path, err)
		}
		lines = append(lines, more...)
	}
	if len(lines) == 0 {
		return &exitError{ExitNotFound, fmt.Errorf("no line names job %s", job)}
	}
	slices.SortStableFunc(lines, func(a, b logLine) int { return a.Time.Compare(b.Time) })
	t := &table{header: []string{"TIME", "PROCESS", "EVENT", "WHAT", "DETAIL"}}
	for _, l := range lines {
		t.add(l.Time.Format("15:04:05.000"), l.Process, l.Event, l.Message, l.detail())
	}
	return print(c, lines, t)
}

func readLog(path, job string) ([]logLine, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, fmt.Errorf("open: %w", err)
	}
	defer func() { _ = file.Close() }()
	return linesOf(file, job)
}

// linesOf returns the lines about a job. What stands before a line's JSON, as collectors add it, is left out, and so
// are lines that are none of ours.
func linesOf(r io.Reader, job string) ([]logLine, error) {
	var lines []logLine
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLogLine)
	for scanner.Scan() {
		text := scanner.Bytes()
		at := bytes.IndexByte(text, '{')
		if at < 0 || !bytes.Contains(text, []byte(job)) {
			continue
		}
		if l, err := parseLine(text[at:]); err == nil {
			lines = append(lines, l)
		}
	}
	if err := scanner.Err(); err != nil {
		return nil, fmt.Errorf("read: %w", err)
	}
	return lines, nil
}

func parseLine(text []byte) (logLine, error) {
	var l logLine
	if err := json.Unmarshal(text, &l); err != nil {
		return l, err
	}
	if l.Event == 0 {
		return l, errors.New("not a line of ours")
	}
	if err := json.Unmarshal(text, &l.Fields); err != nil {
		return l, err
	}
	for _, common := range []string{"time", "level", "process", "event", "message"} {
		delete(l.Fields, common)
	}
	return l, nil
}

// detail returns the fields by name.
func (l logLine) detail() string {
	var parts []string
	for name, value := range l.Fields {
		parts = append(parts, fmt.Sprintf("%s=%v", name, value))
	}
	slices.Sort(parts)
	return strings.Join(parts, " ")
}
