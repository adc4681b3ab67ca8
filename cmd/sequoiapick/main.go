// Command sequoiapick is the daemon that runs on every entry host, the hosts that accept requests of
// clients. It has two forms. serve runs the pipelines that operators configure through sequoiactl,
// see package internal/daemon. entry serves the routes that the tables of the hosting platform
// configure, see package internal/entry.
//
// # Usage
//
//	sequoiapick serve -h
//	sequoiapick entry -h
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/peterbourgon/ff/v3/ffcli"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	root := &ffcli.Command{
		Name:        "sequoiapick",
		ShortUsage:  "sequoiapick <serve|entry|version> [flags]",
		ShortHelp:   "serves multi-stage model pipelines",
		Subcommands: []*ffcli.Command{newServe(), newEntry(), newVersion()},
		Exec:        func(context.Context, []string) error { return flag.ErrHelp },
	}
	err := root.ParseAndRun(ctx, os.Args[1:])
	if err == nil || errors.Is(err, flag.ErrHelp) {
		return
	}
	fmt.Fprintln(os.Stderr, "sequoiapick:", err)
	os.Exit(1)
}
