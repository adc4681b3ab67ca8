package entry

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/sequoiapick/sequoiapick/internal/event"
	"github.com/sequoiapick/sequoiapick/platform"
)

// settingsCheckInterval is the time between two checks of the settings file's modification
// time: the file may change without a SIGHUP.
const settingsCheckInterval = 2 * time.Second

// watchSettings reads the settings again when the file changes or SIGHUP arrives, and logs whether
// they are valid. They take effect only at the next start.
func (d *Daemon) watchSettings(ctx context.Context) error {
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	defer signal.Stop(hup)
	ticker := d.Clock.NewTicker(settingsCheckInterval)
	defer ticker.Stop()
	last := modificationTime(d.SettingsPath)
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-hup:
		case <-ticker.Chan():
			if now := modificationTime(d.SettingsPath); now.Equal(last) {
				continue
			}
		}
		last = modificationTime(d.SettingsPath)
		s, err := platform.ReadSettings(d.SettingsPath)
		if err != nil {
			d.log.Emit(event.SettingsRefused, "Reason", err.Error())
			continue
		}
		d.log.Emit(event.SettingsRead, "Seeds", s.Seeds)
	}
}

// modificationTime returns the modification time of the file, or the zero time if the file
// can't be examined.
func modificationTime(path string) time.Time {
	info, err := os.Stat(path)
	if err != nil {
		return time.Time{} // the next check tries again
	}
	return info.ModTime()
}
