package rig

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"strings"
	"time"
)

// answerPause is the time between the two halves of an answer without a length.
const answerPause = 150 * time.Millisecond

// serveEngine runs a plain engine in this process until it is killed. Its answers have no length and end with their connection. It
// prints its address.
func serveEngine(id string) {
	e, err := StartPlain(nil, id, "desk", "", 20*time.Millisecond)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(couldNotRun)
	}
	e.write = func(w http.ResponseWriter, requestID string) {
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		defer conn.Close()
		body := Body(requestID)
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Seal: %s\r\nContent-Type: text/plain\r\nConnection: close\r\n\r\n", requestID, Seal(requestID))
		_, _ = io.WriteString(conn, body[:len(body)/2])
		time.Sleep(answerPause)
		_, _ = io.WriteString(conn, body[len(body)/2:])
	}
	fmt.Println(e.Address)
	select {}
}

// EngineProcess is a plain engine in a process of its own.
type EngineProcess struct {
	ID, Address string
	cmd         *exec.Cmd
	stop        chan struct{}
	isKilled    bool
}

// StartEngineProcess starts an engine and writes its entry every heartbeat.
func StartEngineProcess(store *Store, id, zone string) (*EngineProcess, error) {
	cmd := exec.Command("target/review-rig", "engine", id)
	out, err := cmd.StdoutPipe()
	if err != nil {
		return nil, err
	}
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	line, err := bufio.NewReader(out).ReadString('\n')
	if err != nil {
		_ = cmd.Process.Kill()
		return nil, fmt.Errorf("the engine printed no address: %w", err)
	}
	p := &EngineProcess{ID: id, Address: strings.TrimSpace(line), cmd: cmd, stop: make(chan struct{})}
	born := time.Now().UnixMilli()
	go func() {
		for sequence := 1; ; sequence++ {
			store.Put(serversTopic, p.ID, map[string]any{
				"service": "desk", "address": p.Address, "zone": zone, "version": "v1", "slots": plainSlots, "state": "ready",
				"coldRemainingMs": 0, "sequence": sequence, "born": born,
			})
			select {
			case <-p.stop:
				return
			case <-time.After(heartbeat):
			}
		}
	}()
	return p, nil
}

// Kill ends the engine by SIGKILL.
func (p *EngineProcess) Kill() {
	if p.isKilled {
		return
	}
	p.isKilled = true
	close(p.stop)
	_ = p.cmd.Process.Kill()
	_ = p.cmd.Wait()
}
