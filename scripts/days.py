#!/usr/bin/env python3
"""Writes days of trouble for the users' bench, and plays them.

usage: scripts/days.py draw BENCH SITE FOLDER --seed N [--count 12] [--each KIND,...]
       scripts/days.py matrix BENCH SITE FOLDER [--kinds K,...]
       scripts/days.py play BENCH SITE FOLDER [--small] [--jobs N] [--why TEXT] [--log FOLDER]

draw: days with three to seven troubles each, some at the same moment, a loss of the
holder of orders and a shift of demand among them, drawn from the seed alone; with
--each, one trouble of each of these kinds in every day. Judge a
change of policy on such days (scripts/paired.py takes their files), not on the days
that it was made on. matrix: each kind of trouble twice, and at once with each of: a
final loss of all machines, the holder killed, the store silent. play: prints the
rules that a day breaks, its worth, and its lowest class.

A day is the site's first quiet day with other troubles. The kinds are those that
`BENCH kinds SITE` lists; a kind that the site's own list has is taken with the figures
there.
"""
import argparse
import concurrent.futures
import json
import os
import random
import re
import subprocess
import sys
import tomllib

# Figures of every kind, with the variants that can strike a system without disks.
KINDS = [
    {"kind": "burst", "x": 2.0, "for_s": 4.0},
    {"kind": "shift", "share": 0.5, "for_s": 6.0},
    {"kind": "retry_abuse", "share": 0.3, "x": 3.0, "for_s": 5.0},
    {"kind": "give_up", "share": 0.2, "for_s": 5.0},
    {"kind": "srv_crash", "share": 0.15, "for_s": 4.0},
    {"kind": "srv_crash", "share": 0.15, "for_s": 4.0, "how": "dark"},
    {"kind": "srv_crash", "share": 0.1, "how": "gone"},
    {"kind": "srv_slow", "share": 0.15, "x": 4.0, "for_s": 5.0},
    {"kind": "srv_grey", "share": 0.15, "x": 0.4, "for_s": 6.0, "how": "errors"},
    {"kind": "srv_grey", "share": 0.15, "x": 0.4, "for_s": 6.0, "how": "shed"},
    {"kind": "srv_grey", "share": 0.15, "x": 0.4, "for_s": 6.0, "how": "hang"},
    {"kind": "srv_grey", "share": 0.15, "x": 0.4, "for_s": 6.0, "how": "reset"},
    {"kind": "srv_lying_health", "share": 0.1, "for_s": 6.0},
    {"kind": "srv_lying_health", "share": 0.1, "for_s": 6.0, "how": "bad"},
    {"kind": "srv_flap", "share": 0.15, "gap_s": 2.0, "for_s": 8.0},
    {"kind": "srv_cut", "share": 0.2, "for_s": 5.0},
    {"kind": "srv_cut", "share": 0.2, "for_s": 5.0, "how": "some"},
    {"kind": "release", "share": 0.3, "x": 1.0, "gap_s": 1.0},
    {"kind": "scale_out", "share": 0.25, "gap_s": 2.0},
    {"kind": "scale_in", "share": 0.15},
    {"kind": "scale_in", "share": 0.15, "x": 2.0, "how": "spot"},
    {"kind": "replace_with_reuse", "share": 0.15},
    {"kind": "replace_with_reuse", "share": 0.15, "how": "drain"},
    {"kind": "answer_lost", "share": 0.5, "x": 0.03, "for_s": 5.0},
    {"kind": "garble", "share": 0.5, "x": 0.02, "for_s": 5.0},
    {"kind": "garble", "share": 0.5, "x": 0.02, "for_s": 5.0, "how": "extra"},
    {"kind": "idle_race", "share": 0.5, "x": 300.0, "for_s": 5.0},
    {"kind": "node_kill", "share": 0.1},
    {"kind": "node_kill", "share": 0.1, "for_s": 3.0, "how": "power"},
    {"kind": "node_freeze", "share": 0.1, "for_s": 3.0},
    {"kind": "node_freeze", "on": "core", "count": 1, "for_s": 4.0, "how": "leader"},
    {"kind": "node_freeze", "on": "core", "count": 1, "for_s": 4.0, "how": "renewed"},
    {"kind": "node_slow", "share": 0.1, "x": 5.0, "for_s": 5.0},
    {"kind": "roll_term", "share": 0.5, "x": 2.0, "gap_s": 1.0},
    {"kind": "roll_term", "gap_s": 1.0, "how": "busy"},
    {"kind": "herd_kill", "share": 0.6},
    {"kind": "herd_kill", "share": 0.6, "for_s": 2.0, "how": "power"},
    {"kind": "add_nodes", "share": 0.75},
    {"kind": "hup", "share": 0.3, "gap_s": 2.0},
    {"kind": "core_cut", "count": 1, "for_s": 5.0, "how": "leader"},
    {"kind": "core_cut", "count": 1, "for_s": 5.0, "how": "one_way"},
    {"kind": "node_cut", "share": 0.15, "for_s": 5.0},
    {"kind": "node_cut", "share": 0.15, "for_s": 5.0, "how": "all"},
    {"kind": "node_cut", "share": 0.15, "for_s": 5.0, "how": "servers"},
    {"kind": "lossy", "x": 0.03, "for_s": 5.0},
    {"kind": "reset_conns", "share": 0.1, "x": 0.5, "for_s": 5.0},
    {"kind": "clock_step", "share": 0.3, "x": 2000.0, "for_s": 5.0, "how": "back"},
    {"kind": "clock_step", "share": 0.3, "x": 2000.0, "for_s": 5.0, "how": "ahead"},
    {"kind": "platform_down", "for_s": 4.0, "how": "silent"},
    {"kind": "platform_down", "for_s": 4.0, "how": "busy lapse"},
    {"kind": "platform_down", "for_s": 4.0, "how": "reset lapse"},
    {"kind": "platform_down", "share": 0.35, "for_s": 5.0, "how": "nodes"},
    {"kind": "platform_down", "share": 0.35, "for_s": 5.0, "how": "nodes leader"},
    {"kind": "platform_slow", "x": 50.0, "for_s": 4.0},
    {"kind": "platform_lost", "x": 0.3, "for_s": 4.0},
    {"kind": "platform_lost", "x": 0.3, "for_s": 4.0, "how": "late"},
    {"kind": "platform_compact", "x": 3.0, "for_s": 8.0},
    {"kind": "platform_compact", "x": 3.0, "for_s": 8.0, "how": "drain"},
    {"kind": "config_change", "how": "route"},
    {"kind": "config_change", "how": "weights"},
    {"kind": "config_change", "how": "timeout"},
    {"kind": "config_change", "how": "tenant"},
    {"kind": "config_change", "how": "quota"},
    {"kind": "config_change", "how": "quota down"},
    {"kind": "config_change", "how": "topup"},
    {"kind": "hot_tenant", "x": 7.5, "for_s": 6.0},
    {"kind": "hot_tenant", "x": 4.0, "for_s": 12.0, "count": 1},
    {"kind": "revoke", "count": 2, "gap_s": 1.5},
    {"kind": "revoke", "count": 1, "how": "last"},
    {"kind": "platform_down", "share": 0.35, "for_s": 9.0, "how": "nodes many revoke meet"},
    {"kind": "config_storm", "for_s": 3.0, "gap_s": 0.3},
    {"kind": "model_shift", "count": 1, "for_s": 6.0},
    {"kind": "applied_late", "x": 0.5, "for_s": 5.0},
    {"kind": "applied_late", "x": 0.5, "for_s": 5.0, "how": "orders"},
]
# What only deployments with tenants have.
OF_TENANTS = re.compile("tenant|quota|topup|revoke")
PLANNED = {"add_nodes", "config_change", "config_storm", "hup", "model_shift", "release", "revoke", "roll_term", "scale_in", "scale_out"}
HOLDER = [
    {"kind": "node_kill", "on": "core", "count": 1, "how": "leader"},
    {"kind": "node_freeze", "on": "core", "count": 1, "for_s": 4.0, "how": "leader"},
    {"kind": "core_cut", "count": 1, "for_s": 5.0, "how": "leader"},
]
CLOSINGS = ["kill_all", "power_off_all"]
# Companions of the matrix: what strikes at the same moment.
COMPANIONS = {
    "alone": None,
    "final": None,
    "holder": {"kind": "node_kill", "on": "core", "count": 1, "how": "leader"},
    "silent": {"kind": "platform_down", "for_s": 4.0, "how": "silent"},
}
# First and last second at which a trouble begins.
EARLIEST, LATEST = 2.0, 26.0


