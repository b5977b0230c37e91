"""A gang for which the region has too few machines holds the idle ones, and other teams' work never starts."""

import asyncio
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "stand-ins"))

from cluster import SMALL_CAPACITY, CannotRun, main, new_job  # noqa: E402

# The bound of the rule.
MAX_WAIT_S = 90.0
OBSERVED_S = 94.0

# One ordinary vault-node in two of the zones, and desk-nodes as in the small deployment.
CAPACITY = {kind: count for kind, count in SMALL_CAPACITY.items() if kind[0] == "desk-node"}
CAPACITY.update({("vault-node", "ljubljana-dc", False): 1, ("vault-node", "maribor-backup", False): 1})


async def case(cluster, trouble):
    # Tasks of 30 vCPUs need a vault-node each. The team's limit of 160 vCPUs allows three of them.
    gang = new_job(1, jobclass="limit-recalc", crew="order-desk", shape="group", pieces=3 if trouble else 2,
                   vcpus=30.0, mem_gb=100.0, guess_s=10.0)
    status, answer = await cluster.submit(gang)
    if status != 201:
        raise CannotRun("the gang was not accepted: %s %s" % (status, answer))
    idle = idle_vault_nodes(cluster)
    await cluster.wait_for(lambda: len(idle()) == 2 or len(cluster.done) == 2, 30, "no vault-nodes came up")
    # Another team's job of one task, urgent and well within that team's guarantee of 32 vCPUs.
    other = new_job(2, jobclass="ticket-import", crew="compliance", rank="urgent", vcpus=8.0, mem_gb=8.0, guess_s=5.0)
    status, answer = await cluster.submit(other)
    if status != 201:
        raise CannotRun("the other team's job was not accepted: %s %s" % (status, answer))
    submitted_at = time.monotonic()
    waiting_since = submitted_at
    longest = 0.0
    turn = 0
    while time.monotonic() < submitted_at + OBSERVED_S:
        await asyncio.sleep(2.0)
        turn += 1
        status, answer = await cluster.query(other["id"], cluster.names[turn % len(cluster.names)])
        cluster.record("idle vault-nodes", hosts=idle())
        if status == 200 and answer["status"] == "done":
            return []
        if status == 200 and answer["status"] == "pending" and idle():
            longest = max(longest, time.monotonic() - waiting_since)
        else:
            waiting_since = time.monotonic()
    if longest < MAX_WAIT_S:
        return []
    return ["an urgent job of 8 vCPUs, whose team used nothing, waited for %.0f s while vault-nodes of 32 vCPUs were "
            "up with nothing on them: %s" % (longest, ", ".join(idle()))]


def idle_vault_nodes(cluster):
    def idle():
        return [name for name, host in sorted(cluster.cloud.hosts.items())
                if host["kind"][0] == "vault-node" and host["worker"] and not host["worker"].tasks]
    return idle


main(FOLDER, case, capacity=CAPACITY)
