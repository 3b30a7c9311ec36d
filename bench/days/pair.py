#!/usr/bin/env python3
"""Plays the same days and seeds on several builds, in turn, and compares them.

    pair.py --site SITE --days quiet-1,scale-1 --seeds 1,2,3 BUILD [BUILD...]

A BUILD is a checkout, or CHECKOUT:KEY=VALUE;... for one whose relay settings
are changed (a switch of the ablation). The first is what the others are held
against. Prints the mean difference of the worth, of each of its parts and of
each price, with the standard error of the mean over the pairs. A day that
breaks a rule is named; its worth still counts, since its rule is counted apart.
"""
import argparse
import concurrent.futures
import json
import math
import os
import re
import shutil
import subprocess
import sys
import tempfile

LEAST_SHOWN = 0.0005  # of worth; smaller differences of a part are left out


def changed_copy(checkout, changes, at):
    """A copy of the checkout whose template sets the relay's terms."""
    ignore = shutil.ignore_patterns("journal", "build", ".git", "target")
    shutil.copytree(checkout, at, ignore=ignore)
    path = os.path.join(at, "deploy", "settings.json")
    with open(path) as f:
        text = f.read()
    terms = ", ".join('"%s": %s' % tuple(c.split("=", 1)) for c in changes)
    text = re.sub(r'\n  "relay": \{[^\n]*\},', "", text)
    text = text.replace("{\n", '{\n  "relay": { %s },\n' % terms, 1)
    with open(path, "w") as f:
        f.write(text)
    subprocess.run(["git", "init", "-q"], cwd=at, check=True)
    subprocess.run(["git", "add", "-A"], cwd=at, check=True)
    subprocess.run(["git", "-c", "user.name=pair", "-c", "user.email=pair@example.org",
                    "commit", "-q", "-m", "changed terms"], cwd=at, check=True)
    return at


def keep_journal(root, into):
    """Entries of plays on copies are kept with the others."""
    source = os.path.join(root, "journal")
    if os.path.isdir(source) and os.path.realpath(source) != os.path.realpath(into):
        shutil.copytree(source, into, dirs_exist_ok=True)


def play(program, root, site, day, seed, why, cpu):
    report = tempfile.mktemp(suffix=".json")
    command = [program, "run", site, day, "--report", report, "--why", why]
    if seed != "0":
        command += ["--seed", seed]
    if not cpu:
        command += ["--no-cpu"]
    done = subprocess.run(command, cwd=root, capture_output=True, text=True)
    if not os.path.exists(report):
        return None, done.stdout[-300:] + done.stderr[-300:]
    with open(report) as f:
        result = json.load(f)
    os.unlink(report)
    return result, ""


def figures(result):
    out = {"worth": result["G"], "served": result["served"], "refused": result["refused"]}
    for name, _, value in result["parts"]:
        out[name] = value
    for name, _, value in result["prices"]:
        out["price: " + name] = value
    return out


def mean_and_error(values):
    mean = sum(values) / len(values)
    if len(values) < 2:
        return mean, float("nan")
    variance = sum((v - mean) ** 2 for v in values) / (len(values) - 1)
    return mean, math.sqrt(variance / len(values))


def compare(name, base, other):
    keys = list(base[0][1])
    print("\n%s" % name)
    for key in keys:
        a, _ = mean_and_error([f[key] for _, f in base])
        difference, error = mean_and_error(
            [g[key] - f[key] for (_, f), (_, g) in zip(base, other)])
        if key in ("worth", "served", "refused") or abs(difference) >= LEAST_SHOWN:
            print("  %-44s %7.4f -> %7.4f  %+.4f +- %.4f" % (key, a, a + difference, difference, error))
    for (what, f), (_, g) in zip(base, other):
        print("    %-22s %.4f -> %.4f" % (what, f["worth"], g["worth"]))


def main():
    parser = argparse.ArgumentParser(description=__doc__,
                                     formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--program", default=os.environ.get("FLEETBENCH"))
    parser.add_argument("--site", required=True)
    parser.add_argument("--days", required=True)
    parser.add_argument("--seeds", default="0", help="0: the day's own")
    parser.add_argument("--jobs", type=int, default=5)
    parser.add_argument("--why", required=True)
    parser.add_argument("--no-cpu", action="store_true")
    parser.add_argument("--journal", default="journal", help="where entries go")
    parser.add_argument("builds", nargs="+")
    args = parser.parse_args()
    program = os.path.abspath(args.program)
    site = os.path.abspath(args.site)
    scratch = tempfile.mkdtemp(prefix="pair-")
    roots = []
    for i, build in enumerate(args.builds):
        checkout, _, changes = build.partition(":")
        root = os.path.abspath(checkout)
        if changes:
            root = changed_copy(root, changes.split(";"), os.path.join(scratch, str(i)))
        roots.append(root)
        subprocess.run([program, "build"], cwd=root, check=True, capture_output=True)
    plays = [(day, seed) for day in args.days.split(",") for seed in args.seeds.split(",")]
    results = {}
    with concurrent.futures.ThreadPoolExecutor(args.jobs) as pool:
        jobs = {}
        for day, seed in plays:
            for i, root in enumerate(roots):
                job = pool.submit(play, program, root, site, day, seed, args.why, not args.no_cpu)
                jobs[job] = (i, day, seed)
        for job, key in jobs.items():
            result, error = job.result()
            if result is None:
                print("not played: %s: %s" % (key, error), file=sys.stderr)
                continue
            results[key] = result
            if result["breaks"] or result["fault"]:
                print("broken: %s %s --seed %s: %s %s" %
                      (args.builds[key[0]], key[1], key[2], result["breaks"], result["fault"] or ""))
    for root in roots:
        keep_journal(root, args.journal)
    whole = [p for p in plays if all((i, *p) in results for i in range(len(roots)))]
    rows = [[("%s/%s" % p, figures(results[(i, *p)])) for p in whole] for i in range(len(roots))]
    if not whole:
        return 1
    if len(rows) == 1:
        compare(args.builds[0], rows[0], rows[0])
    for i in range(1, len(rows)):
        compare("%s against %s" % (args.builds[i], args.builds[0]), rows[0], rows[i])
    shutil.rmtree(scratch)
    return 0


if __name__ == "__main__":
    sys.exit(main())
