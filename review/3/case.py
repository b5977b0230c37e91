"""All controllers are away for longer than a lease, while a ledger is kept. See claim.txt."""

import asyncio
import json
import os
import subprocess
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "lib"))

import standins  # noqa: E402
from standins import ROOT, now  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"

AWAY_S = 14.0  # longer than lease_s, which is 10 s
RUN_S = 26.0
PIECES = 8

KINDS = [
    {"label": "debarker-large", "vcpus": 32.0, "cards": 0.0, "mem_gb": 256.0, "cache_gb": 80.0, "fetch_gb_per_s": 0.2,
     "price": 1.74, "spot_price": 0.67, "boot_s": 25.0, "yards": ["macon-room", "charlotte-colo"]},
]
CAPACITY = {("debarker-large", "macon-room", False): 2}

JOB = {"id": "j-412007", "jobclass": "scale-ticket", "crew": "rules-desk", "shape": "array", "rank": "low",
       "pieces": PIECES, "vcpus": 1.0, "cards": 0.0, "mem_gb": 2.3, "build": "img-1", "size_gb": 0.1, "rigs": None,
       "yard": None, "together": False, "scatter": False, "loaners": False, "guess_s": RUN_S, "stamp_every_s": 0.0,
       "stamp_s": 0.0, "due_s": None}

SETTINGS = {
    "limits": {"rps": 250.0, "write_rps": 60.0, "value_kb": 16.0, "txn_ops": 16},
    "workers": {"report_s": 1.0, "lease_s": 10.0, "gang_wait_s": 35.0, "gang_peer_s": 6.0, "cancel_s": 35.0},
    "teams": [{"name": "rules-desk", "cpus": 24.0, "cpus_max": 64.0},
              {"name": "market-research", "cpus": 32.0, "cpus_max": 88.0}],
    "zones": ["macon-room", "mobile-rack", "charlotte-colo"],
    "quota": {"cores": 0.04, "memory_mb": 56.0, "max_connections": 900},
    "deploy": "fair-share.toml",
}


def ledger(world, *words):
    """Asks the controllers for the ledger with the operators' command."""
    command = [os.path.join("target", "release", "gannethub"), "ledger", "--config", world.nodes[0]["file"],
               "--ledger", os.path.join("deploy", "fair-share.ledger"), *words]
    return subprocess.run(command, cwd=ROOT, capture_output=True, text=True, timeout=20)


async def run(world):
    await world.start(KINDS, CAPACITY, ["millhand-0", "millhand-1", "millhand-2"])
    world.record.add("controllers are started with", run=world.run_command())
    if not await world.healthy(15.0) or not await world.submit(JOB, RUN_S):
        return 2
    world.spawn(world.poll(JOB["id"]))
    deadline = now() + 20
    while world.starts < PIECES and now() < deadline:
        await asyncio.sleep(0.05)
    await asyncio.sleep(8.0)
    if TROUBLE:
        for node in world.nodes:
            world.kill_node(node)
        await asyncio.sleep(AWAY_S)
        for node in world.nodes:
            world.start_node(node)
    else:
        await asyncio.sleep(AWAY_S)
    while world.jobs[JOB["id"]].get("told") != "done" and now() < 100:
        await asyncio.sleep(0.2)
    await asyncio.sleep(8.0)
    return judge(world, await asyncio.to_thread(ledger, world, "list", "--output", "json"))


def judge(world, answer):
    for line in answer.stdout.splitlines():
        world.record.add("ledger line", line=line)
    if answer.returncode != 0 or world.jobs[JOB["id"]].get("told") != "done" or world.ended_nodes():
        print("could not run:", answer.returncode, answer.stderr[:300], world.jobs[JOB["id"]].get("told"))
        return 2
    charged = {}
    for line in answer.stdout.splitlines():
        entry = json.loads(line)
        attempt = (f"{entry['job']}/{entry['task']}", entry["attempt"])
        charged[attempt] = charged.get(attempt, 0) + 1
    used = {attempt: until - since for attempt, (_, since, until, _) in world.usage.items() if until is not None}
    missing = {attempt: time for attempt, time in used.items() if attempt not in charged}
    twice = [attempt for attempt, count in charged.items() if count > 1]
    result = {"attempts on machines": len(used), "time on machines": round(sum(used.values()), 1),
              "attempts charged": len(charged), "attempts not charged": len(missing),
              "time not charged": round(sum(missing.values()), 1), "charged twice": len(twice)}
    for attempt, time in missing.items():
        world.record.add("not charged", piece=attempt[0], try_no=attempt[1], ran_s=round(time, 1),
                         ended=world.usage[attempt][3])
    world.record.add("result", **result)
    print(f"{now():.1f} s:", result)
    return 1 if missing or twice else 0


if __name__ == "__main__":
    sys.exit(standins.main(FOLDER, run, SETTINGS))