def site_of(path):
    with open(path, "rb") as file:
        return tomllib.load(file)


def quiet_day(path):
    """The text of the first quiet day without its name, plan, faults and closing."""
    with open(path) as file:
        parts = file.read().split("[[day]]")[1:]
    text = next(part for part in parts if re.search(r'^slot = "quiet"$', part, re.M))
    text = re.split(r"^\[(?!\[day)|^\[\[(?!day)", text, flags=re.M)[0]
    text = re.sub(r"^(plan|faults) = \[.*?^\]\n", "", text, flags=re.M | re.S)
    text = re.sub(r"^(plan|faults) = \[\]\n", "", text, flags=re.M)
    return re.sub(r"^(name|closing|labels|light) = .*\n", "", text, flags=re.M)


def entry(trouble):
    return "  { " + ", ".join(f"{key} = {json.dumps(value)}" for key, value in trouble.items()) + " },"


def write_day(folder, name, quiet, troubles, closing=None):
    planned = [trouble for trouble in troubles if trouble["kind"] in PLANNED]
    faults = [trouble for trouble in troubles if trouble["kind"] not in PLANNED]
    lines = ["[[day]]", f'name = "{name}"', "labels = []", quiet.strip()]
    if closing:
        lines.append("closing = { " + ", ".join(f"{key} = {json.dumps(value)}" for key, value in closing.items()) + " }")
    for key, entries in (("plan", planned), ("faults", faults)):
        lines += [f"{key} = [", *(entry(trouble) for trouble in entries), "]"]
    with open(os.path.join(folder, name + ".toml"), "w") as file:
        file.write("\n".join(lines) + "\n")


