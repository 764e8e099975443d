package logger

import (
	"io"

	"github.com/phuslu/log"
)

// Logger writes events as JSON lines; its zero value writes nothing. It is safe for concurrent use.
type Logger struct {
	out *log.Logger
}

// New returns a logger that writes to w with the process's name on every line.
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

// F returns a field; its name is in kebab case and carries no unit, since the value's type prints one.
func F(name string, value any) Field { return Field{name, value} }

// Log writes one event with its fields.
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
