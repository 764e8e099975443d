// Package operator serves the administration API: workspaces, presets, jobs and the cluster, as JSON over HTTP.
package operator
