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

// settingsInterval is the time between two looks at the settings file, which may change
// without a signal.
const settingsInterval = 2 * time.Second

// watchSettings reads the settings again when the file changes or SIGHUP arrives.
func (h *Daemon) watchSettings(ctx context.Context) error {
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	defer signal.Stop(hup)
	ticker := h.Clock.NewTicker(settingsInterval)
	defer ticker.Stop()
	last := modified(h.SettingsPath)
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-hup:
		case <-ticker.Chan():
			if now := modified(h.SettingsPath); now.Equal(last) {
				continue
			}
		}
		last = modified(h.SettingsPath)
		s, err := platform.ReadSettings(h.SettingsPath)
		if err != nil {
			h.log.Emit(event.SettingsRefused, "Reason", err.Error())
			continue
		}
		h.log.Emit(event.SettingsRead, "Seeds", s.Seeds)
	}
}

func modified(path string) time.Time {
	info, err := os.Stat(path)
	if err != nil {
		return time.Time{} // the next look shows it again
	}
	return info.ModTime()
}
