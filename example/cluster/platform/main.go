// Command platform plays, on loopback addresses, what an exchange has around it: the platform's list of
// servers, and one server that greets. It ends by itself after the given time.
package main

import (
	"encoding/json"
	"flag"
	"fmt"
	"log"
	"net/http"
	"time"
)

func main() {
	list := flag.String("list", "127.0.0.1:8382", "address of the list of servers")
	server := flag.String("server", "127.0.0.1:8401", "address of the server")
	life := flag.Duration("for", 10*time.Minute, "how long to play")
	flag.Parse()
	const id = "greeter-1"
	platform := http.NewServeMux()
	platform.HandleFunc("GET /servers", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		json.NewEncoder(w).Encode(map[string]any{"next_token": nil, "servers": map[string]any{"home": []any{
			map[string]any{"id": id, "backend": "greeter", "address": *server, "zone": "home", "version": "v1",
				"capacity": 2, "state": "warm", "warmup_left_s": 0}}}})
	})
	greeter := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Attempt-Id", r.Header.Get("Attempt-Id"))
		w.Header().Set("Server-Id", id)
		if to := r.Header.Get("Target-Server"); to != "" && to != id {
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		w.Header().Set("Server-Seal", "example")
		fmt.Fprintf(w, "good day, %s\n", r.Header.Get("Customer"))
	})
	go func() { log.Fatal(http.ListenAndServe(*list, platform)) }()
	go func() { log.Fatal(http.ListenAndServe(*server, greeter)) }()
	time.Sleep(*life)
}
