package commander

import (
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// recorded is an excerpt of a collected log with a collector's prefix, a line of another job and a truncated line.
const recorded = `   2.1 entry-1 {"time":"2026-05-17T18:44:02.101Z","level":"info","process":"entry-1/entry","event":3011,"method":"POST","path":"/q/64add85002736f0f","status":200,"took":"41ms","message":"call answered"}
{"time":"2026-05-17T18:44:02.090Z","level":"info","process":"control-1/control","event":2016,"job":"64add85002736f0f","queue":"r-zz","message":"job accepted"}
{"time":"2026-05-17T18:44:02.095Z","level":"info","process":"control-1/control","event":2016,"job":"ffffffffffffffff","message":"job accepted"}
{"time":"2026-05-17T18:44:02.110Z","level":"warn","process":"control-1/control","event":2029,"job":"64add85002736f0f","cause":"room-reserved","waited":"2004ms","holder":"ffffffffffffffff","message":"job waits beside free room"}
{"time":"2026-05-17T18:44:02.120Z","level":"info","process":"control-1/control","event":2019,"job":"64add85002736f0f","run":"64add85002736f0f.0.0#1","worker":"side-1","message":"run assigned"}
{"time":"2026-05-17T18:44:02.130Z","level":"info","process":"control-1/control","event":2019,"job":"64add85002736f0f","ru
`

// TestFilterRecordsSelectsOneJob checks that the records of one job are extracted from a log of several jobs.
func TestFilterRecordsSelectsOneJob(t *testing.T) {
	records, err := filterRecords(strings.NewReader(recorded), "64add85002736f0f")
	if err != nil {
		t.Fatal(err)
	}
	var got []string
	for _, r := range records {
		got = append(got, r.Process+": "+r.Message+" "+r.formatFields())
	}
	want := []string{
		"entry-1/entry: call answered method=POST path=/q/64add85002736f0f status=200 took=41ms",
		"control-1/control: job accepted job=64add85002736f0f queue=r-zz",
		"control-1/control: job waits beside free room cause=room-reserved holder=ffffffffffffffff job=64add85002736f0f waited=2004ms",
		"control-1/control: run assigned job=64add85002736f0f run=64add85002736f0f.0.0#1 worker=side-1",
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("records (-want +got):\n%s", diff)
	}
}
