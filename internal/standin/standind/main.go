// Command standind runs a stand-in for the platform or for a target as a separate process until
// SIGTERM. The profile of a target is a Profile of package internal/standin/target in JSON.
//
// # Usage
//
//	standind platform 127.0.0.1:7000
//	standind target 127.0.0.1:9001 '{"Kind":"llm","Tokens":20,"TokenMillis":5}'
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/signal"
	"syscall"

	standinplatform "github.com/sequoiapick/sequoiapick/internal/standin/platform"
	standintarget "github.com/sequoiapick/sequoiapick/internal/standin/target"
)

const usage = "usage: standind platform ADDRESS | standind target ADDRESS PROFILE-JSON"

func main() {
	if err := run(os.Args[1:]); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run(args []string) error {
	if len(args) < 2 {
		return fmt.Errorf("%s", usage)
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	listener, err := net.Listen("tcp", args[1])
	if err != nil {
		return err
	}
	switch args[0] {
	case "platform":
		server := &standinplatform.Server{}
		return server.Serve(ctx, listener)
	case "target":
		server := &standintarget.Server{}
		if len(args) > 2 {
			if err := json.Unmarshal([]byte(args[2]), &server.Profile); err != nil {
				return err
			}
		}
		return server.Serve(ctx, listener)
	default:
		return fmt.Errorf("%s", usage)
	}
}
