"""The state service refuses the leader alone while a user cancels a job at another controller. See claim.txt."""

import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "lib"))

import standins  # noqa: E402
from standins import now  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"

REFUSED_FOR_S = 20.0  # node_cut with from_state in the site files: 42.0 and 46.5 s
# A command that is in flight when the user is told is excused. A report that the worker sends so long after the user
# was told cannot be answered by a command from before.
IN_FLIGHT_S = 0.5

KINDS = [
    {"label": "debarker-large", "vcpus": 32.0, "cards": 0.0, "mem_gb": 256.0, "cache_gb": 80.0, "fetch_gb_per_s": 0.2,
     "price": 1.74, "spot_price": 0.67, "boot_s": 25.0, "yards": ["macon-room", "charlotte-colo"]},
]
CAPACITY = {("debarker-large", "macon-room", False): 1}

JOB = {"id": "j-412007", "jobclass": "scale-ticket", "crew": "rules-desk", "shape": "array", "rank": "low",
       "pieces": 600, "vcpus": 1.0, "cards": 0.0, "mem_gb": 2.3, "build": "img-1", "size_gb": 0.1, "rigs": None,
       "yard": None, "together": False, "scatter": False, "loaners": False, "guess_s": 2.0, "stamp_every_s": 0.0,
       "stamp_s": 0.0, "due_s": None}
RUN_S = 2.0

SETTINGS = {
    "limits": {"rps": 250.0, "write_rps": 60.0, "value_kb": 16.0, "txn_ops": 16},
    "workers": {"report_s": 1.0, "lease_s": 10.0, "gang_wait_s": 35.0, "gang_peer_s": 6.0, "cancel_s": 35.0},
    "teams": [{"name": "rules-desk", "cpus": 24.0, "cpus_max": 64.0},
              {"name": "market-research", "cpus": 32.0, "cpus_max": 88.0}],
    "zones": ["macon-room", "mobile-rack", "charlotte-colo"],
    "quota": {"cores": 0.04, "memory_mb": 56.0, "max_connections": 900},
}


async def run(world):
    await world.start(KINDS, CAPACITY, ["millhand-0", "millhand-1", "millhand-2"])
    if not await world.healthy(15.0) or not await world.submit(JOB, RUN_S):
        return 2
    deadline = now() + 30
    while world.starts < 120 and now() < deadline:
        await asyncio.sleep(0.05)
    leader = world.state.last_renewal
    if leader is None or now() >= deadline:
        return 2
    if TROUBLE:
        world.record.add("the state service refuses one controller alone", node=leader)
        world.state.refused.add(leader)
    refused_at = now()
    await asyncio.sleep(0.1)
    other = next(node for node in world.nodes if node["name"] != leader)
    told_at, told = await world.cancel(JOB["id"], other)
    if told != "cancelled":
        return 2
    world.record.add("the user is told", status=told)
    while now() < refused_at + REFUSED_FOR_S:
        await asyncio.sleep(0.1)
    world.state.refused.clear()
    await asyncio.sleep(10.0)
    late = [(t, piece, sent) for t, piece, sent in world.all_starts if sent is not None and sent > told_at + IN_FLIGHT_S]
    result = {"leader": leader, "told at": round(told_at, 3), "task starts before": sum(1 for t, _, _ in world.all_starts if t < told_at),
              "started by later commands": len(late), "last of them after s": round(max((t for t, _, _ in late), default=told_at) - told_at, 3),
              "controllers ended": world.ended_nodes()}
    world.record.add("result", **result)
    print(f"{now():.1f} s:", result)
    if world.ended_nodes():
        return 2
    return 1 if late else 0


if __name__ == "__main__":
    sys.exit(standins.main(FOLDER, run, SETTINGS))
