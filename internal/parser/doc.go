// Package parser parses the YAML documents of operators, which define workspaces, presets and jobs with kebab-case keys.
// Unknown keys are errors. Errors name the line or the field.
package parser
