package entry

import (
	"bytes"
	"sync"
	"time"

	"github.com/sequoiapick/sequoiapick/internal/cluster/clusterpb"
	"github.com/sequoiapick/sequoiapick/internal/delta"
	"github.com/sequoiapick/sequoiapick/internal/event"
	"github.com/sequoiapick/sequoiapick/platform"
)

// configurationInUse is the row of the configuration that a daemon uses. Its version never falls,
// though the store may come back from a copy with an older configuration.
type configurationInUse struct {
	mu      sync.Mutex
	row     platform.Row
	era     int64
	version int64
	// listed is the version that the store lists.
	listed int64
}

// set replaces the row unless the version is older, or the same and not rewritten in a newer era. It
// reports whether it did.
func (c *configurationInUse) set(row platform.Row, version, era int64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	rewritten := version == c.version && era > c.era && !bytes.Equal(row.Value, c.row.Value)
	if version <= c.version && !rewritten {
		return false
	}
	c.row, c.version, c.era = row, version, era
	return true
}

func (c *configurationInUse) setListed(version int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.listed = version
}

// unlisted returns the row if the store lists an older one.
func (c *configurationInUse) unlisted() (platform.Row, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.row, c.listed < c.version
}

// applyConfiguration makes a configuration current unless a newer one is in use.
func (d *Daemon) applyConfiguration(c platform.Configuration, row platform.Row, source updateSource) {
	if !d.configuration.set(row, c.Table.Version, source.era) {
		return
	}
	d.routeTable.Store(c.Table)
	fields := []any{"Version", c.Table.Version, "Routes", len(c.Table.Routes), "Bytes", len(row.Value)}
	d.log.Emit(event.ConfigurationRaised, append(fields, source.logFields(d.Clock.Now())...)...)
}

// sendConfiguration sends the configuration to another daemon if the store lists an older one: a daemon
// that has started since would use that.
func (d *Daemon) sendConfiguration(host string) {
	row, unlisted := d.configuration.unlisted()
	if !unlisted {
		return
	}
	encoded, err := delta.Encode(row.Value, nil)
	if err != nil {
		d.log.Emit(event.LoopFailed, "Task", "send configuration", "Reason", err.Error())
		return
	}
	d.mesh.Send(host, &clusterpb.Envelope{Kind: &clusterpb.Envelope_Configuration{Configuration: &clusterpb.Configuration{
		Row: &clusterpb.Row{Key: row.Key, Delta: encoded},
	}}})
}

// receiveConfiguration applies the configuration of another daemon.
func (d *Daemon) receiveConfiguration(from string, sentAfter time.Time, encoded *clusterpb.Row) {
	value, err := delta.Decode(encoded.GetDelta(), nil)
	if err != nil {
		d.log.Emit(event.ConfigurationStale, "Member", from, "Reason", err.Error())
		return
	}
	row := platform.Row{Table: platform.TableOperator, Key: encoded.GetKey(), Value: value}
	decoded, err := platform.DecodeOperatorRow(row)
	if err != nil {
		d.log.Emit(event.ConfigurationStale, "Member", from, "Reason", err.Error())
		return
	}
	if c, ok := decoded.(platform.Configuration); ok {
		d.applyConfiguration(c, row, updateSource{sender: from, sentAfter: sentAfter})
	}
}
