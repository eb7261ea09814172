package main

import (
	"bufio"
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"reflect"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/sapphireplank/sapphireplank/platform"
)

const (
	// heartbeat is how often an upstream writes its entry; it is removed after three intervals of silence.
	heartbeat = 870 * time.Millisecond
	// defaultQueue is how many requests an upstream queues, as in the site file of filtrex-brno.
	defaultQueue = 12
)

// upstream is one life of an upstream, as the pages describe it.
type upstream struct {
	world       *world
	id, service string
	zone        string
	slots       int
	// queue is how many requests it queues; 0 stands for defaultQueue.
	queue   int
	sharded bool
	work    time.Duration
	// workOf is the work of a request by its path; if nil, it is work.
	workOf func(path string) time.Duration
	born   int64
	addr   string
	// answers decides about each answer; nil stands for a sound upstream.
	answers  func(request, life string) answerKind
	listener net.Listener
	ended    chan struct{}
	places   chan struct{}
	slot     chan struct{}

	// mu protects the fields below.
	mu      sync.Mutex
	up      bool
	state   string
	seq     int
	conns   map[net.Conn]bool
	holds   []hold
	fences  [platform.KeyCount]uint64
	running map[int]int
	idle    *sync.Cond
}

// hold is a range of keys that an upstream holds.
type hold struct {
	from, to int
	fence    uint64
	until    time.Time
}

// answerKind is what an upstream does with a request.
type answerKind int

const (
	runIt answerKind = iota
	// shed refuses the request: 503 with Not-Executed.
	shed
	// shedTwice does the same, and sends the answer a second time where the next one on the connection is expected.
	shedTwice
	// runTwice runs the request and sends the answer a second time later.
	runTwice
)

// startUpstream starts a life of an upstream. It listens on addr, or on a new port if that is empty.
func (w *world) startUpstream(u *upstream, addr string) (*upstream, error) {
	if addr == "" {
		addr = w.subnet + ".3:0"
	}
	listener, err := net.Listen("tcp4", addr)
	if err != nil {
		return nil, err
	}
	u.world, u.listener, u.addr = w, listener, listener.Addr().String()
	u.born, u.up, u.state = time.Now().UnixMilli(), true, platform.StateReady
	u.ended = make(chan struct{})
	u.conns, u.running = make(map[net.Conn]bool), make(map[int]int)
	u.places, u.slot = make(chan struct{}, u.slots+cmp.Or(u.queue, defaultQueue)), make(chan struct{}, u.slots)
	u.idle = sync.NewCond(&u.mu)
	w.mu.Lock()
	w.upstreams = append(w.upstreams, u)
	w.cleanups = append(w.cleanups, u.crash)
	w.mu.Unlock()
	w.record.say("upstream %s (%s) starts at %s, born %d", u.id, u.service, u.addr, u.born)
	go u.accept()
	go u.register()
	return u, nil
}

// report returns the next report of this life to the store.
func (u *upstream) report() string {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.seq++
	report, _ := json.Marshal(map[string]any{
		"service": u.service, "addr": u.addr, "zone": u.zone, "version": "v1", "slots": u.slots, "state": u.state,
		"coldLeftMs": 0, "seq": u.seq, "born": u.born,
	})
	return string(report)
}

// onlySeqDiffers reports whether two reports differ in seq at most.
func onlySeqDiffers(a, b string) bool {
	var x, y map[string]any
	if json.Unmarshal([]byte(a), &x) != nil || json.Unmarshal([]byte(b), &y) != nil {
		return false
	}
	delete(x, "seq")
	delete(y, "seq")
	return reflect.DeepEqual(x, y)
}

// register reports every heartbeat. The entry changes only if more than seq changes.
func (u *upstream) register() {
	key := platform.ServersPrefix + u.id
	ticker := time.NewTicker(heartbeat)
	defer ticker.Stop()
	for {
		item, err := u.world.store.Get(u.world.context(), key)
		if report := u.report(); err != nil || !onlySeqDiffers(string(item.Value), report) {
			u.world.record.add("store: entry of %s: %s", u.id, report)
			u.world.put(key, report)
		}
		select {
		case <-u.ended:
			return
		case <-ticker.C:
		}
	}
}

