package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/peterbourgon/ff/v3"
	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/valyala/fasthttp"

	"github.com/sequoiapick/sequoiapick/internal/entry"
)

func newState() *ffcli.Command {
	fs := flag.NewFlagSet("sequoiactl state", flag.ContinueOnError)
	hosts := fs.String("hosts", "127.0.0.1:9464", "metrics addresses (IP:port) of entry hosts, separated by commas")
	timeout := fs.Duration("timeout", 2*time.Second, "time limit of each call")
	return &ffcli.Command{
		Name:       "state",
		ShortUsage: "sequoiactl state [flags]",
		ShortHelp:  "prints each entry host's view of the leader, the configuration, tables, members, services and targets",
		FlagSet:    fs,
		Options:    []ff.Option{ff.WithEnvVarPrefix(envPrefix)},
		Exec: func(context.Context, []string) error {
			return printStates(strings.Split(*hosts, ","), *timeout)
		},
	}
}

// printStates prints a line for each host, then the services as seen by the leader and the limits that targets name. hosts are metrics
// addresses. If the state of a host can't be read, its line shows the error.
func printStates(hosts []string, timeout time.Duration) error {
	var states []entry.State
	w := tabwriter.NewWriter(os.Stdout, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, "HOST\tDATA CENTRE\tREADY\tLEADER\tVERSION\tMEMBERS ALIVE\tTARGETS USABLE\tCONNECTIONS\tREQUESTS\tOLDEST TABLE")
	for _, host := range hosts {
		s, err := readState(strings.TrimSpace(host), timeout)
		if err != nil {
			fmt.Fprintf(w, "%s\t%v\n", host, err)
			continue
		}
		states = append(states, s)
		fmt.Fprintln(w, hostRow(s))
	}
	for _, s := range states {
		if s.Leader == s.Host {
			printServices(w, s)
		}
	}
	printLimits(w, states)
	return w.Flush()
}

// printLimits prints a table of the rate limits that targets name, with a line for each host that knows one.
func printLimits(w *tabwriter.Writer, states []entry.State) {
	header := false
	for _, s := range states {
		for _, t := range s.Targets {
			if t.Limit == nil {
				continue
			}
			if !header {
				fmt.Fprintln(w, "\nLIMITED TARGET\tSERVICE\tHOST\tPER SECOND\tSHARE PER SECOND\tSINCE\tNAMED\tFROM")
				header = true
			}
			fmt.Fprintf(w, "%s\t%s\t%s\t%g\t%.2f\t%d ms ago\t%d ms ago\t%s\n", t.ID, t.Service, s.Host,
				t.Limit.PerSecond, t.Limit.SharePerSecond, t.Limit.SinceMillis, t.Limit.NamedMillis, t.Limit.Source)
		}
	}
}

// readState reads the state from the metrics address of an entry host.
func readState(address string, timeout time.Duration) (entry.State, error) {
	var s entry.State
	status, body, err := fasthttp.GetTimeout(nil, "http://"+address+entry.StatePath, timeout)
	if err != nil {
		return s, err
	}
	if status != fasthttp.StatusOK {
		return s, fmt.Errorf("status %d", status)
	}
	return s, json.Unmarshal(body, &s)
}

// hostRow returns the tab-separated row of a host. A target counts as usable unless it is draining
// or its data centre is out of service or can't be reached.
func hostRow(s entry.State) string {
	alive, usable, oldest := 0, 0, int64(0)
	for _, m := range s.Members {
		if m.Alive {
			alive++
		}
	}
	for _, t := range s.Targets {
		if !t.Draining && !t.Out && !t.Cut {
			usable++
		}
	}
	for _, t := range s.Tables {
		oldest = max(oldest, t.AgeMillis)
	}
	return fmt.Sprintf("%s\t%s\t%v\t%s\t%d\t%d of %d\t%d of %d\t%d\t%d\t%d ms", s.Host, s.DataCentre, s.Ready, s.Leader, s.Version,
		alive, len(s.Members), usable, len(s.Targets), s.Connections, s.Requests, oldest)
}

// printServices prints a table of the services from the state of one host.
func printServices(w *tabwriter.Writer, s entry.State) {
	fmt.Fprintf(w, "\nSERVICE (at %s)\tWAITING\tRUNNING\tCALLS\tDEMAND\tTYPICAL WAIT\tROOM USED\n", s.Host)
	for _, st := range s.Services {
		fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%.2f\t%d ms\t%.0f%%\n", st.Service, st.Waiting, st.Running, st.Calls, st.Pressure, st.WaitMillis, 100*st.RoomUsed)
	}
}
