#!/usr/bin/env python3
"""Plays days of one kind in a row and writes one table: each day's figures, and each cold server's worst window.

    plays.py BENCH SITE --seeds 1-20,656658727599 [--kind KIND] [--rounds N] [--cpus 0,1,2] [--out FILE] [--why TEXT]
                       [--extra "--nodes 60"] [--wrap "taskset -c 0"]

Run from the root of the repository. The balancers are started by a deploy file of their own that turns the trace of sends
to cold servers on. A server's window is what all balancers sent it within the rule's time, by the mean work of each class
of the site file, as a multiple of what its cores could then do at the share that was told to balancers; the rule breaks at
the rule's factor, and a little over it for chance. True speeds and the day's true work are not told: a figure can be
far too low (a server of the first report fell at 1.9). One row a play, and under it each window from --near on.
"""

import argparse
import collections
import json
import pathlib
import re
import subprocess
import tempfile
import tomllib

SENT = re.compile(
    r"cold: sent to (\S+), (\d+) ms old, request \d+, attempt (\d+), on (\w+), class (\d+), share ([\d.]+), "
    r"pace ([\d.]+|inf) ms, warm (\d+), window ([\d.]+), all cold (\w+)")


def seeds(text):
    for part in text.split(","):
        first, _, last = part.partition("-")
        yield from range(int(first), int(last or first) + 1)


def config(text):
    """The settings that a balancer was told, from the first line of its log."""
    at = text.find('{"control"')
    if at < 0:
        return None
    return json.JSONDecoder().raw_decode(text[at:])[0]["settings"]


def balancers(logs):
    """Each balancer that was told its settings: its name, their rules, its tier, its log."""
    for path in sorted(pathlib.Path(logs).iterdir()):
        text = path.read_text(errors="replace")
        settings = config(text)
        if settings is not None:
            yield path.stem, settings["Rules"], settings["Stage"], text


def windows(logs, site):
    """The worst window of each cold server: multiple, server, age, sends, attributes of its sends."""
    sends = collections.defaultdict(list)
    rules = None
    for balancer, rules, tier, text in balancers(logs):
        for m in SENT.finditer(text):
            name, age, attempt, cause, cls, share, pace, warm, window, cold = m.groups()
            work = site["tier"][tier]["work"] * sum(site["class"][int(cls)]["work_ms"]) / 2
            sends[tier, name].append((int(age), work, balancer, int(attempt), cause, float(pace), int(warm), cold))
    worst = []
    for (tier, name), list_ in sends.items():
        list_.sort()
        cores = site["tier"][tier]["kind"][0]["cores"]
        first, total, best = 0, 0.0, (0.0,)
        for last, send in enumerate(list_):
            total += send[1]
            while list_[first][0] + rules["TipAfterMs"] <= send[0]:
                total -= list_[first][1]
                first += 1
            share = min(1.0, rules["ColdFrom"] + (1 - rules["ColdFrom"]) * send[0] / rules["WarmAfterMs"])
            multiple = total / (cores * share * rules["TipAfterMs"])
            if multiple > best[0]:
                best = (multiple, tier, name, send[0], share, list_[first:last + 1])
        worst.append(best)
    return sorted(worst, key=lambda w: -w[0]), rules


ATTEMPT = re.compile(r"^([\d.]+) attempt: sent to (\S+), request \d+, attempt (\d+), class (\d+)", re.M)
LISTED = re.compile(r"^([\d.]+) cold: listed (\S+), (\d+) ms old", re.M)