// crash ends this life. It sends nothing more, and the store removes its entry after three intervals of silence.
func (u *upstream) crash() {
	u.mu.Lock()
	if !u.up {
		u.mu.Unlock()
		return
	}
	u.up, u.holds = false, nil
	for conn := range u.conns {
		_ = conn.(*net.TCPConn).SetLinger(0)
		_ = conn.Close()
	}
	u.mu.Unlock()
	close(u.ended)
	_ = u.listener.Close()
	u.world.record.add("upstream %s born %d ends", u.id, u.born)
	time.AfterFunc(3*heartbeat, func() {
		item, err := u.world.store.Get(u.world.context(), platform.ServersPrefix+u.id)
		if err == nil && bytes.Contains(item.Value, []byte(strconv.FormatInt(u.born, 10))) {
			u.world.remove(platform.ServersPrefix + u.id)
		}
	})
}

func (u *upstream) accept() {
	for {
		conn, err := u.listener.Accept()
		if err != nil {
			return
		}
		u.mu.Lock()
		u.conns[conn] = true
		up := u.up
		u.mu.Unlock()
		if !up {
			_ = conn.Close()
			return
		}
		go u.serve(conn)
	}
}

// serve answers the requests on a connection, one at a time.
func (u *upstream) serve(conn net.Conn) {
	defer func() {
		u.mu.Lock()
		delete(u.conns, conn)
		u.mu.Unlock()
		_ = conn.Close()
	}()
	reader := bufio.NewReader(conn)
	var extra []byte
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		if len(extra) > 0 {
			u.world.record.add("%s sends an extra answer where that to %s is expected", u.id, request.Header.Get(platform.HeaderRequestID))
			if _, err := conn.Write(extra); err != nil {
				return
			}
		}
		var answer []byte
		switch request.URL.Path {
		case platform.PathGrant:
			answer = u.grant(request, body)
		case platform.PathRelease:
			answer = u.release(request, body)
		default:
			answer, extra = u.request(request)
		}
		if _, err := conn.Write(answer); err != nil {
			return
		}
	}
}

// encode returns an answer as it is sent.
func (u *upstream) encode(status int, body string, header ...string) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\nContent-Length: %d\r\nKeep-Alive: timeout=10\r\n", status, http.StatusText(status), len(body))
	for i := 0; i+1 < len(header); i += 2 {
		fmt.Fprintf(&b, "%s: %s\r\n", header[i], header[i+1])
	}
	b.WriteString("\r\n" + body)
	return b.Bytes()
}

// refuse returns the answer to a request that is not run.
func (u *upstream) refuse(status int, request string) []byte {
	return u.encode(status, "", platform.HeaderRequestID, request, platform.HeaderNotExecuted, "1", platform.HeaderInstance, u.id)
}

// request runs a request or refuses it. It returns the answer, and an extra answer to send later.
func (u *upstream) request(r *http.Request) (answer, extra []byte) {
	id := r.Header.Get(platform.HeaderRequestID)
	if id == "" {
		return u.refuse(http.StatusBadRequest, id), nil
	}
	if want := r.Header.Get(platform.HeaderExpectInstance); want != "" && want != u.id {
		u.world.record.add("%s refuses %s: meant for %s", u.id, id, want)
		return u.refuse(http.StatusMisdirectedRequest, id), nil
	}
	u.world.arrived(id)
	kind := runIt
	if u.answers != nil {
		kind = u.answers(id, u.id)
	}
	if kind == shed || kind == shedTwice {
		u.world.record.add("%s refuses %s: 503, Not-Executed", u.id, id)
		answer = u.refuse(http.StatusServiceUnavailable, id)
		if kind == shedTwice {
			extra = answer
		}
		return answer, extra
	}
	select {
	case u.places <- struct{}{}:
		defer func() { <-u.places }()
	default:
		u.world.record.add("%s refuses %s: full", u.id, id)
		return u.refuse(http.StatusServiceUnavailable, id), nil
	}
	u.slot <- struct{}{}
	defer func() { <-u.slot }()
	key, err := strconv.Atoi(r.Header.Get(platform.HeaderShardKey))
	keyed := u.sharded && err == nil
	if !keyed {
		key = -1
	}
	if !u.begin(id, key, keyed) {
		u.world.record.add("%s refuses %s: does not hold key %d", u.id, id, key)
		return u.refuse(http.StatusMisdirectedRequest, id), nil
	}
	work := u.work
	if u.workOf != nil {
		work = u.workOf(r.URL.Path)
	}
	time.Sleep(work)
	u.end(key)
	u.world.hasRun(u.id, id)
	answer = u.encode(http.StatusOK, "answer to "+id, platform.HeaderRequestID, id, platform.HeaderSignature, "seal."+id,
		platform.HeaderLoad, fmt.Sprintf("%d,%d,%d", len(u.slot), max(0, len(u.places)-u.slots), u.slots))
	if kind == runTwice {
		extra = answer
	}
	return answer, extra
}

