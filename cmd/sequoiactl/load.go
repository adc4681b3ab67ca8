package main

import (
	"context"
	"flag"
	"fmt"
	"strings"

	"github.com/peterbourgon/ff/v3"
	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/sequoiapick/sequoiapick/internal/emulator"
)

func newLoad() *ffcli.Command {
	fs := flag.NewFlagSet("sequoiactl load", flag.ContinueOnError)
	site := fs.String("site", "", "name of the simulated site; empty simulates all")
	policy := fs.String("policy", "", "name of the dispatch policy; empty simulates all")
	seed := fs.Uint64("seed", 1, "seed of the random draws")
	return &ffcli.Command{
		Name:       "load",
		ShortUsage: "sequoiactl load [flags]",
		ShortHelp:  "simulates the dispatch of stages under load and prints the share of requests answered in time and of value earned",
		FlagSet:    fs,
		Options:    []ff.Option{ff.WithEnvVarPrefix(envPrefix)},
		Exec: func(context.Context, []string) error {
			return simulateLoad(*site, *policy, *seed)
		},
	}
}

// simulateLoad simulates each selected site under each selected policy and prints a report of each
// run. An empty site or policy selects all; unknown names cause an error.
func simulateLoad(site, policy string, seed uint64) error {
	var names []string
	runs := 0
	for _, s := range emulator.Sites() {
		names = append(names, s.Name)
		if site != "" && site != s.Name {
			continue
		}
		for _, p := range emulator.Policies() {
			if policy != "" && policy != string(p) {
				continue
			}
			fmt.Print(emulator.Run(s, p, seed).Table())
			runs++
		}
	}
	if runs == 0 {
		return fmt.Errorf("no site %q or no policy %q; sites: %s; policies: %v", site, policy, strings.Join(names, ", "), emulator.Policies())
	}
	return nil
}
