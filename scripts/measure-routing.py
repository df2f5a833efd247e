#!/usr/bin/env python3
"""Compares the routing policies, each run on newly started stand-ins and nodes.

    scripts/measure-routing.py target/release RESULTS --seeds 1 2 3
    filbertctl experiment --results RESULTS --out docs/measurements/load

Every run writes one JSON file to RESULTS. A run whose file exists is skipped, so that an
interrupted measurement can be continued.
"""

import argparse
import pathlib
import subprocess
import sys
import tempfile
import time

from fleet import Fleet

POLICIES = ("round-robin", "least-loaded", "prefix")
MODELS = {"piton-frost": "fitting", "zagadka": "storyteller"}
RATES_PER_S = {"piton-frost": 100, "zagadka": 60}
NOTICE_S = 3
CACHE_BLOCKS = 2048
# Factor on the user's rate. Without prefix caches, the busy load exceeds the prefill capacity of
# the engines.
RATE_FACTORS = {"busy": 2}
# Engine options of each scenario. VMs are reclaimed after a third of the run.
SCENARIOS = {
    "steady": [],
    "busy": [],
    "lag-1s": ["--load-lag-ms", 1000],
    "lag-5s": ["--load-lag-ms", 5000],
    "events-lost": ["--cache-event-loss-percent", 30],
    "reclaim-wave": [],
    "lost-data-center": [],
}


def vms_to_reclaim(fleet, scenario):
    """Returns the VMs that are reclaimed in the scenario."""
    if scenario == "reclaim-wave":
        runners = fleet.vms_of_kind("runner")
        return [runners[index] for index in (0, 4, 8, 9)]
    if scenario == "lost-data-center":
        return [vm for vm in fleet.vms if vm["data_center"] == "dc-a"]
    return []


def load_command(options, fleet, user, scenario, policy, seed, out):
    rate = (options.rate or RATES_PER_S[user]) * RATE_FACTORS.get(scenario, 1)
    command = [options.binaries / "filbertctl", "load", "--user", user, "--seed", seed,
               "--rate", rate, "--seconds", options.seconds,
               "--label", policy, "--scenario", scenario, "--out", out]
    for address in fleet.caller_addresses():
        command += ["--node", address]
    for vm in fleet.vms_of_kind("runner"):
        command += ["--engine", vm["address"]]
    for vm in fleet.vms_of_kind("application"):
        command += ["--service", vm["address"]]
    return [str(part) for part in command]


def run_measurement(options, user, scenario, policy, seed, out):
    engine_args = ["--models", MODELS[user], "--cache-blocks", CACHE_BLOCKS, *SCENARIOS[scenario]]
    with tempfile.TemporaryDirectory(prefix="filbertlead-measure-") as directory:
        with Fleet(options.binaries, directory, policy=policy, engine_args=engine_args) as fleet:
            print_command = [str(options.binaries / "filbertctl"), "load", "--user", user,
                             "--print-configuration"]
            fleet.push(subprocess.run(print_command, check=True, capture_output=True,
                                      text=True).stdout)
            fleet.wait_ready()
            command = load_command(options, fleet, user, scenario, policy, seed, out)
            load = subprocess.Popen(command, stdout=subprocess.DEVNULL)
            try:
                reclaim_vms(options, fleet, scenario)
                load.wait()
            finally:
                if load.poll() is None:
                    load.kill()
                    load.wait()
            return load.returncode


def reclaim_vms(options, fleet, scenario):
    vms = vms_to_reclaim(fleet, scenario)
    if not vms:
        return
    time.sleep(options.seconds / 3)
    fleet.announce_reclaim(vms, NOTICE_S)
    time.sleep(NOTICE_S)
    fleet.reclaim(vms)


def main():
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("binaries", type=pathlib.Path, help="folder with the built binaries")
    parser.add_argument("results", type=pathlib.Path, help="folder for the result files")
    parser.add_argument("--seeds", type=int, nargs="+", default=[1, 2, 3])
    parser.add_argument("--users", nargs="+", default=list(MODELS), choices=list(MODELS))
    parser.add_argument("--scenarios", nargs="+", default=list(SCENARIOS), choices=list(SCENARIOS))
    parser.add_argument("--policies", nargs="+", default=list(POLICIES), choices=list(POLICIES))
    parser.add_argument("--seconds", type=int, default=15, help="duration of sending calls")
    parser.add_argument("--rate", type=float, help="calls per second, instead of the user's rate")
    options = parser.parse_args()
    options.results.mkdir(parents=True, exist_ok=True)
    for scenario in options.scenarios:
        for user in options.users:
            for seed in options.seeds:
                for policy in options.policies:
                    out = options.results / f"{user}-{scenario}-{policy}-{seed}.json"
                    if out.exists():
                        continue
                    code = run_measurement(options, user, scenario, policy, seed, out)
                    print(f"{out.name}: exit {code}", flush=True)
    return 0


if __name__ == "__main__":
    sys.exit(main())
