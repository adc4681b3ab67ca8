package main

import (
	"context"
	"fmt"
	"os"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/sequoiapick/sequoiapick/internal/console"
	"github.com/sequoiapick/sequoiapick/pkg/operator"
)

func newOrder() *ffcli.Command {
	return newCommand("order", "TARGET ACTION ARGUMENT", "orders a target to load a model, adapter or version or to change its role",
		func(ctx context.Context, client operator.OperatorClient, args []string) error {
			if len(args) != 3 {
				return fmt.Errorf("got %d arguments, expected three: target, action and argument", len(args))
			}
			reply, err := client.Order(ctx, &operator.OrderRequest{Target: args[0], Action: args[1], Argument: args[2]})
			if err != nil {
				return err
			}
			return console.Print(os.Stdout, reply)
		})
}
