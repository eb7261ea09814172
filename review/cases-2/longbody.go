package main

import (
	"bufio"
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/sapphireplank/sapphireplank/platform"
)

const (
	// uploadBytes is far below maxBodyBytes of the configuration.
	uploadBytes = 4 << 20
	// uploadRate is the rate of a client's link in bytes a second.
	uploadRate = 4 << 20
	// uploads is the number of long requests in the time of the disruption.
	uploads = 40
	// shedShare and shedTime are the dose of the disruption: less than srv_grey, how = "shed all", has in the site file (0.55).
	shedShare = 0.3
	shedTime  = 8500 * time.Millisecond
	// readOnDelay is how long after an early answer an upstream reads the rest of the body.
	readOnDelay = 100 * time.Millisecond
)

const uploadConfig = `{"version":"r1",
"routes":{"columns":["name","host","prefix","kind","timeoutMs","targetLatencyMs","priority","trafficSplit","maxAttempts","service"],
"rows":[["filing","ward.example","/filing/","unsafe",8000,2000,0,null,2,"wardlink"]]},
"services":{"columns":["name","healthPath","maxConns","sharded"],"rows":[["wardlink","/healthz",130,null]]},
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":67108864,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}`

// uploadServer is an upstream that rejects part of its requests while it sheds, before it has read them.
type uploadServer struct {
	e        *environment
	id       string
	listener net.Listener
	shedding *atomic.Bool
	// bodies are the bodies of the long requests by their ids.
	bodies *sync.Map
	ran    chan<- ranRequest
	// other receives what was read on and does not belong there.
	other chan<- string
}

// ranRequest is a request that an upstream has run.
type ranRequest struct{ server, id, hash string }

// start serves the requests on a free port.
func (s *uploadServer) start() error {
	// The link has small windows, as between machines, so that a peer that does not read blocks the writer.
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		var failed error
		err := raw.Control(func(fd uintptr) {
			if failed = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, 32<<10); failed == nil {
				failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_MAXSEG, 1448)
			}
		})
		if err == nil {
			err = failed
		}
		return err
	}}
	var err error
	s.listener, err = config.Listen(context.Background(), "tcp4", "127.0.0.1:0")
	if err == nil {
		go s.accept()
	}
	return err
}

func (s *uploadServer) accept() {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		go s.serve(conn)
	}
}

// serve answers the requests of a connection, one after the other.
func (s *uploadServer) serve(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		id := request.Header.Get(platform.HeaderRequestID)
		if s.shedding.Load() && rand.Float64() < shedShare {
			s.e.logf("%s: %s is rejected with 503 and Not-Executed", s.id, id)
			fmt.Fprintf(conn, "HTTP/1.1 503 Service Unavailable\r\nAttempt-Id: %s\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n", id)
			time.Sleep(readOnDelay)
			if !s.readOn(request, id) {
				return
			}
			continue
		}
		sum := sha256.New()
		length, err := io.Copy(sum, request.Body)
		if err != nil {
			s.e.logf("%s: %s broke off after %d bytes: %v", s.id, id, length, err)
			return
		}
		hash := hex.EncodeToString(sum.Sum(nil))
		time.Sleep(20 * time.Millisecond)
		if length > 100 {
			s.e.logf("%s: runs %s, %d bytes, sha256 %.16s", s.id, id, length, hash)
		}
		s.ran <- ranRequest{s.id, id, hash}
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nResponse-Seal: seal-%s\r\nContent-Length: 3\r\n\r\nok\n", id, id)
	}
}

// readOn reads the rest of a body after its request was rejected, and compares it with what the client sent. It returns false once
// the connection has ended.
func (s *uploadServer) readOn(request *http.Request, id string) bool {
	var rest bytes.Buffer
	_, err := rest.ReadFrom(request.Body)
	if body, known := s.bodies.Load(id); known && !bytes.HasPrefix(body.([]byte), rest.Bytes()) {
		s.e.logf("%s: read on %d bytes of %s, which are not the beginning of its body", s.id, rest.Len(), id)
		s.other <- fmt.Sprintf("UNASKED: %s got other bytes where the rest of the body of %s was due", s.id, id)
	}
	return err == nil
}

