#!/usr/bin/env python3
"""Plays days of the users' bench with several seeds and compares the worth with an
earlier run of the same days and seeds.

usage: scripts/paired.py BENCH SITE REPORTS [--against REPORTS] [--days D,...] [--seeds N,...] [--jobs N] [--why TEXT]

Run at the root of the checkout that is measured. REPORTS is a folder that keeps a
report for each day and seed. The difference is a mean with its 95 % interval. DAY may
be a TOML file. Processor time is not charged, so that runs mostly repeat.
"""
import argparse
import concurrent.futures
import json
import math
import os
import re
import statistics
import subprocess
import sys


def standard_days(site):
    """The names of the days of a site file."""
    with open(site) as file:
        return [re.search(r'^name = "([^"]+)"', part, re.M).group(1) for part in file.read().split("[[day]]")[1:]]


def report_path(folder, day, seed):
    return os.path.join(folder, f"{os.path.basename(day)}-{seed}.json")


def play(arguments, day, seed):
    path = report_path(arguments.reports, day, seed)
    command = [arguments.bench, "run", arguments.site, day, "--seed", seed, "--jobs", "1", "--no-cpu", "--report", path, "--why", arguments.why]
    done = subprocess.run(command, capture_output=True, text=True)
    try:
        with open(path) as file:
            return json.load(file)
    except (OSError, ValueError):
        sys.exit(f"no report of {day}, seed {seed}: {(done.stdout + done.stderr)[-400:]}")


def earlier(folder, day, seed):
    """The worth of an earlier run, or None."""
    try:
        with open(report_path(folder, day, seed)) as file:
            return json.load(file)["G"]
    except (OSError, ValueError):
        return None


def interval(values):
    if len(values) < 2:
        return 0.0
    return 1.96 * statistics.stdev(values) / math.sqrt(len(values))


def describe(day, reports):
    worths = [report["G"] for report in reports]
    broken = sorted({rule for report in reports for rule in (report["breaks"] or {})})
    short = [text for report in reports for text in (report["short"] or [])]
    classes = {}
    for report in reports:
        for entry in report["classes"]:
            classes.setdefault(entry["name"], []).append(entry["worth"] or 0)
    text = f"{os.path.basename(day):12.12} {statistics.mean(worths):.3f}"
    text += "".join(f"  {name} {statistics.mean(values):.3f}" for name, values in classes.items())
    if broken:
        text += "  BROKEN " + " ".join(broken)
    if short:
        text += "  SHORT: " + short[0]
    return text


def main():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("bench")
    parser.add_argument("site")
    parser.add_argument("reports")
    parser.add_argument("--against", default="")
    parser.add_argument("--days", default="")
    parser.add_argument("--seeds", default="11,12,13,14,15")
    parser.add_argument("--jobs", type=int, default=max(os.cpu_count() // 2, 1))
    parser.add_argument("--why", default="trial: paired seeds")
    parser.add_argument("--brief", action="store_true", help="one line")
    arguments = parser.parse_args()
    days = arguments.days.split(",") if arguments.days else standard_days(arguments.site)
    seeds = arguments.seeds.split(",")
    os.makedirs(arguments.reports, exist_ok=True)
    subprocess.run([arguments.bench, "build"], check=True, capture_output=True)
    worths, differences, flags = [], [], set()
    with concurrent.futures.ThreadPoolExecutor(arguments.jobs) as pool:
        plays = {day: [pool.submit(play, arguments, day, seed) for seed in seeds] for day in days}
        for day, futures in plays.items():
            reports = [future.result() for future in futures]
            if not arguments.brief:
                print(describe(day, reports), flush=True)
            for seed, report in zip(seeds, reports):
                worths.append(report["G"])
                flags |= set(report["breaks"] or {}) | ({"SHORT"} if report["short"] else set())
                before = earlier(arguments.against, day, seed) if arguments.against else None
                if before is not None:
                    differences.append(report["G"] - before)
    line = f"mean worth {statistics.mean(worths):.4f} (n={len(worths)})"
    if differences:
        line += f"  difference {statistics.mean(differences):+.4f} +-{interval(differences):.4f}"
    print(line + "".join("  " + flag for flag in sorted(flags)))


main()
