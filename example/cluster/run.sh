#!/bin/sh
# Starts a gateway of one machine with its stand-ins on loopback addresses, and shows a request served, a key refused
# and a configuration changed. Everything that it starts ends with it. Run it from the repository's root.
set -eu
data=$(mktemp -d)
trap 'kill $platform $gateway 2>/dev/null; wait 2>/dev/null; rm -rf "$data"' EXIT INT TERM
platform= gateway=
CGO_ENABLED=1 go build -ldflags=-linkmode=external -o target/ ./cmd/dunespoke-gateway ./example/cluster/platform
sed "s#^data_dir = .*#data_dir = \"$data\"#" example/cluster/settings.toml > "$data.toml"
target/platform -for 2m &
platform=$!
target/dunespoke-gateway serve --settings "$data.toml" > "$data.log" &
gateway=$!

# try repeats a command until it succeeds, for ten seconds at most.
try() {
	for _ in $(seq 50); do
		"$@" > /dev/null 2>&1 && return
		sleep 0.2
	done
	echo "no success: $*; the log is $data.log" >&2
	exit 1
}

# get asks the gateway with a key, and prints the status and the body.
get() {
	curl -s -m 2 -w ' (%{http_code})\n' -H "Attempt-Id: $1" -H "Key: $2" http://localhost:8388/hello/world
}

command="target/dunespoke-gateway"
try $command config put --endpoint 127.0.0.1:8381 example/cluster/config.json
try curl -sf http://127.0.0.1:8384/api/ready
echo "a request with a key of the configuration:"
get 1 try-me
echo "a request with another key:"
get 2 other
sed 's/"r1"/"r2"/; s/"try-me"/"other"/' example/cluster/config.json > "$data.json"
echo "what the next configuration changes:"
$command config diff --endpoint 127.0.0.1:8381 "$data.json"
$command config put --endpoint 127.0.0.1:8381 "$data.json"
sleep 1
echo "the same request, now that its key is in the configuration:"
get 3 other
$command status --endpoint 127.0.0.1:8381
rm -f "$data.toml" "$data.json" "$data.log"
