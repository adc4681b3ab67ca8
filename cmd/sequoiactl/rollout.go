package main

import (
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/peterbourgon/ff/v3"
	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/sequoiapick/sequoiapick/internal/entry"
)

// hostRollouts are the rollouts as seen by one host.
type hostRollouts struct {
	Host     string
	Leader   string
	Rollouts []entry.RolloutState
	// Error tells why the state of the host can't be read, empty if it was.
	Error string `json:",omitempty"`
}

func newRollout() *ffcli.Command {
	fs := flag.NewFlagSet("sequoiactl rollout", flag.ContinueOnError)
	hosts := fs.String("hosts", "127.0.0.1:9464", "metrics addresses (IP:port) of entry hosts, separated by commas")
	timeout := fs.Duration("timeout", 2*time.Second, "time limit of each call")
	output := fs.String("o", "table", "output format: table or json")
	return &ffcli.Command{
		Name:       "rollout",
		ShortUsage: "sequoiactl rollout [flags]",
		ShortHelp:  "prints the rollouts of versions of services: phase, share, evidence by route and verdict",
		FlagSet:    fs,
		Options:    []ff.Option{ff.WithEnvVarPrefix(envPrefix)},
		Exec: func(context.Context, []string) error {
			if *output != "table" && *output != "json" {
				return fmt.Errorf("flag -o has the value %q, allowed are table and json", *output)
			}
			var list []hostRollouts
			for _, host := range strings.Split(*hosts, ",") {
				s, err := readState(strings.TrimSpace(host), *timeout)
				h := hostRollouts{Host: s.Host, Leader: s.Leader, Rollouts: s.Rollouts}
				if err != nil {
					h.Host, h.Error = strings.TrimSpace(host), err.Error()
				}
				list = append(list, h)
			}
			if *output == "json" {
				encoder := json.NewEncoder(os.Stdout)
				encoder.SetIndent("", "  ")
				return encoder.Encode(list)
			}
			return printRollouts(os.Stdout, list)
		},
	}
}

// printRollouts prints a line for each rollout and host, then the decisions of the leader.
func printRollouts(out io.Writer, list []hostRollouts) error {
	var text strings.Builder
	w := tabwriter.NewWriter(&text, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, "HOST\tSERVICE\tVERSION\tPHASE\tOLD TARGETS\tNEW TARGETS\tCANDIDATES\tOLD IN PROGRESS")
	for _, h := range list {
		if h.Error != "" {
			fmt.Fprintf(w, "%s\t%s\n", h.Host, h.Error)
		}
		for _, r := range h.Rollouts {
			fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%d\t%d\t%d\t%d\n", h.Host, r.Service, r.Version, r.Phase, r.OldTargets, r.NewTargets, r.Candidates, r.OldInProgress)
		}
	}
	for _, h := range list {
		for _, r := range h.Rollouts {
			if r.Decision != nil {
				printDecision(w, h.Host, r)
			}
		}
	}
	err := w.Flush()
	_, writeErr := io.WriteString(out, text.String())
	return errors.Join(err, writeErr)
}

// printDecision prints what the leader knows of a rollout.
func printDecision(w io.Writer, host string, r entry.RolloutState) {
	d := r.Decision
	fmt.Fprintf(w, "\n%s to %s (at %s): %s, verdict %s: %s\n", r.Service, r.Version, host, r.Phase, d.Verdict, d.Reason)
	fmt.Fprintf(w, "granted %d of %.0f allowed, %d requests reached the service, share %.3f, deadline %s\n",
		d.Granted, d.Allowed, d.Reached, d.Share, d.Deadline.Format(time.RFC3339))
	if r.ByStages {
		fmt.Fprintln(w, "the targets run stages: no evidence by route can be obtained")
	}
	if len(d.TooLittleTraffic) > 0 {
		fmt.Fprintf(w, "too little traffic for a verdict: %s\n", strings.Join(d.TooLittleTraffic, ", "))
	}
	fmt.Fprintln(w, "ROUTE\tVERDICT\tOLD ANSWERS\tOLD BAD\tOLD SLOW\tNEW ANSWERS\tNEW BAD\tNEW SLOW\tSLOW FROM\tEVIDENCE (FAILURES, SLOW, BAD FROM)")
	for _, route := range d.Routes {
		fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d ms\t%.1f, %.1f, %.1f\n", route.Route, route.Verdict, route.OldAnswers, route.OldBad, route.OldSlow,
			route.NewAnswers, route.NewBad, route.NewSlow, route.SlowFrom.Milliseconds(), route.FailureEvidence, route.SlowEvidence, route.BadFrom)
	}
}
