// Package holder decides whether an entry may work now: it holds the configuration lease, knows a confirmed state,
// is not between two presets and is not stopping.
package holder
