#!/usr/bin/env python3
"""Plays days that put the control side under its worst troubles, alone, twice and in pairs, and prints one table.

usage: worst_days.py FLEETBENCH SITES_DIR OUT [--jobs N] [--only WORD] [--set alone|twice|pairs]... [--why TEXT]

FLEETBENCH is the bench program, SITES_DIR the folder with the site files, OUT the folder for day files, logs and the table.
Each day plays in a process of its own, at most N at once (4), each bounded to 300 s. The exit code is 1 if any day broke a
rule, missed an acknowledgement, or had a process that ended by itself.
"""

import argparse
import concurrent.futures
import itertools
import pathlib
import re
import subprocess
import sys

SITES = ["psj-sloeline", "abay-scp"]
CLOSINGS = ["power_off_all", "wipe_after_ack", "kill_all"]
DAY_SECONDS = 300

# Each kind with each variant, as a fault or as planned work.
TROUBLES = {
    "replace": 'kind = "replace_core"',
    "replace-planned": 'kind = "replace_core", how = "planned"',
    "replace-oldest": 'kind = "replace_core", how = "oldest"',
    "turnover": 'kind = "seed_turnover"',
    "hup": 'kind = "hup", share = 1.0, gap_s = 2.0',
    "cut": 'kind = "core_cut", for_s = 6.0, how = "race hard"',
    "cut-leader-20": 'kind = "core_cut", for_s = 20.0, how = "leader meet hard"',
    "cut-all": 'kind = "core_cut", for_s = 6.0, how = "all race"',
    "cut-near": 'kind = "core_cut", for_s = 6.0, how = "near meet"',
    "cut-oldest": 'kind = "core_cut", for_s = 6.0, how = "oldest race"',
    "cut-one-way": 'kind = "core_cut", for_s = 6.0, how = "leader one_way race hard"',
    "cut-seeds": 'kind = "core_cut", for_s = 6.0, how = "seeds race"',
    "cut-both": 'kind = "core_cut", for_s = 6.0, how = "both race"',
    "cut-seeds-both": 'kind = "core_cut", for_s = 6.0, how = "seeds both"',
    "cut-lure": 'kind = "core_cut", for_s = 6.0, how = "lure meet"',
    "ack-kill": 'kind = "after_ack_kill", for_s = 3.0',
    "ack-kill-kill": 'kind = "after_ack_kill", for_s = 2.0, how = "kill"',
    "ack-kill-timed": 'kind = "after_ack_kill", for_s = 3.0, how = "timed"',
    "ack-kill-taken": 'kind = "after_ack_kill", for_s = 3.0, how = "taken"',
    "ack-kill-taken-gone": 'kind = "after_ack_kill", for_s = 3.0, how = "taken gone"',
    "ack-wipe": 'kind = "after_ack_wipe", for_s = 3.0',
    "ack-wipe-oldest": 'kind = "after_ack_wipe", for_s = 3.0, how = "oldest"',
    "ack-wipe-timed": 'kind = "after_ack_wipe", for_s = 3.0, how = "timed"',
    "herd-core": 'kind = "herd_kill", on = "core", for_s = 1.2, how = "race hard"',
    "herd-power": 'kind = "herd_kill", on = "core", for_s = 1.2, how = "power race hard"',
    "herd-taken": 'kind = "herd_kill", on = "core", for_s = 1.2, how = "taken"',
    "herd-taken-all": 'kind = "herd_kill", on = "core", for_s = 1.2, how = "taken all"',
    "disk-slow": 'kind = "disk_slow", for_s = 6.0, x = 30.0, how = "leader"',
    "disk-full": 'kind = "disk_full", for_s = 6.0, how = "leader"',
    "disk-stall": 'kind = "disk_stall", for_s = 6.0, how = "leader"',
    "race": 'kind = "config_race", count = 4, gap_s = 1.0',
    "storm": 'kind = "config_storm", count = 40, gap_s = 0.25',
    "ack-lost": 'kind = "ack_lost", for_s = 8.0, x = 0.7',
    "bad": 'kind = "bad_config", how = "same_version", count = 4, gap_s = 1.0',
    "old": 'kind = "bad_config", how = "old_version", count = 4, gap_s = 1.0',
    "freeze": 'kind = "node_freeze", on = "core", count = 1, for_s = 4.0, how = "leader race hard"',
    "term": 'kind = "roll_term", on = "core", share = 1.0, gap_s = 2.0',
    "clock": 'kind = "clock_step", share = 1.0, x = 30000, for_s = 8.0',
    "reset": 'kind = "reset_conns", share = 1.0, x = 1.0, for_s = 5.0',
}
PLANNED = {"hup", "turnover", "race", "storm", "bad", "old", "term", "ack-lost"}
# One of each kind, for the pairs.
PAIRED = [
    "replace", "replace-planned", "turnover", "hup", "cut-leader-20", "cut-one-way", "ack-kill", "ack-wipe",
    "herd-power", "disk-full", "disk-stall", "race", "storm", "ack-lost", "term",
]


