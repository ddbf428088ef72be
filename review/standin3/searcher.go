package main

import (
	"context"
	"crypto/sha256"
	"flag"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"
)

func withConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// runSearcher is the process of one searcher. It writes one line to standard output for each
// request that arrives, runs and ends:
//
//	arrive|shed|other|run|end ID REQUEST NANOSECONDS
func runSearcher(args []string) {
	fs := flag.NewFlagSet("searcher", flag.ExitOnError)
	id := fs.String("id", "", "id of the searcher")
	addr := fs.String("address", "", "address to listen on")
	slots := fs.Int("slots", 2, "requests that run at the same time")
	queue := fs.Int("queue", 12, "requests that wait")
	least := fs.Int("least-ms", 20, "shortest work")
	most := fs.Int("most-ms", 40, "longest work")
	records := fs.Int("records", 0, "records of a part; 0 for plain answers")
	_ = fs.Parse(args)

	var (
		mu      sync.Mutex
		running atomic.Int64
		waiting atomic.Int64
		served  atomic.Int64
	)

	say := func(what, request string) {
		mu.Lock()
		defer mu.Unlock()

		fmt.Fprintln(os.Stdout, what, *id, request, time.Now().UnixNano())
	}

	free := make(chan struct{}, *slots)
	handle := func(w http.ResponseWriter, r *http.Request) {
		request := r.Header.Get("X-Request-Id")
		if e := r.Header.Get("X-Expect-Instance"); e != "" && e != *id {
			say("other", request)
			w.Header().Set("X-Instance-Id", *id)
			w.WriteHeader(http.StatusMisdirectedRequest)

			return
		}

		w.Header().Set("X-Request-Id", request)
		say("arrive", request)

		if waiting.Add(1) > int64(*queue+*slots) {
			waiting.Add(-1)
			say("shed", request)
			w.Header().Set("X-Not-Executed", "1")
			w.WriteHeader(http.StatusServiceUnavailable)

			return
		}

		select {
		case free <- struct{}{}:
		case <-r.Context().Done():
			waiting.Add(-1)

			return
		}

		waiting.Add(-1)
		running.Add(1)
		say("run", request)

		defer func() {
			running.Add(-1)
			<-free
		}()

		work := time.Duration(*least) * time.Millisecond
		if *most > *least {
			work += rand.N(time.Duration(*most-*least) * time.Millisecond)
		}

		select {
		case <-time.After(work):
		case <-r.Context().Done():
			return
		}

		sum := sha256.Sum256([]byte(*id + "/" + request))
		body := []byte(fmt.Sprintf("answer of %s to %s %s\n", *id, request, r.RequestURI))

		if *records > 0 {
			body = nil
			for i := range *records {
				rec := sha256.Sum256([]byte(fmt.Sprint(*id, request, i)))
				body = append(body, rec[:16]...)
			}
		}

		w.Header().Set("X-Response-Stamp", fmt.Sprintf("%x.%d", sum[:8], served.Add(1)))
		w.Header().Set("X-Server-Load", fmt.Sprintf("%d,%d,%d", running.Load(), waiting.Load(), *slots))
		w.Header().Set("Content-Length", fmt.Sprint(len(body)))
		w.Header().Set("Keep-Alive", "timeout=30")
		_, _ = w.Write(body)
		say("end", request)
	}

	l, err := net.Listen("tcp", *addr)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}

	fmt.Fprintln(os.Stdout, "ready", *id, "-", time.Now().UnixNano())

	_ = http.Serve(l, http.HandlerFunc(handle))
}