def unaware(logs, site):
    """For each server that started, the worst window of all that was sent to it, also by balancers that had not been told:
    multiple, the part of it by those that had, server, age; and how late the last balancer was told after the first."""
    started, told, sends, tiers, rules = {}, collections.defaultdict(dict), collections.defaultdict(list), {}, None
    for balancer, rules, tier, text in balancers(logs):
        for m in LISTED.finditer(text):
            at, name, age = float(m[1]) * 1000, m[2], int(m[3])
            start = started.setdefault(name, at - age)
            tiers[name] = tier
            if at - age > start + 100:
                started[name] = at - age
                told[name].clear()
            told[name].setdefault(balancer, at)
        for m in ATTEMPT.finditer(text):
            work = site["tier"][tier]["work"] * sum(site["class"][int(m[4])]["work_ms"]) / 2
            sends[m[2]].append((float(m[1]) * 1000, balancer, work))
    rows = []
    for name, start in started.items():
        cores = site["tier"][tiers[name]]["kind"][0]["cores"]
        list_ = sorted(s for s in sends[name] if s[0] >= start)
        best, first = (0.0,), 0
        for last, (at, _, _) in enumerate(list_):
            while list_[first][0] + rules["TipAfterMs"] <= at:
                first += 1
            share = min(1.0, rules["ColdFrom"] + (1 - rules["ColdFrom"]) * (at - start) / rules["WarmAfterMs"])
            inside = list_[first:last + 1]
            total = sum(s[2] for s in inside)
            knew = sum(s[2] for s in inside if told[name].get(s[1], 1e12) <= s[0])
            multiple = total / (cores * share * rules["TipAfterMs"])
            if multiple > best[0]:
                best = (multiple, knew / total, name, round(at - start), len(inside))
        late = max(told[name].values()) - min(told[name].values())
        if len(best) > 1:
            rows.append((*best, round(late)))
    return sorted(rows, reverse=True)


def why(window):
    """What let a window's sends go, in counts."""
    _, _, _, _, _, sends = window
    causes = collections.Counter(s[4] for s in sends)
    return "{} sends by {}: {}; further {}, warm 0 {}, all cold {}, pace {:.0f} to {:.0f} ms".format(
        len(sends), len({s[2] for s in sends}), " ".join(f"{n} on {c}" for c, n in causes.most_common()),
        sum(s[3] > 0 for s in sends), sum(s[6] == 0 for s in sends), sum(s[7] == "true" for s in sends),
        min(s[5] for s in sends), max(s[5] for s in sends))


def main():
    args = argparse.ArgumentParser()
    args.add_argument("bench")
    args.add_argument("site")
    args.add_argument("--seeds", required=True)
    args.add_argument("--kind", default="zone+vast")
    args.add_argument("--rounds", type=int, default=1)
    args.add_argument("--cpus")
    args.add_argument("--out", default="/dev/stdout")
    args.add_argument("--why", default="margins of cold servers")
    args.add_argument("--near", type=float, default=2.0)
    args.add_argument("--extra", default="")
    args.add_argument("--wrap", default="")
    args.add_argument("--deploy", default="deploy/trace.toml")
    args = args.parse_args()
    site = tomllib.loads(pathlib.Path(args.site).read_text())
    with open(args.out, "a") as out:
        for seed in [s for s in seeds(args.seeds) for _ in range(args.rounds)]:
            with tempfile.TemporaryDirectory() as logs:
                report = pathlib.Path(logs) / "report.json"
                command = [*args.wrap.split(), args.bench, args.site, "--rough", args.kind, "--seed", str(seed), "--logs",
                           f"{logs}/logs", "--json", str(report), "--deploy", args.deploy, "--why", args.why,
                           *args.extra.split()]
                if args.cpus:
                    command += ["--cpus", args.cpus]
                run = subprocess.run(command, capture_output=True, text=True)
                try:
                    day = json.loads(report.read_text())
                except (OSError, ValueError):
                    print(seed, "no report:", (run.stderr or run.stdout).strip()[-300:], file=out, flush=True)
                    continue
                day, text = day["row"], day["text"]
                worst, rules = windows(f"{logs}/logs", site)
                broken = {r: n for r, n in (day.get("rules") or {}).items() if n}
                told = f"told {rules['ColdFrom']:.2f} {rules['WarmAfterMs'] / 1000:.0f} s" if rules else ""
                print(f"{seed} G {day['G']:.3f} score {day['score']:.2f} broken {broken or 'none'} {told} windows",
                      " ".join(f"{w[0]:.2f}" for w in worst[:3]), "of", len(worst), file=out)
                for line in text.splitlines():
                    if broken and ("fell" in line or "broke" in line or "push" in line):
                        print("    bench:", line.strip(), file=out)
                for w in [w for w in worst if w[0] >= args.near] or worst[:1]:
                    print(f"    {w[0]:.2f} {w[2]} tier {w[1]} at {w[3]} ms, share {w[4]:.2f}: {why(w)}", file=out)
                for multiple, knew, name, age, count, late in unaware(f"{logs}/logs", site)[:2]:
                    print(f"    with the unaware {multiple:.2f} {name} at {age} ms: {count} sends, {knew:.2f} of them told;",
                          f"the last told {late} ms after the first", file=out)
                out.flush()


if __name__ == "__main__":
    main()
