package sidecar

import (
	"bytes"
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/apex/log"

	"marjoramshore.example/platform"
)

// settingsEvery is how often the settings file is looked at; it may change
// without a signal.
const settingsEvery = time.Second

// watchSettings reads the settings file again after a signal or a change.
func (n *Node) watchSettings(ctx context.Context) {
	if n.cfg.Path == "" {
		return
	}
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)
	t := time.NewTicker(settingsEvery)
	defer t.Stop()
	last, err := os.ReadFile(n.cfg.Path)
	if err != nil {
		n.log.WithError(err).Warn("settings not read")
	}
	for {
		cause := "file changed"
		select {
		case <-ctx.Done():
			return
		case <-hangups:
			cause = "signal"
		case <-t.C:
		}
		data, err := os.ReadFile(n.cfg.Path)
		if err != nil {
			n.log.WithError(err).Warn("settings not read")
			continue
		}
		if bytes.Equal(data, last) && cause != "signal" {
			continue
		}
		last = data
		n.reload(data, cause)
	}
}

// reload takes over what may change while the node runs: the address of the
// store. Everything else takes effect with the next start and is logged.
func (n *Node) reload(data []byte, cause string) {
	s, err := platform.ParseSettings(data)
	if err != nil {
		n.log.WithError(err).WithField("cause", cause).Error("settings not usable, the former ones stay")
		return
	}
	old := n.cfg.Settings
	n.store.SetAddress(s.StoreAddress)
	s.StoreAddress = old.StoreAddress
	n.log.WithFields(log.Fields{"cause": cause, "needs_restart": s != old, "store": n.store.Address()}).Info("settings read again")
}
