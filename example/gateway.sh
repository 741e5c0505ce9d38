#!/usr/bin/env sh
# Starts the general HTTP front of deploy/gateway.toml before a stand-in, and shows a request each way.
set -e
cd "$(dirname "$0")/.."
mkdir -p bin && go build -o bin/ ./cmd/...
bin/dunespoke-lab origin & origin=$!
DUNESPOKE_OPERATOR=deploy/gateway.toml bin/dunespoke & front=$!
trap 'kill $front; wait $front; kill $origin' EXIT
until curl -sf 'http://127.0.0.1:8080/small?bytes=0'; do sleep 0.1; done
echo "down, at 200 KB/s:"
curl -s -o /dev/null -w '%{http_code}, %{size_download} bytes in %{time_total} s\n' \
  'http://127.0.0.1:8080/down?bytes=400000&rate=200000'
echo "up, refused by the server after 1,000 bytes of 300,000:"
head -c 300000 /dev/zero | curl -s -o /dev/null -w '%{http_code}\n' -T - 'http://127.0.0.1:8080/up?early=1000'
