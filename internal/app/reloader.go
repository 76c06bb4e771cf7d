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

// settingsPollInterval is how often the settings file is checked for changes, in case no signal is sent.
const settingsPollInterval = 2 * time.Second

// reloader rereads the settings and applies the log level while the node runs. Other settings need a restart.
type reloader struct {
	common *common.Common
	// path of the settings file, or empty.
	path string
	// modifiedAt is the file's modification time at the last reload.
	modifiedAt time.Time
	signals    chan os.Signal
	stop       chan struct{}
	done       chan struct{}
}

func newReloader(c *common.Common, path string) *reloader {
	r := &reloader{common: c, path: path, signals: make(chan os.Signal, 1), stop: make(chan struct{}), done: make(chan struct{})}
	r.modifiedAt = r.modificationTime()
	signal.Notify(r.signals, syscall.SIGHUP)
	go r.run()
	return r
}

func (r *reloader) close() {
	close(r.stop)
	<-r.done
}

// run reloads on SIGHUP and when the file changes, until close.
func (r *reloader) run() {
	defer close(r.done)
	ticker := time.NewTicker(settingsPollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-r.stop:
			return
		case <-r.signals:
			r.modifiedAt = r.modificationTime()
			r.reload("signal")
		case <-ticker.C:
			if m := r.modificationTime(); !m.Equal(r.modifiedAt) {
				r.modifiedAt = m
				r.reload("file")
			}
		}
	}
}

// modificationTime returns the file's modification time, or the zero time if there is no file.
func (r *reloader) modificationTime() time.Time {
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
		r.common.Logger.Error("could not reload settings", "cause", cause, "reason", err)
		return
	}
	r.common.Logger.SetLevel(hclog.LevelFromString(next.LogLevel))
	r.common.Logger.Info("settings reloaded", "cause", cause, "log-level", next.LogLevel)
}

// readSettings reads the settings from environment variables and a settings file, without the command line.
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
