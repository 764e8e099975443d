package launcher

import "context"

// Task is a role that runs one function until the process stops.
type Task struct {
	name  string
	run   func(context.Context) error
	group *Group
}

// NewTask returns a role that calls run in a goroutine of group. The context of run is cancelled when the role stops.
func NewTask(name string, run func(context.Context) error, group *Group) *Task {
	return &Task{name, run, group}
}

// Start starts the function.
func (t *Task) Start(context.Context) error {
	t.group.Run(t.name, t.run)
	return nil
}

// Stop cancels the context of the function and waits until it has returned.
func (t *Task) Stop(context.Context) error {
	t.group.Stop()
	return nil
}
