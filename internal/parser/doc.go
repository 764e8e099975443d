// Package parser reads operators' documents: workspaces, presets and jobs in YAML with kebab-case keys. Unknown keys
// are refused, and every error names the line.
package parser
