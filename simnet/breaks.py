#!/usr/bin/env python3
"""Checks that the tests detect the loss of each guarantee of docs/PROOFS.md: breaks
the code in one way for each, in a scratch copy, and prints what the test reports.
Exits non-zero if a test still passes or the code to replace is not found.
Usage: simnet/breaks.py [GUARANTEE ...]"""
import os, shutil, subprocess, sys, tempfile

SCENARIOS = ["./simnet", "-rapid.checks=1000", "-rapid.seed=1", "-rapid.shrinktime=0s"]
# Each entry: guarantee, fault, edits (file, text, replacement), arguments of go test.
BREAKS = [
    ("1", "a node accepts an older full configuration", [
        ("conf/state.go", "if snap.Version <= s.Version {", "if snap.Version == s.Version {"),
        ("tree/spread.go", "if held.Version <= s.Conf.Version {", "if held.Version == s.Conf.Version {"),
        ("tree/spread.go", "if l.version >= s.Conf.Version {", "if l.version == s.Conf.Version {"),
    ], SCENARIOS + ["-run", "TestConfiguration"]),
    ("2", "a change is accepted without checking the references of its keys", [
        ("conf/check.go", "if s.inconsistent(key) {", "if false && s.inconsistent(key) {"),
    ], SCENARIOS + ["-run", "TestConfiguration"]),
    ("3", "a delta is applied to any base version, without checking its digest", [
        ("conf/state.go", "if d.From != s.Version {", "if false {"),
        ("conf/state.go", "if set.Digest() != d.Result {", "if false {"),
    ], SCENARIOS + ["-run", "TestConfiguration"]),
    ("4", "an answer is accepted without checking which attempt it belongs to", [
        ("node/calls.go", "if err != nil || string(resp.Header.Peek(headerAttempt)) != e.Attempt.String() {", "if err != nil {"),
    ], ["./node", "-run", "TestAnswerOfAnotherAttempt"]),
    ("5", "a confirmed cancel is not recorded", [
        ("admit/admit.go", "\t\ts = s.withAttempt(e.Attempt, attemptRecord{\n\t\t\tphase: phaseRefused,\n\t\t})\n\t\tanswer.Confirmed = true", "\t\tanswer.Confirmed = true"),
    ], SCENARIOS + ["-run", "TestRequests"]),
    ("6", "a call that may have run is retried though it is not idempotent", [
        ("egress/egress.go", "case c.idempotent && !expired:", "case !expired:"),
    ], SCENARIOS + ["-run", "TestRequests"]),
    ("7", "a draining node accepts new work", [
        ("admit/admit.go", "case s.draining:", "case false:"),
    ], SCENARIOS + ["-run", "TestRequests"]),
    ("8", "a stopping node does not wait for its calls and work in progress", [
        ("core/core.go", "&& !s.Admit.Busy() && !s.Egress.Busy()", ""),
    ], SCENARIOS + ["-run", "TestRequests"]),
    ("9", "a new root does not adopt the accepted version", [
        ("commit/commit.go", "if e.Head.Version > held.Version {", "if false {"),
    ], SCENARIOS + ["-run", "TestConfiguration"]),
    ("9, conflict", "a write that failed with a conflict is treated as accepted", [
        ("commit/commit.go", "if e.Err == nil {\n\t\treturn s.commitPending(", "if e.Err == nil || errors.Is(e.Err, cyclam.ErrConflict) {\n\t\treturn s.commitPending("),
    ], ["./commit", "-run", "TestAnswerOfAnEarlierTerm"]),
    ("placement", "the picker ignores placement rules", [
        ("egress/pick.go", " && v.Conf.Set.Allows(c.route.Service, e.Locality)", ""),
    ], SCENARIOS + ["-run", "TestRequests"]),
]


def run_break(root, guarantee, fault, edits, test):
    with tempfile.TemporaryDirectory() as scratch:
        copy = os.path.join(scratch, "copy")
        shutil.copytree(root, copy, ignore=shutil.ignore_patterns(".git", "bin"))
        for path, old, new in edits:
            full = os.path.join(copy, path)
            text = open(full).read()
            if old not in text:
                print(f"guarantee {guarantee}: {path} does not contain the text to replace: {old!r}")
                return False
            open(full, "w").write(text.replace(old, new, 1))
        run = subprocess.run(["go", "test", *test], cwd=copy, capture_output=True, text=True)
        lines = [l.strip() for l in run.stdout.splitlines() if "guarantee " in l or "got " in l]
        report = lines[0][:240] if lines else run.stdout.strip()[-240:]
        print(f"guarantee {guarantee}: {fault}\n  {'DETECTED' if run.returncode else 'NOT DETECTED'}: {report}", flush=True)
        return run.returncode != 0


root = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
wanted = sys.argv[1:]
results = [run_break(root, *b) for b in BREAKS if not wanted or b[0] in wanted]
sys.exit(0 if all(results) else 1)
