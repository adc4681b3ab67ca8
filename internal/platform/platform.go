// Package platform defines the services that the daemon uses of the platform on which it runs:
// a transactional table, an object store and the list of live and leaving hosts. The
// implementation is in the folder platform at the root of the module.
//
// A commit that returned an error may have taken effect, unless the error is of kind Conflict.
//
// The platform may restore the table from an older copy, which begins a new era. What was committed
// since the copy was made is gone. Revisions of a later era are higher than those before, and a condition
// on a revision of an earlier era doesn't hold.
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
	// Revision increases with every write of the row and is never 0.
	Revision uint64
	Value    []byte
	// Era counts how often the table was restored, at the time of the read.
	Era uint64
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
	// Live means that the host is in service.
	Live HostState = "Live"
	// Leaving means that the platform is about to take the host out of service.
	Leaving HostState = "Leaving"
)

// Host is one entry of the platform's host list, which may be out of date.
type Host struct {
	Name       string
	DataCentre string
	State      HostState
}

// Table is the transactional table service.
type Table interface {
	// Commit applies the transaction and returns the revision of the written rows. Kind
	// Conflict means that a condition didn't hold and nothing was written.
	Commit(ctx context.Context, tx Transaction) (uint64, error)
	// Get returns one row and whether it exists; if it doesn't, the row has the Era only.
	Get(ctx context.Context, key string) (Row, bool, error)
	// Scan returns up to limit rows, ordered by key, whose keys start with prefix and sort
	// after the key in after; an empty after excludes none.
	Scan(ctx context.Context, prefix, after string, limit int) ([]Row, error)
	// Era returns the highest era of an answer so far, and false if there was no answer.
	Era() (era uint64, known bool)
}

// Objects is the object store.
type Objects interface {
	// PutObject stores the value under the key, or replaces it.
	PutObject(ctx context.Context, key string, value []byte) error
	// GetObject returns the value and whether it exists.
	GetObject(ctx context.Context, key string) ([]byte, bool, error)
}

// Hosts is the list of live and leaving hosts.
type Hosts interface {
	// ListHosts returns the hosts of one data centre.
	ListHosts(ctx context.Context, dataCentre string) ([]Host, error)
}
