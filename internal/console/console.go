// Package console connects the operators' command line to a daemon.
//
// # Usage
//
//	var target console.Target
//	target.Register(flagSet)
//	err := target.Call(ctx, func(ctx context.Context, client operator.OperatorClient) error { ... })
package console

import (
	"context"
	"flag"
	"fmt"
	"io"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/metadata"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"github.com/sequoiapick/sequoiapick/pkg/operator"
)

// Client is the daemon that is called.
type Client struct {
	Address string
	Token   string
	Timeout time.Duration
}

// RegisterFlags defines the flags that every command has.
func (t *Client) RegisterFlags(fs *flag.FlagSet) {
	fs.StringVar(&t.Address, "address", "127.0.0.1:8081", "IP:port of a daemon's operators' interface")
	fs.StringVar(&t.Token, "token", "", "bearer token of operators")
	fs.DurationVar(&t.Timeout, "timeout", 10*time.Second, "time limit of the call")
}

// Call connects and calls the daemon.
func (t *Client) Call(ctx context.Context, call func(ctx context.Context, client operator.OperatorClient) error) error {
	conn, err := grpc.NewClient("passthrough:///"+t.Address, grpc.WithTransportCredentials(insecure.NewCredentials()))
	if err != nil {
		return errors.Wrap(err, "connect")
	}
	defer conn.Close()
	ctx, cancel := context.WithTimeout(ctx, t.Timeout)
	defer cancel()
	if t.Token != "" {
		ctx = metadata.AppendToOutgoingContext(ctx, "authorization", "Bearer "+t.Token)
	}
	return call(ctx, operator.NewOperatorClient(conn))
}

// Print writes a message as JSON.
func Print(w io.Writer, message proto.Message) error {
	body, err := protojson.MarshalOptions{Multiline: true, UseProtoNames: true, EmitUnpopulated: true}.Marshal(message)
	if err != nil {
		return errors.Wrap(err, "print reply")
	}
	_, err = fmt.Fprintln(w, string(body))
	return err
}
