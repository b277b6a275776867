#!/usr/bin/env python3
"""Breaks the code in one way for each promise, in a scratch copy, and prints
what the tests then report. Usage: simnet/breaks.py [PROMISE ...]"""
import os, shutil, subprocess, sys, tempfile

HISTORIES = ["./simnet", "-rapid.checks=1000", "-rapid.seed=1", "-rapid.shrinktime=0s"]
BREAKS = [
    ("1", "a node takes an older whole configuration", [
        ("conf/state.go", "if snap.Version <= s.Version {", "if snap.Version == s.Version {"),
        ("tree/spread.go", "if held.Version <= s.Conf.Version {", "if held.Version == s.Conf.Version {"),
        ("tree/spread.go", "if l.version >= s.Conf.Version {", "if l.version == s.Conf.Version {"),
    ], HISTORIES + ["-run", "TestConfiguration"]),
    ("2", "a change is not checked around its keys", [
        ("conf/check.go", "if s.inconsistent(key) {", "if false && s.inconsistent(key) {"),
    ], HISTORIES + ["-run", "TestConfiguration"]),
    ("3", "a delta is applied to whatever is held", [
        ("conf/state.go", "if d.From != s.Version {", "if false {"),
        ("conf/state.go", "if set.Digest() != d.Result {", "if false {"),
    ], HISTORIES + ["-run", "TestConfiguration"]),
    ("4", "an answer is taken without looking whose it is", [
        ("node/calls.go", "if err != nil || string(resp.Header.Peek(headerAttempt)) != e.Attempt.String() {", "if err != nil {"),
    ], ["./node", "-run", "TestAnswerOfAnotherAttempt"]),
    ("5", "a confirmed cancel is not remembered", [
        ("admit/admit.go", "\t\ts = s.withAttempt(e.Attempt, attemptRecord{\n\t\t\tphase: phaseRefused,\n\t\t})\n\t\tanswer.Confirmed = true", "\t\tanswer.Confirmed = true"),
    ], HISTORIES + ["-run", "TestRequests"]),
    ("6", "what may have run is sent again", [
        ("egress/egress.go", "case c.idempotent && !expired:", "case !expired:"),
    ], HISTORIES + ["-run", "TestRequests"]),
    ("7", "a leaving node takes new work", [
        ("admit/admit.go", "case s.draining:", "case false:"),
    ], HISTORIES + ["-run", "TestRequests"]),
    ("8", "a stopping node does not wait for its work", [
        ("core/core.go", "&& !s.Admit.Busy() && !s.Egress.Busy()", ""),
    ], HISTORIES + ["-run", "TestRequests"]),
    ("9", "a new root does not take over the accepted version", [
        ("commit/commit.go", "if e.Head.Version > held.Version {", "if false {"),
    ], HISTORIES + ["-run", "TestConfiguration"]),
    ("9, conflict", "a write that met a conflict is taken for accepted", [
        ("commit/commit.go", "if e.Err == nil {\n\t\treturn s.commitPending(", "if e.Err == nil || errors.Is(e.Err, cyclam.ErrConflict) {\n\t\treturn s.commitPending("),
    ], ["./commit", "-run", "TestAnswerOfAnEarlierTerm"]),
    ("placement", "rules are not looked at when picking", [
        ("egress/pick.go", " && v.Conf.Set.Allows(c.route.Service, e.Locality)", ""),
    ], HISTORIES + ["-run", "TestRequests"]),
]


def attempt(root, name, what, edits, test):
    with tempfile.TemporaryDirectory() as scratch:
        copy = os.path.join(scratch, "copy")
        shutil.copytree(root, copy, ignore=shutil.ignore_patterns(".git", "bin"))
        for path, old, new in edits:
            full = os.path.join(copy, path)
            text = open(full).read()
            if old not in text:
                print(f"promise {name}: {path} no longer holds what the break replaces: {old!r}")
                return False
            open(full, "w").write(text.replace(old, new, 1))
        run = subprocess.run(["go", "test", *test], cwd=copy, capture_output=True, text=True)
        lines = [l.strip() for l in run.stdout.splitlines() if "promise " in l or "got " in l]
        said = lines[0][:240] if lines else run.stdout.strip()[-240:]
        print(f"promise {name}: {what}\n  {'FAILED AS IT SHOULD' if run.returncode else 'STILL PASSES'}: {said}", flush=True)
        return run.returncode != 0


root = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
wanted = sys.argv[1:]
results = [attempt(root, *b) for b in BREAKS if not wanted or b[0] in wanted]
sys.exit(0 if all(results) else 1)
