//go:build review2

package standins2

import (
	"bufio"
	"crypto/sha256"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/hornbeamspan/hornbeamspan/lab/emulator"
)

func init() { cases["unframed"] = unframed }

const (
	// documentBytes is the size of an answer.
	documentBytes = 38_400
	unframedCalls = 12
	unframedBytes = documentBytes / 2
	crashedCalls  = 6
)

// darkServer is a plain server whose answers have no length. Once its machine is lost, new connections hang.
type darkServer struct {
	id       string
	fd       int
	listener net.Listener
	mu       sync.Mutex
	isDark   bool
	conns    map[net.Conn]bool
	fillers  []net.Conn
	ran      runs
	// started gets a value for each request that is halfway through its answer.
	started chan struct{}
}

func startDarkServer(id string) *darkServer {
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	if err != nil {
		cannotRun("socket: %s", err)
	}
	if err := syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		cannotRun("bind: %s", err)
	}
	if err := syscall.Listen(fd, 128); err != nil {
		cannotRun("listen: %s", err)
	}
	f := os.NewFile(uintptr(fd), id)
	l, err := net.FileListener(f)
	if err != nil {
		cannotRun("listener: %s", err)
	}
	s := &darkServer{id: id, fd: fd, listener: l, conns: make(map[net.Conn]bool), started: make(chan struct{}, 100)}
	go s.accept(f)
	return s
}

func (s *darkServer) accept(f *os.File) {
	defer f.Close()
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		s.conns[conn] = true
		s.mu.Unlock()
		go s.serve(conn)
	}
}

func document(id string) string {
	return strings.Repeat(fmt.Sprintf("%x", sha256.Sum256([]byte(id))), documentBytes/64)
}

func (s *darkServer) serve(conn net.Conn) {
	defer func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		if !s.isDark {
			delete(s.conns, conn)
			_ = conn.Close()
		}
	}()
	r, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	id := r.Header.Get("Request-Id")
	if r.Header.Get("Expect-Instance") != s.id {
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 421 Misdirected Request\r\nRequest-Id: %s\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n", id)
		return
	}
	s.ran.add(id)
	text := document(id)
	_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Seal: seal.%s\r\nContent-Type: text/plain\r\nConnection: close\r\n\r\n%s", id, id, text[:unframedBytes])
	s.started <- struct{}{}
	time.Sleep(400 * time.Millisecond)
	_, _ = io.WriteString(conn, text[unframedBytes:])
}

// lose ends the server process: the kernel closes its connections. Its machine is gone for good, and connections to it hang.
func (s *darkServer) lose() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.isDark = true
	// Nothing answers from the socket any more once its queue is full.
	_ = syscall.Listen(s.fd, 0)
	address := s.listener.Addr().String()
	_ = s.listener.(*net.TCPListener).SetDeadline(time.Unix(1, 0))
	for range 8 {
		conn, err := net.DialTimeout("tcp", address, 50*time.Millisecond)
		if err != nil {
			break
		}
		s.fillers = append(s.fillers, conn)
	}
	note("server %s is lost: its process has ended in the middle of %d answers, and its machine does not respond", s.id, len(s.conns))
	for conn := range s.conns {
		_ = conn.Close()
	}
}

// unframed: answers without a length that end halfway, because their server is lost, are passed on as complete.
func unframed() {
	store := emulator.NewStore()
	s := startDarkServer("i-1")
	announce(store, s.id, "desk", s.listener.Addr().String(), "")
	putConfig(store, 1, nil, route("submit", "/submit/", "non_idempotent", "desk", nil))
	h := newHost("front-1", store.Address().String())
	h.start()
	h.awaitReady()
	note("host ready")
	var wg sync.WaitGroup
	var mu sync.Mutex
	broken, whole := 0, 0
	call := func(id string) {
		status, body, err := submit(h, id)
		isWhole := body == document(id)
		note("caller of %s gets %d, %d of %d bytes, end of the answer: %v", id, status, len(body), documentBytes, err)
		mu.Lock()
		defer mu.Unlock()
		if status == http.StatusOK && err == nil && !isWhole {
			broken++
		}
		if status == http.StatusOK && err == nil && isWhole {
			whole++
		}
	}
	for i := range unframedCalls - crashedCalls {
		call("calm-" + strconv.Itoa(i))
		<-s.started
	}
	for i := range crashedCalls {
		wg.Go(func() { call("last-" + strconv.Itoa(i)) })
	}
	for range crashedCalls {
		<-s.started
	}
	time.Sleep(50 * time.Millisecond)
	if hasTrouble {
		s.lose()
	}
	wg.Wait()
	if whole < unframedCalls-crashedCalls {
		cannotRun("only %d calls got their whole answer before", whole)
	}
	judge(broken > 0, "%d callers got a success with a part of the answer that looks complete", broken)
}

// submit sends one request and reads its answer.
func submit(h *host, id string) (status int, body string, err error) {
	c := http.Client{Timeout: 14 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	r, err := http.NewRequest(http.MethodPost, "http://"+h.front+"/submit/1", strings.NewReader("x"))
	if err != nil {
		cannotRun("%s", err)
	}
	r.Host = "shop.example"
	r.Header.Set("Request-Id", id)
	r.Header.Set("Deadline-Ms", "14000")
	resp, err := c.Do(r)
	if err != nil {
		return 0, "", err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(data), err
}
