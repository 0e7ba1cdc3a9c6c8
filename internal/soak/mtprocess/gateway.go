package mtprocess

import (
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"

	"github.com/mangotack/mangotack/platform/mtfake"
	"github.com/mangotack/mangotack/platform/mtname"
)

// Gateway is one gateway, of which at most one process runs at a time.
type Gateway struct {
	// Instance gives the gateway's settings, but for the slack of the retry budget, which Reload changes.
	Instance mtfake.InstanceSettings

	binary    string
	directory string

	mu            sync.Mutex
	retrySlack    int
	process       *os.Process
	incarnation   int
	exited        chan struct{}
	stopRequested bool
	onFailure     func(detail string)
}

// NewGateway returns a gateway that does not run yet; its settings and logs are written to a directory. A process that
// exits without a signal to do so, or with an exit status above 0, is reported to onFailure.
func NewGateway(binary, directory string, instance mtfake.InstanceSettings, onFailure func(detail string)) *Gateway {
	return &Gateway{
		Instance:   instance,
		binary:     binary,
		directory:  directory,
		retrySlack: instance.RetrySlack,
		onFailure:  onFailure,
	}
}

func (g *Gateway) filePath(suffix string) string {
	return filepath.Join(g.directory, g.Instance.IP+suffix)
}

// writeSettings replaces the settings file by one with the current slack, so that a process that starts meanwhile reads
// either; the mutex is held.
func (g *Gateway) writeSettings() error {
	settings := g.Instance
	settings.RetrySlack = g.retrySlack
	if err := os.WriteFile(g.filePath(".yaml.new"), settings.YAML(), 0o600); err != nil {
		return err
	}
	return os.Rename(g.filePath(".yaml.new"), g.filePath(".yaml"))
}

// Start starts a new process, which must be the only one.
func (g *Gateway) Start() error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if err := g.writeSettings(); err != nil {
		return err
	}
	g.incarnation++
	log, err := os.Create(g.filePath(fmt.Sprintf("-%02d.log", g.incarnation)))
	if err != nil {
		return err
	}
	defer log.Close()
	command := exec.Command(g.binary, "gateway")
	command.Env = append(os.Environ(), mtname.SettingsPathVariable+"="+g.filePath(".yaml"))
	command.Stdout = log
	command.Stderr = log
	// The kernel kills the gateway when the soak ends for any reason.
	command.SysProcAttr = &syscall.SysProcAttr{
		Pdeathsig: syscall.SIGKILL,
		Setpgid:   true,
	}
	if err := command.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	g.process, g.exited, g.stopRequested = command.Process, exited, false
	incarnation := g.incarnation
	go func() {
		err := command.Wait()
		g.mu.Lock()
		stopRequested := g.stopRequested
		g.process = nil
		g.mu.Unlock()
		if exitErr := (*exec.ExitError)(nil); !stopRequested || errors.As(err, &exitErr) && exitErr.ExitCode() > 0 {
			g.onFailure(fmt.Sprintf("process %d of %s exited: %v", incarnation, g.Instance.IP, err))
		}
		close(exited)
	}()
	return nil
}

// Incarnation returns the number of the newest process, counted from 1, and whether it runs.
func (g *Gateway) Incarnation() (int, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.incarnation, g.process != nil
}

// ProcessID returns the ID of the process, or 0 if none runs.
func (g *Gateway) ProcessID() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.process == nil {
		return 0
	}
	return g.process.Pid
}

// Signal sends a signal to the process, if there is one, and returns a channel that is closed when it has exited.
func (g *Gateway) Signal(signal syscall.Signal) <-chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.process == nil {
		exited := make(chan struct{})
		close(exited)
		return exited
	}
	g.stopRequested = g.stopRequested || signal == syscall.SIGKILL || signal == syscall.SIGTERM
	// Signal fails for a process that has just exited, which needs no signal.
	_ = g.process.Signal(signal)
	return g.exited
}

// Reload writes settings with another slack of the retry budget and sends SIGHUP to the process.
func (g *Gateway) Reload(retrySlack int) error {
	g.mu.Lock()
	g.retrySlack = retrySlack
	err := g.writeSettings()
	g.mu.Unlock()
	g.Signal(syscall.SIGHUP)
	return err
}

// Kill sends SIGKILL to the process and waits until it has exited.
func (g *Gateway) Kill() {
	<-g.Signal(syscall.SIGKILL)
}
