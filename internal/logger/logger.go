package logger

import (
	"io"

	"github.com/phuslu/log"
)

// Logger writes events as JSON lines. The zero value discards them. It is safe for concurrent use.
type Logger struct {
	out *log.Logger
}

// New returns a logger that writes to w, with the name of the process on every line.
func New(w io.Writer, process string) Logger {
	return Logger{&log.Logger{
		Level:      log.InfoLevel,
		TimeFormat: "2006-01-02T15:04:05.000Z07:00",
		Context:    log.NewContext(nil).Str("process", process).Value(),
		Writer:     log.IOWriter{Writer: w},
	}}
}

// Field is a named value of a log line.
type Field struct {
	name  string
	value any
}

// F returns a field. The name is in kebab case and carries no unit, since values such as durations print their own.
func F(name string, value any) Field { return Field{name, value} }

// Log writes one line for the event e.
func (l Logger) Log(e Event, fields ...Field) {
	if l.out == nil {
		return
	}
	entry := l.out.WithLevel(e.level())
	entry.Int("event", e.Number)
	for _, f := range fields {
		addField(entry, f)
	}
	entry.Msg(e.Text)
}

func addField(entry *log.Entry, f Field) {
	switch v := f.value.(type) {
	case error:
		entry.Str(f.name, v.Error())
	case string:
		entry.Str(f.name, v)
	case uint64:
		entry.Uint64(f.name, v)
	case int:
		entry.Int(f.name, v)
	default:
		entry.Any(f.name, v)
	}
}
