// Package platform is what the product needs of the platform that it runs on: a
// transactional table, an object store and the list of live and leaving hosts. The one
// implementation is in the platform folder at the root.
//
// A failed commit may have taken effect, unless it failed with kind Conflict.
//
// # Usage
//
//	row, found, err := table.Get(ctx, "config/head")
//	revision, err := table.Commit(ctx, platform.Transaction{...})
package platform

import "context"

// Row is one row of the table.
type Row struct {
	Key string
	// Revision rises with every write of the row; it is never 0.
	Revision uint64
	Value    []byte
}

// Condition holds if the row has the revision; revision 0 means that there is no row.
type Condition struct {
	Key      string
	Revision uint64
}

// Write sets or deletes one row.
type Write struct {
	Key    string
	Value  []byte
	Delete bool
}

// Transaction applies every write if every condition holds, and none otherwise.
type Transaction struct {
	Conditions []Condition
	Writes     []Write
}

// HostState is the state of a host in the platform's list.
type HostState string

// The states of a host.
const (
	Live    HostState = "Live"
	Leaving HostState = "Leaving"
)

// Host is one entry of the platform's host list, which lags behind reality.
type Host struct {
	Name       string
	DataCentre string
	State      HostState
}

// Table is the transactional table service.
type Table interface {
	// Commit returns the revision of the written rows; kind Conflict means that a condition didn't hold.
	Commit(ctx context.Context, tx Transaction) (uint64, error)
	// Get returns one row and whether it exists.
	Get(ctx context.Context, key string) (Row, bool, error)
	// Scan returns up to limit rows whose keys start with prefix and sort behind after.
	Scan(ctx context.Context, prefix, after string, limit int) ([]Row, error)
}

// Objects is the object store.
type Objects interface {
	PutObject(ctx context.Context, key string, value []byte) error
	// GetObject returns the value and whether it exists.
	GetObject(ctx context.Context, key string) ([]byte, bool, error)
}

// Hosts is the list of live and leaving hosts.
type Hosts interface {
	// ListHosts returns the hosts of one data centre.
	ListHosts(ctx context.Context, dataCentre string) ([]Host, error)
}
