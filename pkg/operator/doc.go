// Package operator holds the operators' RPC interface, generated from api/operator.proto.
//
// # Usage
//
//	client := operator.NewOperatorClient(conn)
//	reply, err := client.Status(ctx, &operator.StatusRequest{})
package operator
