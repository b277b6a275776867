#!/usr/bin/env bash
# Runs the experiments of docs/CAPACITY.md, writes the rows of each to
# OUT/NAME.jsonl, and prints a table that compares the modes of configuration
# distribution.
# usage: bench/run.sh BIN OUT [NAME ...]
# BIN is the directory of the built programs. With NAMEs, only these experiments
# run; the table covers all rows in OUT.
set -euo pipefail
bin=$1 out=$2
shift 2
mkdir -p "$out"

# run NAME FLAG... runs one experiment, unless NAMEs were given and it is none of
# them.
run() {
  local name=$1
  shift
  if [ ${#only[@]} -gt 0 ] && [[ " ${only[*]} " != *" $name "* ]]; then
    return
  fi
  echo "# bench $*" >"$out/$name.jsonl"
  "$bin/bench" -bin "$bin" "$@" | tee -a "$out/$name.jsonl" | cut -c1-160
}

only=("$@")
for nodes in 20 100 400; do
  run "tree-$nodes" -way tree -nodes $nodes
  run "watch-$nodes" -way watch -nodes $nodes
done
run tree-1000 -way tree -nodes 1000
run idle-100 -nodes 100 -rate 0
run slow-100 -nodes 100 -rate 0.34 -span 30s
run fast-100 -nodes 100 -rate 10
run large-100 -nodes 100 -services 2800 -span 15s
run convergence-first -nodes 100 -flush 20ms -beat 250ms
run bytes-first -nodes 100 -flush 1s -beat 2s
run fan-out-4 -nodes 400 -fan-out 4
run fan-out-64 -nodes 400 -fan-out 64
run hub-loss -nodes 100 -span 18s -event hub-loss
run root-loss -nodes 100 -span 18s -event root-loss
run root-loss-beat-2s -nodes 100 -span 24s -event root-loss -beat 2s
run root-loss-term-1s -nodes 100 -span 18s -event root-loss -term 1s
run cut -nodes 100 -span 24s -event cut
run herd -nodes 100 -span 18s -event herd
run churn -nodes 100 -span 18s -event churn
run idle-100-beat-5s -nodes 100 -rate 0 -beat 5s
for nodes in 20 1000 19000; do
  run "size-$nodes" -way size -nodes $nodes -services $((nodes * 28 / 190 + 1)) -span 10s
done
run latency -way latency
run latency-traced -way latency -trace 1
run latency-sampled -way latency -trace 0.01
run overload -way overload -span 8s
run overload-no-policy -way overload -span 8s -policy=false
run overload-retry-share-1 -way overload -span 8s -set retry-share=1,retry-burst=1000

python3 - "$out" <<'P'
import glob, json, sys
rows = []
for path in sorted(glob.glob(sys.argv[1] + "/*.jsonl")):
    for line in open(path):
        if line.startswith("{") and '"p99-ms"' in line and '"nodes"' in line:
            rows.append((path.split("/")[-1][:-6], json.loads(line)))
print("%-20s %5s %5s %8s %8s %8s %9s %9s %6s %6s %6s" % ("run", "nodes", "rate", "p50 ms", "p99 ms", "max ms", "B/node/s", "link B/s", "cpu %", "MB", "watch"))
for name, r in rows:
    print("%-20s %5d %5.2f %8.1f %8.1f %8.1f %9.0f %9.0f %6.2f %6.1f %6d" % (name, r["nodes"], r["changes-per-second"], r["p50-ms"], r["p99-ms"], r["max-ms"], r["bytes-per-node-second"], r["link-bytes-second"], r["cpu-percent-per-node"], r["memory-mb-per-node"], r["watches-waiting"]))
P
