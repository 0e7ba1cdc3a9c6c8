package mtfleet

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

// Member is one gateway, of which at most one process runs at a time.
type Member struct {
	// Instance is what the gateway is told, but for the slack of the retry budget, which changes.
	Instance mtfake.Instance

	binary    string
	directory string

	mu          sync.Mutex
	slack       int
	process     *os.Process
	incarnation int
	done        chan struct{}
	told        bool
	failed      func(detail string)
}

// NewMember returns a gateway that does not run yet; its settings and its logs are written to a directory. What ends without
// having been told to is reported to failed.
func NewMember(binary, directory string, instance mtfake.Instance, failed func(detail string)) *Member {
	return &Member{
		Instance:  instance,
		binary:    binary,
		directory: directory,
		slack:     instance.RetrySlack,
		failed:    failed,
	}
}

func (m *Member) path(name string) string {
	return filepath.Join(m.directory, m.Instance.IP+name)
}

// writeSettings writes the settings file; the mutex is held.
func (m *Member) writeSettings() error {
	told := m.Instance
	told.RetrySlack = m.slack
	return os.WriteFile(m.path(".yaml"), told.Settings(), 0o600)
}

// Start begins a new process.
func (m *Member) Start() error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.writeSettings(); err != nil {
		return err
	}
	m.incarnation++
	log, err := os.Create(m.path(fmt.Sprintf("-%02d.log", m.incarnation)))
	if err != nil {
		return err
	}
	defer log.Close()
	command := exec.Command(m.binary, "gateway")
	command.Env = append(os.Environ(), mtname.SettingsVariable+"="+m.path(".yaml"))
	command.Stdout = log
	command.Stderr = log
	// The processes end with this one, however it ends.
	command.SysProcAttr = &syscall.SysProcAttr{
		Pdeathsig: syscall.SIGKILL,
		Setpgid:   true,
	}
	if err := command.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	m.process, m.done, m.told = command.Process, done, false
	incarnation := m.incarnation
	go func() {
		err := command.Wait()
		m.mu.Lock()
		told := m.told
		m.process = nil
		m.mu.Unlock()
		if exit := (*exec.ExitError)(nil); !told || errors.As(err, &exit) && exit.ExitCode() > 0 {
			m.failed(fmt.Sprintf("process %d of %s ended: %v", incarnation, m.Instance.IP, err))
		}
		close(done)
	}()
	return nil
}

// Incarnation returns the number of the process, and whether it runs.
func (m *Member) Incarnation() (int, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.incarnation, m.process != nil
}

// Signal sends a signal to the process, if there is one, and returns a channel that is closed at its end.
func (m *Member) Signal(signal syscall.Signal) <-chan struct{} {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.process == nil {
		ended := make(chan struct{})
		close(ended)
		return ended
	}
	m.told = m.told || signal == syscall.SIGKILL || signal == syscall.SIGTERM
	// A process that has just ended can't be signalled, and need not be.
	_ = m.process.Signal(signal)
	return m.done
}

// Reload writes new settings and tells the process.
func (m *Member) Reload(slack int) error {
	m.mu.Lock()
	m.slack = slack
	err := m.writeSettings()
	m.mu.Unlock()
	m.Signal(syscall.SIGHUP)
	return err
}

// Kill ends the process at once and waits for its end.
func (m *Member) Kill() {
	<-m.Signal(syscall.SIGKILL)
}
