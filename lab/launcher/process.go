package launcher

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/joomcode/errorx"
)

// Process is one process of a System. Operators and Peers are set for entry hosts only.
type Process struct {
	Name      string
	Address   netip.AddrPort
	Operators netip.AddrPort
	Peers     netip.AddrPort
	args      []string
	env       []string
	bin       string
	dir       string
	output    *os.File
	cmd       *exec.Cmd
	exited    chan struct{}
}

// Command describes a process that StartCommand starts.
type Command struct {
	Name string
	// Program and Dir are the paths of the program and of the folder for its log file.
	Program string
	Dir     string
	Args    []string
	// Env holds additional environment variables as NAME=VALUE.
	Env []string
	// Address is where the process listens once it has started.
	Address netip.AddrPort
	// Output gets what the process writes, instead of its log file, if it is not nil.
	Output *os.File
}

// StartCommand starts a process outside of a System and waits until it is listening. The caller must end it with Kill.
func StartCommand(ctx context.Context, c Command) (*Process, error) {
	p := &Process{Name: c.Name, Address: c.Address, args: c.Args, env: c.Env, bin: c.Program, dir: c.Dir, output: c.Output}
	if err := p.launch(); err != nil {
		return nil, err
	}
	return p, p.awaitListening(ctx)
}

// Kill ends the process and waits until it has exited.
func (p *Process) Kill() {
	if p.cmd == nil || p.cmd.Process == nil {
		return
	}
	_ = p.cmd.Process.Kill()
	<-p.exited
}

// Signal sends sig to the process by its ID. For SIGSTOP it also waits until all threads are stopped: the kernel hands the
// signal to one thread, and the others run on until that one is scheduled.
func (p *Process) Signal(sig syscall.Signal) error {
	err := p.cmd.Process.Signal(sig)
	if errors.Is(err, os.ErrProcessDone) {
		return p.endedError()
	}
	if err != nil || sig != syscall.SIGSTOP {
		return err
	}
	err = Await(context.Background(), stopTimeout, func() bool { return p.hasExited() || isStopped(p.PID()) })
	if p.hasExited() {
		return p.endedError()
	}
	return err
}

// endedError returns how the process ended and what it wrote last.
func (p *Process) endedError() error {
	<-p.exited
	data, _ := os.ReadFile(filepath.Join(p.dir, p.Name+".log")) // the error is worth returning without it
	return &EndedError{Name: p.Name, State: p.cmd.ProcessState.String(), Output: string(data[max(0, len(data)-maxOutputBytes):])}
}

// Log returns what the process has written so far, in all its starts.
func (p *Process) Log() ([]byte, error) { return os.ReadFile(filepath.Join(p.dir, p.Name+".log")) }

// Memory returns a field of the memory usage in /proc, such as VmHWM or RssAnon, in bytes; 0 if the process has ended.
func (p *Process) Memory(field string) int64 {
	status, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.PID()))
	for line := range strings.Lines(string(status)) {
		if value, ok := strings.CutPrefix(line, field+":"); ok {
			kilobytes, _ := strconv.ParseInt(strings.Fields(value)[0], 10, 64)
			return kilobytes << 10
		}
	}
	return 0
}

// HasSucceeded reports whether the process has ended with exit status 0. It waits for the end.
func (p *Process) HasSucceeded() bool {
	<-p.exited
	return p.cmd.ProcessState.Success()
}

// EndedError reports that a process had ended before it could be sent a signal.
type EndedError struct {
	Name string
	// State is the exit status or signal.
	State string
	// Output is the end of the process's log.
	Output string
}

func (e *EndedError) Error() string {
	return "launcher: unable to signal " + e.Name + ": the process has ended (" + e.State + "); the end of its log:\n" + e.Output
}

// isStopped reports whether all threads of a process are stopped.
func isStopped(pid int) bool {
	files, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/stat", pid))
	if err != nil || len(files) == 0 {
		return false
	}
	for _, file := range files {
		stat, err := os.ReadFile(file)
		if os.IsNotExist(err) {
			continue
		}
		// The state follows the name of the thread in parentheses, which may hold any character.
		if err != nil || !bytes.HasPrefix(stat[bytes.LastIndexByte(stat, ')')+1:], []byte(" T")) {
			return false
		}
	}
	return true
}

func (p *Process) launch() error {
	out, err := os.OpenFile(filepath.Join(p.dir, p.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return errorx.Decorate(err, "launcher: unable to open the log file of %s", p.Name)
	}
	defer out.Close()
	p.cmd = exec.Command(p.bin, p.args...)
	p.cmd.Env = append(os.Environ(), p.env...)
	p.cmd.Stdout, p.cmd.Stderr = out, out
	if p.output != nil {
		p.cmd.Stdout, p.cmd.Stderr = p.output, p.output
	}
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.cmd.Start(); err != nil {
		return errorx.Decorate(err, "launcher: unable to start %s", p.Name)
	}
	p.exited = make(chan struct{})
	go func(cmd *exec.Cmd, exited chan struct{}) {
		_ = cmd.Wait()
		close(exited)
	}(p.cmd, p.exited)
	return nil
}

func (p *Process) awaitListening(ctx context.Context) error {
	err := Await(ctx, readyTimeout, func() bool {
		if p.hasExited() {
			return true
		}
		conn, err := net.DialTimeout("tcp", p.Address.String(), time.Second)
		if err != nil {
			return false
		}
		_ = conn.Close()
		return true
	})
	if err == nil && p.hasExited() {
		return &ExitError{Name: p.Name}
	}
	return err
}

func (p *Process) hasExited() bool {
	select {
	case <-p.exited:
		return true
	default:
		return false
	}
}

// ExitError reports that a process exited before it was listening.
type ExitError struct {
	Name string
}

func (e *ExitError) Error() string {
	return "launcher: unable to start " + e.Name + ": the process exited before it was listening; its log file has the reason"
}
