package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net/url"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/peterbourgon/ff/v3"
	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/valyala/fasthttp"

	"github.com/sequoiapick/sequoiapick/internal/console"
	"github.com/sequoiapick/sequoiapick/internal/entry"
	"github.com/sequoiapick/sequoiapick/pkg/operator"
)

// newExplain returns the command that explains a request: the decisions taken, from a daemon that runs
// pipelines, or with -route where it would go now, from the entry host that leads.
func newExplain() *ffcli.Command {
	var daemon console.Client
	fs := flag.NewFlagSet("sequoiactl explain", flag.ContinueOnError)
	daemon.RegisterFlags(fs)
	hosts := fs.String("hosts", "127.0.0.1:9464", "metrics addresses (IP:port) of entry hosts, separated by commas (with -route)")
	output := fs.String("o", "table", "output format: table or json (with -route)")
	limit := fs.Duration("limit", 2*time.Second, "time limit of each call (with -route)")
	query := map[string]*string{}
	for name, usage := range map[string]string{
		"route": "route of the request; prints where it would go now, without sending anything", "account": "account of the client", "model": "model of the engine", "prompt": "number of prompt tokens", "output": "number of output tokens",
		"pieces": "numbers of pieces of the route's stages, separated by commas", "parts": "parts of the prompt as ID:TOKENS, separated by commas",
	} {
		query[name] = fs.String(name, "", usage)
	}
	// The route selects the mode: SEQUOIACTL_HOSTS may be set for other commands.
	return &ffcli.Command{
		Name:       "explain",
		ShortUsage: "sequoiactl explain [flags] REQUEST | sequoiactl explain -route NAME [flags] [REQUEST]",
		ShortHelp:  "prints the decisions taken for one request, or with -route where a request would go now and why",
		FlagSet:    fs,
		Options:    []ff.Option{ff.WithEnvVarPrefix(envPrefix)},
		Exec: func(ctx context.Context, args []string) error {
			if *query["route"] != "" {
				v := url.Values{}
				for name, value := range query {
					v.Set(name, *value)
				}
				if len(args) > 0 {
					v.Set("id", args[0])
				}
				return explainNow(os.Stdout, strings.Split(*hosts, ","), v, *output, *limit)
			}
			id, err := singleArgument(args, "a request ID")
			if err != nil {
				return err
			}
			return daemon.Call(ctx, func(ctx context.Context, client operator.OperatorClient) error {
				reply, err := client.Explain(ctx, &operator.ExplainRequest{RequestID: id})
				if err != nil {
					return err
				}
				return console.Print(os.Stdout, reply)
			})
		},
	}
}

// explainNow prints the explanation of the first host that leads. If none of them does, it prints that of
// the last one that answers, which names the leader.
func explainNow(w io.Writer, hosts []string, query url.Values, output string, limit time.Duration) error {
	if output != "table" && output != "json" {
		return fmt.Errorf("no output format %q; formats: table, json", output)
	}
	var x *entry.Explanation
	var failure error
	for _, host := range hosts {
		answer, err := readExplanation(strings.TrimSpace(host), query, limit)
		if err != nil {
			failure = fmt.Errorf("%s: %w", host, err)
			continue
		}
		x = answer
		if x.Leader == x.Host {
			break
		}
	}
	if x == nil {
		return failure
	}
	if output == "json" {
		encoder := json.NewEncoder(w)
		encoder.SetIndent("", "  ")
		return encoder.Encode(x)
	}
	return printExplanation(w, x)
}

// readExplanation reads an explanation from the metrics address of an entry host.
func readExplanation(address string, query url.Values, limit time.Duration) (*entry.Explanation, error) {
	status, body, err := fasthttp.GetTimeout(nil, "http://"+address+entry.ExplainPath+"?"+query.Encode(), limit)
	if err != nil {
		return nil, err
	}
	if status != fasthttp.StatusOK {
		return nil, fmt.Errorf("status %d: %s", status, strings.TrimSpace(string(body)))
	}
	x := &entry.Explanation{}
	return x, json.Unmarshal(body, x)
}

// shownCandidates is the number of candidates for each stage and of engines in the table.
const shownCandidates = 5

// printExplanation prints an explanation as tables.
func printExplanation(out io.Writer, x *entry.Explanation) error {
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	s := x.Stages
	if x.Leader != x.Host {
		fmt.Fprintf(w, "%s doesn't lead; ask the leader %q\n", x.Host, x.Leader)
	}
	fmt.Fprintf(w, "VERDICT\tKNOWN\tSCARCE\tLIMIT\tVALUE\tCOST\tSCORE\tKIND FACTOR\tCONFIGURATION\tOLDEST TABLE\n")
	fmt.Fprintf(w, "%s\t%t\t%t\t%s\t%.2f\t%.3f s\t%.2f\t%.2f\t%d\t%s, %d ms\n", s.Verdict, s.Known, s.Scarce, s.Limit, s.Value, s.Cost, s.Score, s.KindFactor, x.Version, x.OldestTable, x.OldestMillis)
	fmt.Fprintf(w, "\nACCOUNT\tWORK\tFAIR LEVEL\tFACTOR\tACTIVE\n%s\t%.3f\t%.3f\t%.2f\t%t\n", s.Account.Account, s.Account.Work, s.Account.Level, s.Account.Factor, s.Account.Known)
	for _, st := range s.Stages {
		fmt.Fprintf(w, "\nSTAGE\tPIECES\tWORK\tLEFT\tPRESSURE\tPRICE\tUNKNOWN\n%s\t%d\t%d ms\t%d ms\t%.2f\t%.2f\t%t\n", st.Service, st.Pieces, st.WorkMillis, st.LeftMillis, st.Pressure, st.Price, st.Unknown)
		fmt.Fprintln(w, "TARGET\tDATA CENTRE\tFREE IN\tDONE IN\tSLOWNESS\tCLOSED")
		for _, c := range st.Candidates[:min(len(st.Candidates), shownCandidates)] {
			fmt.Fprintf(w, "%s\t%s\t%d ms\t%d ms\t%.2f\t%t\n", c.Target, c.DataCentre, c.FreeMillis, c.DoneMillis, c.Slowness, c.Closed)
		}
	}
	e := s.Engine
	fmt.Fprintf(w, "\nENGINES\tNUMBER\tWORK\tBACKLOG\tPRESSURE\tPRICE\n%s\t%d\t%d ms\t%d ms\t%.2f\t%.2f\n", e.Service, e.Engines, e.WorkMillis, e.BacklogMillis, e.Pressure, e.Price)
	fmt.Fprintln(w, "ENGINE\tDATA CENTRE\tCOST\tCACHED\tUNREAD\tREMOTE BYTES\tRUNNING\tCOLD\tSUSPECT\tACCEPTS")
	for _, c := range x.Engines[:min(len(x.Engines), shownCandidates)] {
		fmt.Fprintf(w, "%s\t%s\t%.1f ms\t%d\t%d\t%d\t%d\t%t\t%t\t%t\n", c.Engine, c.DataCentre, c.Cost, c.CachedTokens, c.UnreadTokens, c.RemoteBytes, c.Running, c.Cold, c.Suspect, c.Accepts)
	}
	return w.Flush()
}
