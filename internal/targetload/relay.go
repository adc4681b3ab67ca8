package targetload

import (
	"cmp"
	"maps"
	"math/bits"
	"slices"
	"strings"
	"sync"
	"time"
)

const (
	// RelayInterval is the time between two calls of Relay.Due. Machines change their pace about every 600 ms.
	RelayInterval = 100 * time.Millisecond
	// relayMaxAge is the age from which a report isn't passed on: plain requests take some tens of milliseconds.
	relayMaxAge = 300 * time.Millisecond
	// interestFor is the time after its last report of a service for which a daemon gets the reports of others. A
	// daemon has about one plain request of a service per second.
	interestFor = 5 * time.Second
	// reportBytesPerSecond and relayBytesPerSecond bound what a daemon sends to the leader and gets from it. The sum
	// is the aim for a daemon, 2 KB/s, the headers of packets and their acknowledgements included.
	reportBytesPerSecond = 400
	relayBytesPerSecond  = 1600
	// burstSeconds is the size of a burst, in seconds of a bound.
	burstSeconds = 0.5
	// messageBytes is the size of a message without reports: 10 bytes of the envelope, 12 of the frame of the link,
	// 52 of the headers of TCP and IP, and 52 of the acknowledgement.
	messageBytes = 126
)

// Message holds reports for the daemon on a host.
type Message struct {
	Host    string
	Reports []Report
}

// Relay passes the reports of plain services on between daemons: each daemon sends those of its answers to the
// leader, and the leader passes the newest of each target on to the daemons that had answers of the service
// lately. Without a leader nothing is sent. The zero value is ready to use; it is safe for concurrent use.
type Relay struct {
	mu sync.Mutex
	// latest holds the newest report of each target.
	latest map[string]Report
	// daemons holds what is sent to each daemon: on the leader to those with interest, on others to the leader.
	daemons map[string]*receiver
}

// receiver is a daemon that gets reports.
type receiver struct {
	// interest holds the times of its last reports of services.
	interest map[string]time.Time
	// sent holds the time of observation of the last report that it has or was sent, by target.
	sent map[string]time.Time
	// budget is the number of bytes that may be sent to it, as of budgetAt.
	budget   float64
	budgetAt time.Time
}

// Add adds the report of an answer to this daemon. Reports without a pace aren't passed on.
func (r *Relay) Add(rep Report) {
	if rep.Load.Pace <= 0 {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.add(rep)
}

// Receive adds the reports that the daemon on a host has sent, which show its interest in their services.
func (r *Relay) Receive(now time.Time, from string, reports []Report) {
	r.mu.Lock()
	defer r.mu.Unlock()
	d := r.receiver(from)
	for _, rep := range reports {
		if rep.Load.Pace <= 0 {
			continue
		}
		d.interest[rep.Service] = now
		d.sent[rep.Target] = rep.ObservedAt
		r.add(rep)
	}
}

// add stores the report if it is the newest of its target. The caller holds mu.
func (r *Relay) add(rep Report) {
	if r.latest == nil {
		r.latest = map[string]Report{}
	}
	if old, ok := r.latest[rep.Target]; !ok || rep.ObservedAt.After(old.ObservedAt) {
		r.latest[rep.Target] = rep
	}
}

func (r *Relay) receiver(host string) *receiver {
	if r.daemons == nil {
		r.daemons = map[string]*receiver{}
	}
	d := r.daemons[host]
	if d == nil {
		d = &receiver{interest: map[string]time.Time{}, sent: map[string]time.Time{}}
		r.daemons[host] = d
	}
	return d
}

// Due returns the messages to send now. Self is the host of this daemon, leader that of the leader, empty if there
// is none.
func (r *Relay) Due(now time.Time, self, leader string) []Message {
	r.mu.Lock()
	defer r.mu.Unlock()
	maps.DeleteFunc(r.latest, func(_ string, rep Report) bool { return now.Sub(rep.ObservedAt) >= relayMaxAge })
	switch {
	case leader == "":
		return nil
	case leader != self:
		// Interest that was shown while this daemon led is void: another daemon leads now.
		maps.DeleteFunc(r.daemons, func(host string, _ *receiver) bool { return host != leader })
		if len(r.latest) == 0 {
			return nil
		}
		return r.messageTo(now, leader, reportBytesPerSecond, func(Report) bool { return true })
	}
	var messages []Message
	for _, host := range slices.Sorted(maps.Keys(r.daemons)) {
		d := r.daemons[host]
		maps.DeleteFunc(d.interest, func(_ string, at time.Time) bool { return now.Sub(at) >= interestFor })
		if len(d.interest) == 0 {
			delete(r.daemons, host)
			continue
		}
		messages = append(messages, r.messageTo(now, host, relayBytesPerSecond, func(rep Report) bool {
			_, ok := d.interest[rep.Service]
			return ok
		})...)
	}
	return messages
}

// messageTo returns the message with the reports that the daemon hasn't got yet, nil if there are none. Of more than
// the bound allows, those go first whose last one is oldest.
func (r *Relay) messageTo(now time.Time, host string, bytesPerSecond float64, wanted func(Report) bool) []Message {
	d := r.receiver(host)
	limit := bytesPerSecond * burstSeconds
	d.budget = min(limit, d.budget+bytesPerSecond*now.Sub(d.budgetAt).Seconds())
	d.budgetAt = now
	var reports []Report
	for _, rep := range r.latest {
		if wanted(rep) && rep.ObservedAt.After(d.sent[rep.Target]) {
			reports = append(reports, rep)
		}
	}
	slices.SortFunc(reports, func(a, b Report) int {
		return cmp.Or(d.sent[a.Target].Compare(d.sent[b.Target]), strings.Compare(a.Target, b.Target))
	})
	spent, count := float64(messageBytes), 0
	for _, rep := range reports {
		bytes := float64(reportBytes(rep))
		if spent+bytes > d.budget {
			break
		}
		spent += bytes
		count++
		d.sent[rep.Target] = rep.ObservedAt
	}
	maps.DeleteFunc(d.sent, func(_ string, at time.Time) bool { return now.Sub(at) >= interestFor })
	if count == 0 {
		return nil
	}
	d.budget -= spent
	return []Message{{Host: host, Reports: reports[:count]}}
}

// reportBytes returns the size of a report in a message, see TargetLoad in api/cluster.proto.
func reportBytes(r Report) int {
	size := 4 + len(r.Target)
	for _, n := range []int{int(r.Incarnation), r.Load.Running, r.Load.Waiting, r.Load.Slots, r.Load.PacePercent(), int(relayMaxAge.Milliseconds())} {
		if n != 0 {
			size += 1 + (bits.Len64(uint64(n))+6)/7
		}
	}
	return size
}
