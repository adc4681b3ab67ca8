package main

import (
	"context"
	"fmt"
	"os"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/sequoiapick/sequoiapick/internal/console"
	"github.com/sequoiapick/sequoiapick/internal/version"
	"github.com/sequoiapick/sequoiapick/pkg/operator"
)

func newDescribe() *ffcli.Command {
	return newCommand("describe", "", "prints the current configuration",
		func(ctx context.Context, client operator.OperatorClient, _ []string) error {
			reply, err := client.Describe(ctx, &operator.DescribeRequest{})
			if err != nil {
				return err
			}
			return console.Print(os.Stdout, reply)
		})
}

func newStatus() *ffcli.Command {
	return newCommand("status", "", "prints the state of every daemon",
		func(ctx context.Context, client operator.OperatorClient, _ []string) error {
			reply, err := client.Status(ctx, &operator.StatusRequest{})
			if err != nil {
				return err
			}
			return console.Print(os.Stdout, reply)
		})
}

func newVersion() *ffcli.Command {
	return &ffcli.Command{
		Name:       "version",
		ShortUsage: "sequoiactl version",
		ShortHelp:  "prints the version",
		Exec: func(context.Context, []string) error {
			fmt.Println("sequoiactl", version.String())
			return nil
		},
	}
}