def entries(names, times):
    """The lists `plan` and `faults` of a day: each name at each of its times."""
    plan = ['{ at = 2.0, kind = "config_change", how = "route" }', '{ at = 30.0, kind = "config_change", how = "idle" }']
    faults = []
    for name, at in zip(names, times):
        entry = f"{{ at = {at}, {TROUBLES[name]} }}"
        (plan if name in PLANNED else faults).append(entry)
    return f"plan = [\n  {', '.join(plan)}\n]\nfaults = [\n  {', '.join(faults)}\n]\n"


def day(name, names, times, number):
    head = f'name = "{name}"\nslot = "trouble"\nseed = {7000 + number}\none = 1.0\nzero = 0.3\ngoal = {{ floor = 0.2 }}\nlength_s = 44.0\n'
    closing = f'closing = {{ kind = "{CLOSINGS[number % 3]}", down_s = 1.0 }}\n'
    return head + closing + entries(names, times)


def days(sets):
    """Name, troubles and times of each day."""
    number = 0
    if "alone" in sets:
        for name in TROUBLES:
            number += 1
            yield name, day(name, [name], [8.0], number)
    if "twice" in sets:
        for name in TROUBLES:
            number += 1
            yield f"{name}+again", day(f"{name}+again", [name, name], [6.0, 20.0], number)
    if "pairs" in sets:
        for one, other in itertools.combinations(PAIRED, 2):
            number += 1
            yield f"{one}+{other}", day(f"{one}+{other}", [one, other], [7.0, 9.5], number)


def play(bench, site, name, path, log, why):
    command = [bench, "run", site, str(path), "--why", f"worst days: {why}"]
    try:
        done = subprocess.run(command, capture_output=True, text=True, timeout=DAY_SECONDS)
        text = done.stdout + done.stderr
    except subprocess.TimeoutExpired:
        text = "not played: it took too long"
    log.write_text(text)
    row = re.search(rf"^{re.escape(name)} .*$", text, re.M)
    worth = re.search(r"^worth ([0-9.]+) =", text, re.M)
    exits = re.search(r"([0-9.]+) exits of its own", text)
    broken = re.findall(r"^(?:rules broken|gate): .*$|.*BROKEN.*", text, re.M)
    faults = re.findall(r"^.*(?:GATE failed|gate failed|no acknowledgement|fault:).*$", text, re.M)
    missed = re.findall(r"^.*(?:missed: |never acked).*$", text, re.M)
    ended = float(exits.group(1)) if exits else -1.0
    return {
        "row": row.group(0) if row else "",
        "worth": float(worth.group(1)) if worth else -1.0,
        "exits": ended,
        "wrong": broken[:1] + faults[:2] + missed[:1],
        "bad": bool(broken or missed or ended != 0 or not worth),
    }


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("bench")
    parser.add_argument("sites")
    parser.add_argument("out")
    parser.add_argument("--jobs", type=int, default=4)
    parser.add_argument("--only", default="")
    parser.add_argument("--set", action="append", choices=["alone", "twice", "pairs"])
    parser.add_argument("--site", action="append", choices=SITES)
    parser.add_argument("--why", default="")
    options = parser.parse_args()
    out = pathlib.Path(options.out)
    out.mkdir(parents=True, exist_ok=True)
    subprocess.run([options.bench, "build"], check=True, capture_output=True)
    wanted = [(n, d) for n, d in days(options.set or ["alone", "twice", "pairs"]) if options.only in n]
    jobs, bad = [], 0
    with concurrent.futures.ThreadPoolExecutor(options.jobs) as pool:
        for site in options.site or SITES:
            for name, text in wanted:
                path = out / f"{site}-{name}.toml"
                path.write_text(text)
                site_file = f"{options.sites}/{site}.toml"
                log = out / f"{site}-{name}.log"
                jobs.append((site, name, pool.submit(play, options.bench, site_file, name, path, log, options.why)))
        for site, name, job in jobs:
            told = job.result()
            bad += told["bad"]
            mark = "BAD" if told["bad"] else "ok"
            wrong = "; ".join(line.strip()[-140:] for line in told["wrong"])
            print(f"| {site} | {name} | {told['worth']:.3f} | {told['exits']:.0f} | {mark} | {wrong} |", flush=True)
    print(f"{len(jobs)} days played, {bad} bad")
    return 1 if bad else 0


if __name__ == "__main__":
    sys.exit(main())