def site_kinds(arguments):
    """The site's own troubles, and those that may come there though it does not list them."""
    site = site_of(arguments.site)
    told = subprocess.run([arguments.bench, "kinds", arguments.site], capture_output=True, text=True, check=True).stdout
    open_kinds = set(re.findall(r"^([a-z_]+):", told, re.M))
    own = [{key: value for key, value in trouble.items() if key not in ("at", "zone", "service", "class")} for trouble in site.get("troubles", [])]
    listed = {(trouble["kind"], trouble.get("how", "")) for trouble in own}
    others = [trouble for trouble in KINDS if (trouble["kind"], trouble.get("how", "")) not in listed]
    others = [trouble for trouble in others if trouble["kind"] in open_kinds]
    if "tenants" not in site:
        others = [trouble for trouble in others if not OF_TENANTS.search(trouble["kind"] + " " + trouble.get("how", ""))]
    return own + others


def draw(arguments):
    quiet, kinds = quiet_day(arguments.site), site_kinds(arguments)
    source = random.Random(arguments.seed)
    for number in range(arguments.count):
        troubles = []
        moments = [round(source.uniform(EARLIEST, LATEST), 2) for _ in range(3)]
        for trouble in source.sample(kinds, source.randint(2, 5)):
            at = source.choice(moments) if source.random() < 0.5 else round(source.uniform(EARLIEST, LATEST), 2)
            troubles.append({"at": at, **trouble})
        for kind in filter(None, arguments.each.split(",")):
            trouble = source.choice([trouble for trouble in kinds if trouble["kind"] == kind])
            troubles.append({"at": round(source.uniform(EARLIEST, LATEST), 2), **trouble})
        if number % 2 == 0:
            troubles.append({"at": moments[0], **source.choice(HOLDER)})
            troubles.append({"at": round(moments[0] + 0.5, 2), "kind": "model_shift", "count": 2, "for_s": 4.0})
        closing = {"kind": source.choice(CLOSINGS), "down_s": 1.0} if number % 3 == 0 else None
        write_day(arguments.folder, f"drawn-{arguments.seed}-{number}", quiet, troubles, closing)


