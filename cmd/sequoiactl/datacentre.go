package main

import (
	"context"
	"os"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/sequoiapick/sequoiapick/internal/console"
	"github.com/sequoiapick/sequoiapick/pkg/operator"
)

func newOut() *ffcli.Command {
	return newCommand("out", "DATA-CENTRE", "takes a data centre out of service: it gets no new work; works without the platform",
		func(ctx context.Context, client operator.OperatorClient, args []string) error {
			name, err := singleArgument(args, "a data centre")
			if err != nil {
				return err
			}
			reply, err := client.TakeOut(ctx, &operator.TakeOutRequest{DataCentre: name})
			if err != nil {
				return err
			}
			return console.Print(os.Stdout, reply)
		})
}

func newIn() *ffcli.Command {
	return newCommand("in", "DATA-CENTRE", "brings a data centre back into service; needs the platform",
		func(ctx context.Context, client operator.OperatorClient, args []string) error {
			name, err := singleArgument(args, "a data centre")
			if err != nil {
				return err
			}
			reply, err := client.BringIn(ctx, &operator.BringInRequest{DataCentre: name})
			if err != nil {
				return err
			}
			return console.Print(os.Stdout, reply)
		})
}
