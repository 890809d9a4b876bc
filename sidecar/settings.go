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

// settingsPollInterval is how often the settings file is read, since it may
// change without a signal.
const settingsPollInterval = time.Second

// watchSettings applies the settings file after a SIGHUP or a change of the file.
func (n *Node) watchSettings(ctx context.Context) {
	if n.cfg.Path == "" {
		return
	}
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)
	t := time.NewTicker(settingsPollInterval)
	defer t.Stop()
	last, err := os.ReadFile(n.cfg.Path)
	if err != nil {
		n.log.WithError(err).Warn("reading the settings file failed")
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
			n.log.WithError(err).Warn("reading the settings file failed")
			continue
		}
		if bytes.Equal(data, last) && cause != "signal" {
			continue
		}
		last = data
		n.applySettings(data, cause)
	}
}

// applySettings applies the setting that may change while the node runs, which is
// the address of the store. If any other setting has changed, it logs that the
// node needs a restart.
func (n *Node) applySettings(data []byte, cause string) {
	s, err := platform.ParseSettings(data)
	if err != nil {
		n.log.WithError(err).WithField("cause", cause).Error("settings file is invalid; the former settings stay in force")
		return
	}
	old := n.cfg.Settings
	n.store.SetAddress(s.StoreAddress)
	n.watchStore.SetAddress(s.StoreAddress)
	s.StoreAddress = old.StoreAddress
	n.log.WithFields(log.Fields{"cause": cause, "needs_restart": s != old, "store": n.store.Address()}).Info("settings file read again; only the store's address takes effect without a restart")
}
