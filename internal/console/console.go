// Package console connects the operators' command-line tool to a daemon.
//
// # Usage
//
//	var client console.Client
//	client.RegisterFlags(flagSet)
//	err := client.Call(ctx, func(ctx context.Context, client operator.OperatorClient) error { ... })
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

// Client calls one daemon.
type Client struct {
	// Address is the IP address and port of the daemon's interface for operators.
	Address string
	// Token is the operators' bearer token; empty sends none.
	Token string
	// Timeout limits the duration of one call.
	Timeout time.Duration
}

// RegisterFlags defines the flags that every command has, with their defaults.
func (c *Client) RegisterFlags(fs *flag.FlagSet) {
	fs.StringVar(&c.Address, "address", "127.0.0.1:8081", "IP:port of a daemon's operators' interface")
	fs.StringVar(&c.Token, "token", "", "bearer token of operators")
	fs.DurationVar(&c.Timeout, "timeout", 10*time.Second, "time limit of the call")
}

// Call connects to the daemon and runs call with the connected client.
func (c *Client) Call(ctx context.Context, call func(ctx context.Context, client operator.OperatorClient) error) error {
	conn, err := grpc.NewClient("passthrough:///"+c.Address, grpc.WithTransportCredentials(insecure.NewCredentials()))
	if err != nil {
		return errors.Wrap(err, "connect")
	}
	defer conn.Close()
	ctx, cancel := context.WithTimeout(ctx, c.Timeout)
	defer cancel()
	if c.Token != "" {
		ctx = metadata.AppendToOutgoingContext(ctx, "authorization", "Bearer "+c.Token)
	}
	return call(ctx, operator.NewOperatorClient(conn))
}

// Print writes a message as indented JSON, including fields with zero values.
func Print(w io.Writer, message proto.Message) error {
	body, err := protojson.MarshalOptions{Multiline: true, UseProtoNames: true, EmitUnpopulated: true}.Marshal(message)
	if err != nil {
		return errors.Wrap(err, "print reply")
	}
	_, err = fmt.Fprintln(w, string(body))
	return err
}
