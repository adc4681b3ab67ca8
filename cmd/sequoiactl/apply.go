package main

import (
	"context"
	"io"
	"os"

	"github.com/cockroachdb/errors"
	"github.com/peterbourgon/ff/v3/ffcli"
	"google.golang.org/protobuf/encoding/protojson"

	"github.com/sequoiapick/sequoiapick/internal/console"
	"github.com/sequoiapick/sequoiapick/pkg/operator"
)

func newApply() *ffcli.Command {
	return newCommand("apply", "FILE", "commits a change from a JSON file (- for standard input)",
		func(ctx context.Context, client operator.OperatorClient, args []string) error {
			name, err := singleArgument(args, "a JSON file")
			if err != nil {
				return err
			}
			request, err := readChange(name)
			if err != nil {
				return err
			}
			reply, err := client.Apply(ctx, request)
			if err != nil {
				return err
			}
			return console.Print(os.Stdout, reply)
		})
}

// readChange reads a change in JSON from a file, or from standard input if the name is "-".
func readChange(name string) (*operator.ApplyRequest, error) {
	file := os.Stdin
	if name != "-" {
		opened, err := os.Open(name)
		if err != nil {
			return nil, errors.Wrap(err, "open change")
		}
		defer opened.Close()
		file = opened
	}
	body, err := io.ReadAll(file)
	if err != nil {
		return nil, errors.Wrap(err, "read change")
	}
	request := &operator.ApplyRequest{}
	if err := protojson.Unmarshal(body, request); err != nil {
		return nil, errors.Wrap(err, "parse change")
	}
	return request, nil
}
