package launcher

import "context"

// Task is a role that runs one function until the process stops.
type Task struct {
	name  string
	run   func(context.Context) error
	group *Group
}

// NewTask returns a role that runs a function; its context ends when the process stops.
func NewTask(name string, run func(context.Context) error, group *Group) *Task {
	return &Task{name, run, group}
}

// Start begins the function.
func (t *Task) Start(context.Context) error {
	t.group.Run(t.name, t.run)
	return nil
}

// Stop ends the function and waits for it.
func (t *Task) Stop(context.Context) error {
	t.group.Stop()
	return nil
}
