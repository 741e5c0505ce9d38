package rig

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"sync"
	"syscall"
	"time"
)

// starter starts processes from one thread that never ends while this process lives: the kernel kills them as
// soon as that thread is gone, whatever ended it.
type starter struct{ jobs chan func() }

var processes = sync.OnceValue(func() *starter {
	s := &starter{make(chan func())}
	go func() {
		runtime.LockOSThread()
		for job := range s.jobs {
			job()
		}
	}()
	return s
})

func (s *starter) start(cmd *exec.Cmd) error {
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	done := make(chan error)
	s.jobs <- func() { done <- cmd.Start() }
	return <-done
}

// Start starts a program that the kernel kills as soon as this process is gone, whatever ended it.
func Start(cmd *exec.Cmd) error { return processes().start(cmd) }

// Build builds one of the project's commands into a folder, as the source is now.
func Build(dir, command string) (string, error) {
	path := filepath.Join(dir, command)
	out, err := exec.Command("go", "build", "-o", path, "dunespoke/cmd/"+command).CombinedOutput()
	if err != nil {
		return "", fmt.Errorf("building %s: %w: %s", command, err, out)
	}
	return path, nil
}

// process is one run of the program, for an ingress.
type process struct {
	cmd   *exec.Cmd
	ended chan struct{}
}

// launch starts the program for an ingress. What it logs goes to a file in the folder, after what is there.
func launch(program, dir, name string, env []string) (*process, error) {
	log, err := os.OpenFile(filepath.Join(dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, err
	}
	defer log.Close()
	tmp := filepath.Join(dir, name+".tmp")
	if err := os.MkdirAll(tmp, 0o755); err != nil {
		return nil, err
	}
	cmd := exec.Command(program)
	cmd.Stdout, cmd.Stderr = log, log
	cmd.Env = append([]string{"TMPDIR=" + tmp, "PATH=" + os.Getenv("PATH"),
		"LB_CONFIG=" + filepath.Join(dir, name+".json")}, env...)
	if err := Start(cmd); err != nil {
		return nil, fmt.Errorf("ingress %s: %w", name, err)
	}
	p := &process{cmd, make(chan struct{})}
	go func() {
		cmd.Wait()
		close(p.ended)
	}()
	return p, nil
}

func (p *process) signal(s syscall.Signal) { p.cmd.Process.Signal(s) }

// stop asks the process to end and kills it if it won't.
func (p *process) stop(wait time.Duration) {
	p.signal(syscall.SIGCONT)
	p.signal(syscall.SIGTERM)
	select {
	case <-p.ended:
	case <-time.After(wait):
		p.kill()
	}
}

func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	<-p.ended
}

func (p *process) gone() bool {
	select {
	case <-p.ended:
		return true
	default:
		return false
	}
}
