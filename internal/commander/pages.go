package commander

import (
	"fmt"
	"strings"

	"github.com/urfave/cli/v3"

	"github.com/lagoonmill/lagoonmill/internal/configurer"
	"github.com/lagoonmill/lagoonmill/internal/logger"
)

// Pages returns the generated pages of docs/ by file name.
func Pages() map[string]string {
	return map[string]string{"settings.md": settingsPage(), "events.md": eventsPage(), "commands.md": commandsPage()}
}

func settingsPage() string {
	var b strings.Builder
	b.WriteString("# Settings of lagoonmilld\n\nGenerated from the code by `make docs`. Each setting is a flag or an environment variable; the flag takes precedence. If\na setting is invalid, the daemon reports its name and the accepted values and exits with code 2 before it starts anything.\n")
	for _, s := range configurer.Table() {
		roles := "every role"
		if len(s.RequiredBy) > 0 {
			var names []string
			for _, r := range s.RequiredBy {
				names = append(names, string(r))
			}
			roles = strings.Join(names, ", ")
		}
		value := "none; required"
		if s.Default != "" {
			value = "`" + s.Default + "`"
		}
		fmt.Fprintf(&b, "\n## --%s\n\n%s\n\n- environment: `%s`\n- accepts: %s\n- default: %s\n- needed by: %s\n", s.Name, s.Help, s.Env(), s.Accepts, value, roles)
	}
	b.WriteString("\n# Settings of lagoonmilld platform ROLE\n\nROLE is `entry`, `control` or `agent`. Its addresses and those of its peers are in the platform's settings file\n(OPERATIONS.md).\n")
	fmt.Fprintf(&b, "\n## --%s\n\n%s\n\n- environment: `%s`\n- accepts: a port from 1 to 65535\n- default: `%d`\n", metricsPortName, metricsPortHelp, metricsPortEnv, defaultMetricsPort)
	fmt.Fprintf(&b, "\n## --%s\n\n%s\n\n- environment: `%s`\n- accepts: IP:PORT\n- default: none\n", internalListenName, internalListenHelp, internalListenEnv)
	return b.String()
}

func eventsPage() string {
	var b strings.Builder
	b.WriteString("# Log events\n\nGenerated from the code by `make docs`. Every log line is a JSON object with `time`, `level`, `process`, `event` and\n`message`; the number of an event is never reused for another one.\n\n| event | level | message | meaning |\n|---|---|---|---|\n")
	for _, e := range logger.Catalogue() {
		fmt.Fprintf(&b, "| %d | %s | %s | %s |\n", e.Number, e.Severity, e.Text, e.Help)
	}
	return b.String()
}

func commandsPage() string {
	var b strings.Builder
	root := toolCommand()
	fmt.Fprintf(&b, "# Commands of lagoonmill\n\nGenerated from the code by `make docs`.\n\n%s\n\nFlags of every command:\n\n", root.Description)
	writeFlags(&b, root.Flags)
	for _, c := range root.Commands {
		writeCommand(&b, "lagoonmill", c)
	}
	return b.String()
}

func writeCommand(b *strings.Builder, prefix string, c *cli.Command) {
	name := prefix + " " + c.Name
	if len(c.Commands) == 0 {
		fmt.Fprintf(b, "\n## %s %s\n\n%s.\n\n%s\n\n", name, c.ArgsUsage, c.Usage, strings.Replace(c.Description, "Example:\n   ", "Example: `", 1)+"`")
		writeFlags(b, c.Flags)
	}
	for _, sub := range c.Commands {
		writeCommand(b, name, sub)
	}
}

func writeFlags(b *strings.Builder, flags []cli.Flag) {
	for _, f := range flags {
		usage := ""
		if d, ok := f.(cli.DocGenerationFlag); ok {
			usage = d.GetUsage()
		}
		fmt.Fprintf(b, "- `--%s` %s\n", f.Names()[0], usage)
	}
}