// begin begins to run a request, unless its key is not held.
func (u *upstream) begin(id string, key int, keyed bool) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	now := time.Now()
	if !u.up || keyed && !slices.ContainsFunc(u.holds, func(h hold) bool { return h.from <= key && key <= h.to && now.Before(h.until) }) {
		return false
	}
	u.running[key]++
	u.world.ran(u.id, id)
	return true
}

func (u *upstream) end(key int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.running[key]--
	u.idle.Broadcast()
}

type order struct {
	From     int    `json:"from"`
	To       int    `json:"to"`
	Fence    uint64 `json:"fence"`
	HoldMs   int64  `json:"holdMs"`
	Handover string `json:"handover"`
}

func (u *upstream) order(r *http.Request, body []byte) (order, []byte) {
	var o order
	if err := json.Unmarshal(body, &o); err != nil || o.From < 0 || o.To >= platform.KeyCount || o.From > o.To {
		return o, u.encode(http.StatusBadRequest, "")
	}
	if want := r.Header.Get(platform.HeaderExpectInstance); want != "" && want != u.id {
		return o, u.encode(http.StatusMisdirectedRequest, "", platform.HeaderInstance, u.id)
	}
	return o, nil
}

// grant takes keys, or renews a grant.
func (u *upstream) grant(r *http.Request, body []byte) []byte {
	arrived := time.Now()
	o, refusal := u.order(r, body)
	if refusal != nil {
		return refusal
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	fences := u.fences[o.From : o.To+1]
	if slices.Max(fences) > o.Fence {
		u.world.record.add("grant  %s keys %d-%d fence %d: 409", u.id, o.From, o.To, o.Fence)
		return u.encode(http.StatusConflict, "")
	}
	for i := range fences {
		fences[i] = o.Fence
	}
	u.drop(o.From, o.To)
	if u.up {
		u.holds = append(u.holds, hold{o.From, o.To, o.Fence, arrived.Add(time.Duration(o.HoldMs) * time.Millisecond)})
	}
	u.world.record.add("grant  %s (born %d) keys %d-%d fence %d for %d ms: 200", u.id, u.born, o.From, o.To, o.Fence, o.HoldMs)
	return u.encode(http.StatusOK, "")
}

// release stops new work on keys, and answers when the running work has ended.
func (u *upstream) release(r *http.Request, body []byte) []byte {
	o, refusal := u.order(r, body)
	if refusal != nil {
		return refusal
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	u.drop(o.From, o.To)
	for i := o.From; i <= o.To; i++ {
		u.fences[i] = max(u.fences[i], o.Fence)
	}
	for u.works(o.From, o.To) {
		u.idle.Wait()
	}
	u.world.record.add("release %s (born %d) keys %d-%d fence %d: 200", u.id, u.born, o.From, o.To, o.Fence)
	return u.encode(http.StatusOK, "", platform.HeaderHandover, fmt.Sprintf("%s-%d", u.id, o.Fence))
}

func (u *upstream) works(from, to int) bool {
	for key, count := range u.running {
		if count > 0 && from <= key && key <= to {
			return true
		}
	}
	return false
}

// drop removes keys from the holds.
func (u *upstream) drop(from, to int) {
	var kept []hold
	for _, h := range u.holds {
		if h.to < from || to < h.from {
			kept = append(kept, h)
			continue
		}
		if h.from < from {
			kept = append(kept, hold{h.from, from - 1, h.fence, h.until})
		}
		if to < h.to {
			kept = append(kept, hold{to + 1, h.to, h.fence, h.until})
		}
	}
	u.holds = kept
}

// held returns the ranges that this life holds now.
func (u *upstream) held(now time.Time) []hold {
	u.mu.Lock()
	defer u.mu.Unlock()
	var held []hold
	for _, h := range u.holds {
		if u.up && now.Before(h.until) {
			held = append(held, h)
		}
	}
	return held
}
