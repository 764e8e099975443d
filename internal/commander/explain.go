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

// logRecord is a line of a process's log. Fields holds the fields that are specific to its event.
type logRecord struct {
	Time    time.Time      `json:"time"`
	Process string         `json:"process"`
	Event   int            `json:"event"`
	Message string         `json:"message"`
	Fields  map[string]any `json:"fields"`
}

// maxLogLine is the maximum length of a line of a log file, in bytes.
const maxLogLine = 1 << 20

func explainCommand() *cli.Command {
	return &cli.Command{
		Name: "explain", Usage: "show the history of a job from collected log files", ArgsUsage: "JOB",
		Description: example("lagoonmill explain 5c0e7a21d94b36f8 --log entry.log --log control.log"),
		Flags:       []cli.Flag{&cli.StringSliceFlag{Name: "log", Required: true, Usage: "a log file; may be repeated"}},
		Action:      explain,
	}
}

func explain(_ context.Context, c *cli.Command) error {
	job, err := argument(c, "job")
	if err != nil {
		return err
	}
	var records []logRecord
	for _, path := range c.StringSlice("log") {
		found, err := readLogFile(path, job)
		if err != nil {
			return usageError("--log %s: %w", path, err)
		}
		records = append(records, found...)
	}
	if len(records) == 0 {
		return &exitError{ExitNotFound, fmt.Errorf("no log line mentions job %s", job)}
	}
	slices.SortStableFunc(records, func(a, b logRecord) int { return a.Time.Compare(b.Time) })
	t := &table{header: []string{"TIME", "PROCESS", "EVENT", "WHAT", "DETAIL"}}
	for _, r := range records {
		t.add(r.Time.Format("15:04:05.000"), r.Process, r.Event, r.Message, r.formatFields())
	}
	return printResult(c, records, t)
}

func readLogFile(path, job string) ([]logRecord, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, fmt.Errorf("open: %w", err)
	}
	defer func() { _ = file.Close() }()
	return filterRecords(file, job)
}

// filterRecords returns the records that mention a job. It strips any prefix that a log collector put before the JSON and
// skips lines that are not log records of lagoonmill.
func filterRecords(r io.Reader, job string) ([]logRecord, error) {
	var records []logRecord
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLogLine)
	for scanner.Scan() {
		text := scanner.Bytes()
		start := bytes.IndexByte(text, '{')
		if start < 0 || !bytes.Contains(text, []byte(job)) {
			continue
		}
		if record, err := parseRecord(text[start:]); err == nil {
			records = append(records, record)
		}
	}
	if err := scanner.Err(); err != nil {
		return nil, fmt.Errorf("read: %w", err)
	}
	return records, nil
}

func parseRecord(text []byte) (logRecord, error) {
	var r logRecord
	if err := json.Unmarshal(text, &r); err != nil {
		return r, err
	}
	if r.Event == 0 {
		return r, errors.New("not a log record of lagoonmill")
	}
	if err := json.Unmarshal(text, &r.Fields); err != nil {
		return r, err
	}
	for _, common := range []string{"time", "level", "process", "event", "message"} {
		delete(r.Fields, common)
	}
	return r, nil
}

// formatFields returns the fields as name=value, sorted by name.
func (r logRecord) formatFields() string {
	var parts []string
	for name, value := range r.Fields {
		parts = append(parts, fmt.Sprintf("%s=%v", name, value))
	}
	slices.Sort(parts)
	return strings.Join(parts, " ")
}
