// Package clusterpb holds the messages on the links between daemons, generated from
// api/cluster.proto.
//
// # Usage
//
//	e := &clusterpb.Envelope{Kind: &clusterpb.Envelope_Began{Began: &clusterpb.Began{ID: id}}}
package clusterpb
