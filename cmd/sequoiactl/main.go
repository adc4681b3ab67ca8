// Command sequoiactl is the operators' command-line client. It changes and prints the configuration,
// takes data centres out of service, sends orders to targets, prints the state of daemons and the
// decisions for single requests, and simulates the dispatch of stages under load.
//
// # Usage
//
//	sequoiactl apply change.json
//	sequoiactl status
//	sequoiactl -h
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/peterbourgon/ff/v3"
	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/sequoiapick/sequoiapick/internal/console"
	"github.com/sequoiapick/sequoiapick/internal/version"
	"github.com/sequoiapick/sequoiapick/pkg/operator"
)

// envPrefix is the prefix of the environment variables that set flags.
const envPrefix = "SEQUOIACTL"

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	root := &ffcli.Command{
		Name:       "sequoiactl",
		ShortUsage: "sequoiactl <command> [flags]",
		ShortHelp:  "configures and inspects sequoiapick (" + version.String() + ")",
		Subcommands: []*ffcli.Command{
			newApply(), newDescribe(), newStatus(), newOut(), newIn(), newExplain(), newOrder(), newState(), newRollout(), newTrace(), newLoad(), newVersion(),
		},
		Exec: func(context.Context, []string) error { return flag.ErrHelp },
	}
	err := root.ParseAndRun(ctx, os.Args[1:])
	if err == nil || errors.Is(err, flag.ErrHelp) {
		return
	}
	fmt.Fprintln(os.Stderr, "sequoiactl:", err)
	os.Exit(1)
}

// newCommand returns a command that connects to a daemon and runs call with the client and the
// command's arguments. usage describes these arguments.
func newCommand(name, usage, help string, call func(ctx context.Context, client operator.OperatorClient, args []string) error) *ffcli.Command {
	var daemon console.Client
	fs := flag.NewFlagSet("sequoiactl "+name, flag.ContinueOnError)
	daemon.RegisterFlags(fs)
	return &ffcli.Command{
		Name:       name,
		ShortUsage: "sequoiactl " + name + " [flags] " + usage,
		ShortHelp:  help,
		FlagSet:    fs,
		Options:    []ff.Option{ff.WithEnvVarPrefix(envPrefix)},
		Exec: func(ctx context.Context, args []string) error {
			return daemon.Call(ctx, func(ctx context.Context, client operator.OperatorClient) error {
				return call(ctx, client, args)
			})
		},
	}
}

// singleArgument returns the only argument. The error for any other number of them names the
// expected argument by its description.
func singleArgument(args []string, description string) (string, error) {
	if len(args) != 1 {
		return "", fmt.Errorf("got %d arguments, expected one: %s", len(args), description)
	}
	return args[0], nil
}
