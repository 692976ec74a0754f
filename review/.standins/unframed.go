package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strconv"
	"syscall"
	"time"
)

// serveUnframed is the process of a model engine whose streams have neither a length nor chunks and end with their
// connections. It prints its address.
func serveUnframed(id, service, version string) {
	listener := listen("127.0.0.1:0")
	fmt.Println(listener.Addr())
	_ = http.Serve(listener, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		request := r.Header.Get("X-Request-Id")
		if expected := r.Header.Get("X-Expect-Instance"); expected != "" && expected != id {
			w.Header().Set("X-Instance-Id", id)
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		if r.URL.Path == "/-/report" {
			answer(w, map[string]any{"phase": "decode", "busy": false, "seq": 0})
			return
		}
		conn, buffered, err := w.(http.Hijacker).Hijack()
		if err != nil {
			return
		}
		defer func() { _ = conn.Close() }()
		writeUnframed(conn, buffered.Writer, r, request, fmt.Sprintf("text of %s %s", service, version), id)
	}))
}

func writeUnframed(conn net.Conn, out *bufio.Writer, r *http.Request, request, text, stamp string) {
	after, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	_, _ = fmt.Fprintf(out, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Request-Id: %s\r\nX-Response-Stamp: %s\r\nConnection: close\r\n\r\n", request, stamp)
	for n := after + 1; n <= streamEvents; n++ {
		_, _ = fmt.Fprintf(out, "id: %d\ndata: %s\n\n", n, text)
		if out.Flush() != nil {
			return
		}
		time.Sleep(eventGap)
	}
}

// startUnframed starts a process of serveUnframed and writes its entries.
func (s *site) startUnframed(id, service, zone, version string) (*engine, *exec.Cmd) {
	process := exec.Command(os.Args[0], "engine", id, service, version)
	process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	out, err := process.StdoutPipe()
	if err == nil {
		err = process.Start()
	}
	if err != nil {
		cannotRun("engine: %v", err)
	}
	address, err := bufio.NewReader(out).ReadString('\n')
	if err != nil {
		cannotRun("engine: %v", err)
	}
	e := &engine{
		site: s, id: id, service: service, zone: zone, version: version, phase: "decode", address: address[:len(address)-1],
		born: time.Now().UnixMilli(), state: "ready", handles: make(map[string]bool),
	}
	go e.beat()
	return e, process
}

// killedWhileLeaving drains one engine of six and kills its process while it completes its streams.
func killedWhileLeaving(s *site, trouble string) []string {
	zones := []string{"a", "a", "b", "b", "c", "c"}
	var processes []*exec.Cmd
	for i, zone := range zones {
		e, process := s.startUnframed(fmt.Sprintf("i-%d", i), "pool", zone, "v1")
		s.engines, processes = append(s.engines, e), append(processes, process)
	}
	defer func() {
		for _, process := range processes {
			_ = process.Process.Kill()
			_ = process.Wait()
		}
	}()
	s.configure(1, fmt.Sprintf(resumableRoute, `"service":"pool"`), engineService("pool"))
	s.addVMs(zones...)
	for _, v := range s.vms {
		v.start()
	}
	s.awaitReady()
	time.Sleep(8 * time.Second)
	if trouble != "0" {
		go func() {
			time.Sleep(time.Second)
			leaving := s.engines[1]
			if trouble != "kill" {
				s.record.add("%s reports draining", leaving.id)
				leaving.drain()
			}
			time.Sleep(1500 * time.Millisecond)
			if trouble != "drain" {
				s.record.add("the process of %s is killed", leaving.id)
				leaving.stopBeats()
				_ = processes[1].Process.Kill()
			}
		}()
	}
	return all(24, func(i int) string {
		t := s.follow(fmt.Sprintf("s%02d", i), s.vms[i%6], s.vms[(i+1)%6], request{method: "POST", path: "/res/1", tokens: "100,1440"}, 14*time.Second)
		return t.check()
	})
}
