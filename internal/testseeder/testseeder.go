package testseeder

import (
	"flag"
	"strconv"
)

// SetDefaults sets the seed and the number of cases of rapid's property tests, unless the command line sets them, and
// turns off rapid's failure files. Call it from TestMain.
func SetDefaults(seed uint64, checks int) {
	flag.Parse()
	given := map[string]bool{}
	flag.Visit(func(f *flag.Flag) { given[f.Name] = true })
	for name, value := range map[string]string{
		"rapid.seed": strconv.FormatUint(seed, 10), "rapid.checks": strconv.Itoa(checks), "rapid.nofailfile": "true",
	} {
		if !given[name] {
			_ = flag.Set(name, value) // fails in a binary without rapid, which has no such flag
		}
	}
}