def matrix(arguments):
    quiet = quiet_day(arguments.site)
    wanted = arguments.kinds.split(",") if arguments.kinds else []
    for trouble in site_kinds(arguments):
        if wanted and trouble["kind"] not in wanted:
            continue
        for name, companion in COMPANIONS.items():
            troubles = [{"at": 6.0, **trouble}, {"at": 8.0, **trouble}]
            if companion:
                troubles += [{"at": 6.0, **companion}, {"at": 16.0, **trouble}, {"at": 16.0, **companion}]
            closing = None
            if name == "final":
                troubles.append({"at": 33.5, **trouble})
                closing = {"kind": "kill_all", "down_s": 1.0}
            label = "-".join([trouble["kind"], *trouble.get("how", "").split(), *(["core"] if trouble.get("on") else []), name])
            write_day(arguments.folder, label, quiet, troubles, closing)


def play_one(arguments, day):
    path = os.path.join(arguments.folder, day)
    report = path.removesuffix(".toml") + ".json"
    command = [arguments.bench, "run", arguments.site, path, "--jobs", "1", "--no-cpu", "--report", report, "--why", arguments.why]
    if arguments.small:
        command.append("--small")
    if arguments.log:
        command += ["--log", "all"]
    done = subprocess.run(command, capture_output=True, text=True)
    name = day.removesuffix(".toml")
    if arguments.log:
        with open(os.path.join(arguments.log, name + ".txt"), "w") as file:
            file.write(done.stdout + done.stderr)
    try:
        with open(report) as file:
            return describe(name, json.load(file))
    except (OSError, ValueError):
        return f"{name:40} NOT PLAYED: {(done.stdout + done.stderr).strip()[-300:]}"


def describe(name, report):
    classes = [(entry["worth"], entry["name"]) for entry in report["classes"] if entry["worth"] is not None]
    lowest = min(classes, default=(0, "none"))
    line = f"{name:40} worth {report['G']:.3f}  lowest {lowest[1]} {lowest[0]:.3f}"
    if report["breaks"]:
        line += "  BROKEN " + " ".join(sorted(report["breaks"]))
    if report["short"]:
        line += "  SHORT " + report["short"][0]
    return line


def play(arguments):
    if arguments.log:
        os.makedirs(arguments.log, exist_ok=True)
    days = sorted(name for name in os.listdir(arguments.folder) if name.endswith(".toml"))
    subprocess.run([arguments.bench, "build"], check=True, capture_output=True)
    with concurrent.futures.ThreadPoolExecutor(arguments.jobs) as pool:
        lines = []
        for line in pool.map(lambda day: play_one(arguments, day), days):
            print(line, flush=True)
            lines.append(line)
    broken = sum("BROKEN" in line for line in lines)
    print(f"{len(lines)} days, {broken} with a rule broken, {sum('NOT PLAYED' in line for line in lines)} not played")
    sys.exit(1 if broken else 0)


def main():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    verbs = parser.add_subparsers(required=True)
    drawing = verbs.add_parser("draw")
    drawing.add_argument("bench")
    drawing.add_argument("site")
    drawing.add_argument("folder")
    drawing.add_argument("--seed", type=int, required=True)
    drawing.add_argument("--count", type=int, default=12)
    drawing.add_argument("--each", default="")
    drawing.set_defaults(run=draw)
    crossing = verbs.add_parser("matrix")
    crossing.add_argument("bench")
    crossing.add_argument("site")
    crossing.add_argument("folder")
    crossing.add_argument("--kinds", default="")
    crossing.set_defaults(run=matrix)
    playing = verbs.add_parser("play")
    playing.add_argument("bench")
    playing.add_argument("site")
    playing.add_argument("folder")
    playing.add_argument("--small", action="store_true")
    playing.add_argument("--jobs", type=int, default=max(os.cpu_count() // 2, 1))
    playing.add_argument("--why", default="trial: days of trouble of our own")
    playing.add_argument("--log", default="")
    playing.set_defaults(run=play)
    arguments = parser.parse_args()
    os.makedirs(arguments.folder, exist_ok=True)
    arguments.run(arguments)


main()