// longBody sends long requests in chunks while upstreams shed some of them before they have read them.
func longBody(e *environment) ([]string, error) {
	st, err := startStore()
	if err != nil {
		return nil, err
	}
	defer st.server.Close()
	if err := st.put(platform.ConfigKey, uploadConfig); err != nil {
		return nil, err
	}
	var shedding atomic.Bool
	var bodies sync.Map
	ran, other := make(chan ranRequest, 1<<16), make(chan string, 1<<16)
	for i := range 8 {
		id := fmt.Sprintf("i-%02d", i)
		s := &uploadServer{e: e, id: id, shedding: &shedding, bodies: &bodies, ran: ran, other: other}
		if err := s.start(); err != nil {
			return nil, err
		}
		defer s.listener.Close()
		if err := st.register(id, "wardlink", s.listener.Addr().String(), 6, time.Now().UnixMilli(), 1); err != nil {
			return nil, err
		}
	}
	g, err := e.newGateway("edge-1", st.addr)
	if err != nil {
		return nil, err
	}
	defer g.kill()
	if err := g.start(); err != nil {
		return nil, err
	}
	if err := g.awaitReady(10 * time.Second); err != nil {
		return nil, err
	}
	var mu sync.Mutex
	sent := make(map[string]string)
	note := func(id, hash string) {
		mu.Lock()
		defer mu.Unlock()
		sent[id] = hash
	}
	// Short requests, as usual.
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var clients sync.WaitGroup
	for c := range 8 {
		clients.Go(func() {
			for n := 0; ctx.Err() == nil; n++ {
				id := fmt.Sprintf("short-%d-%d", c, n)
				body := []byte(id)
				sum := sha256.Sum256(body)
				note(id, hex.EncodeToString(sum[:]))
				// The answer does not matter here.
				_, _ = send(g.front, id, body, 0)
				time.Sleep(60 * time.Millisecond)
			}
		})
	}
	time.Sleep(12 * time.Second)
	e.logf("the disruption begins")
	shedding.Store(e.trouble)
	var long sync.WaitGroup
	for n := range uploads {
		long.Go(func() {
			id := fmt.Sprintf("long-%02d", n)
			body := make([]byte, uploadBytes)
			for i := range body {
				body[i] = byte(rand.Uint32())
			}
			sum := sha256.Sum256(body)
			hash := hex.EncodeToString(sum[:])
			note(id, hash)
			bodies.Store(id, body)
			e.logf("client: sends %s, %d bytes in chunks, sha256 %.16s", id, len(body), hash)
			answer, err := send(g.front, id, body, uploadRate)
			e.logf("client: %s is answered %q, %v", id, answer, err)
		})
		time.Sleep(shedTime / (uploads + 8))
	}
	time.Sleep(shedTime * 8 / (uploads + 8))
	shedding.Store(false)
	e.logf("the disruption ends")
	long.Wait()
	cancel()
	clients.Wait()
	var broken []string
	for len(ran) > 0 {
		r := <-ran
		mu.Lock()
		want, known := sent[r.id]
		mu.Unlock()
		if !known || want != r.hash {
			broken = append(broken, fmt.Sprintf("UNASKED: %s ran %s with another body: sha256 %.16s, sent %.16s", r.server, r.id, r.hash, want))
		}
	}
	for len(other) > 0 {
		broken = append(broken, <-other)
	}
	return broken, nil
}

// send sends a request over a new connection, in chunks if it has a rate, and returns the status line of the answer.
func send(addr, id string, body []byte, rate int) (string, error) {
	conn, err := net.DialTimeout("tcp4", addr, time.Second)
	if err != nil {
		return "", err
	}
	defer conn.Close()
	if err := conn.SetDeadline(time.Now().Add(10 * time.Second)); err != nil {
		return "", err
	}
	head := fmt.Sprintf("POST /filing/%s HTTP/1.1\r\nHost: ward.example\r\nAttempt-Id: %s\r\nDeadline-Ms: 8000\r\n", id, id)
	if rate == 0 {
		_, err = fmt.Fprintf(conn, "%sContent-Length: %d\r\n\r\n%s", head, len(body), body)
	} else {
		go sendChunks(conn, head, body, rate)
	}
	if err != nil {
		return "", err
	}
	line, err := bufio.NewReader(conn).ReadString('\n')
	return strings.TrimSpace(line), err
}

// sendChunks writes a request in chunks at a rate in bytes a second. An error shows in the answer.
func sendChunks(conn net.Conn, head string, body []byte, rate int) {
	if _, err := fmt.Fprintf(conn, "%sTransfer-Encoding: chunked\r\n\r\n", head); err != nil {
		return
	}
	const size = 16 << 10
	for len(body) > 0 {
		part := body[:min(size, len(body))]
		body = body[len(part):]
		if _, err := fmt.Fprintf(conn, "%x\r\n%s\r\n", len(part), part); err != nil {
			return
		}
		time.Sleep(time.Duration(float64(len(part)) / float64(rate) * float64(time.Second)))
	}
	_, _ = io.WriteString(conn, "0\r\n\r\n")
}
