"""A gang in one zone never runs, since the plan always begins in the zone with room for one of its tasks."""

import asyncio
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "stand-ins"))

from cluster import SMALL_CAPACITY, SMALL_SITE, CannotRun, main, new_job  # noqa: E402

OBSERVED_S = 95.0
FIRST_ZONE = "celje-basement"

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
# Ordinary vault-nodes: one in the first zone, or three without the disruption, and three in each of the others.
CAPACITY = {kind: count for kind, count in SMALL_CAPACITY.items() if kind[0] == "desk-node"}
CAPACITY.update({("vault-node", zone, False): 1 if TROUBLE and zone == FIRST_ZONE else 3
                 for zone in SMALL_SITE["zones"]})


async def case(cluster, trouble):
    # A service of one small replica on the first zone's vault-node, which keeps 31 of 32 vCPUs free.
    status, answer = await cluster.submit(new_job(1, jobclass="ticket-import", shape="service", vcpus=1.0,
                                                  rigs=["vault-node"], yard=FIRST_ZONE, guess_s=0.0))
    if status != 201:
        raise CannotRun("the service was not accepted: %s %s" % (status, answer))
    await cluster.wait_for(lambda: cluster.on.get("j-000001/0"), 18, "the service does not run")
    await asyncio.sleep(2.0)
    gang = new_job(2, jobclass="limit-recalc", shape="group", pieces=2, vcpus=30.0, mem_gb=100.0, together=True,
                   guess_s=5.0)
    status, answer = await cluster.submit(gang)
    if status != 201:
        raise CannotRun("the gang was not accepted: %s %s" % (status, answer))
    accepted_at = time.monotonic()
    turn = 0
    while time.monotonic() < accepted_at + OBSERVED_S:
        await asyncio.sleep(2.0)
        turn += 1
        status, answer = await cluster.query(gang["id"], cluster.names[turn % len(cluster.names)])
        if status == 200 and answer["status"] == "done":
            return []
    if any(piece.startswith(gang["id"]) for piece in cluster.on):
        raise CannotRun("the gang was started and not done")
    rented = {zone: sum(1 for host in cluster.cloud.hosts.values() if host["kind"][1] == zone)
              for zone in SMALL_SITE["zones"]}
    return ["a gang of two vault-nodes was not started in %.0f s; the cloud had three in each of two zones for it, and "
            "the machines rented by zone are %s" % (time.monotonic() - accepted_at, rented)]


main(FOLDER, case, capacity=CAPACITY)
