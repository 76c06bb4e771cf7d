package app

import (
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alecthomas/kong"
	"github.com/hashicorp/go-hclog"

	"github.com/tamarackpitch/tamarackpitch/internal/common"
	"github.com/tamarackpitch/tamarackpitch/internal/settings"
)

// settingsCheck is how often the settings file is looked at for changes that no signal tells of.
const settingsCheck = 2 * time.Second

// reloader takes over changed settings: the log level at once, the rest at the next start.
type reloader struct {
	common  *common.Common
	path    string
	changed time.Time
	signals chan os.Signal
	stop    chan struct{}
	done    chan struct{}
}

func newReloader(c *common.Common, path string) *reloader {
	r := &reloader{common: c, path: path, signals: make(chan os.Signal, 1), stop: make(chan struct{}), done: make(chan struct{})}
	r.changed = r.modified()
	signal.Notify(r.signals, syscall.SIGHUP)
	go r.run()
	return r
}

func (r *reloader) close() {
	close(r.stop)
	<-r.done
}

// run reloads upon SIGHUP and after changes of the file.
func (r *reloader) run() {
	defer close(r.done)
	ticker := time.NewTicker(settingsCheck)
	defer ticker.Stop()
	for {
		select {
		case <-r.stop:
			return
		case <-r.signals:
			r.changed = r.modified()
			r.reload("signal")
		case <-ticker.C:
			if m := r.modified(); !m.Equal(r.changed) {
				r.changed = m
				r.reload("file")
			}
		}
	}
}

func (r *reloader) modified() time.Time {
	if r.path == "" {
		return time.Time{}
	}
	info, err := os.Stat(r.path)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}

func (r *reloader) reload(cause string) {
	next, err := readSettings(r.path)
	if err != nil {
		r.common.Logger.Error("settings not reloaded", "cause", cause, "reason", err)
		return
	}
	r.common.Logger.SetLevel(hclog.LevelFromString(next.LogLevel))
	r.common.Logger.Info("settings reloaded", "cause", cause, "log-level", next.LogLevel)
}

// readSettings reads a settings file as the node command does at its start.
func readSettings(path string) (settings.Node, error) {
	node := &Node{}
	var arguments []string
	if path != "" {
		arguments = append(arguments, "--settings="+path)
	}
	parser, err := kong.New(node, settingsFromEnvironment, settingsFromFile)
	if err != nil {
		return settings.Node{}, err
	}
	_, err = parser.Parse(arguments)
	return node.Node, err
}
