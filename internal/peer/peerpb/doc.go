// Package peerpb holds the messages between daemons, generated from api/peer.proto.
//
// # Usage
//
//	call := &peerpb.Call{Kind: &peerpb.Call_Probe{Probe: &peerpb.Probe{}}}
package peerpb
