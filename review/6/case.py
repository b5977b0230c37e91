"""A task that failed once on a machine that keeps running other work is never started again."""

import asyncio
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "stand-ins"))

from cluster import CannotRun, Worker, main, new_job  # noqa: E402

# The bound of the rule.
MAX_WAIT_S = 90.0
OBSERVED_S = 95.0


async def case(cluster, trouble):
    failed_at = []

    class FailOnce:
        """The first attempt of j-000002/0 fails as soon as it runs."""

        def __init__(self):
            self.step = Worker.step

        def __call__(self, worker):
            for task in list(worker.tasks.values()):
                if task.piece == "j-000002/0" and task.state == "running" and not failed_at:
                    failed_at.append(time.monotonic())
                    worker.end(task, "error")
            self.step(worker)

    if trouble:
        fail_once = FailOnce()
        Worker.step = lambda worker: fail_once(worker)

    # A service of one replica keeps a desk-node of 4 vCPUs in use; three quarters of the machine stay free.
    status, answer = await cluster.submit(new_job(1, jobclass="limit-recalc", shape="service", vcpus=1.0, guess_s=0.0))
    if status != 201:
        raise CannotRun("the service was not accepted: %s %s" % (status, answer))
    await cluster.wait_for(lambda: cluster.on.get("j-000001/0"), 20, "the service does not run")
    await asyncio.sleep(2.0)
    status, answer = await cluster.submit(new_job(2, jobclass="ticket-import", vcpus=1.0, guess_s=5.0))
    if status != 201:
        raise CannotRun("the job was not accepted: %s %s" % (status, answer))
    if trouble:
        await cluster.wait_for(lambda: failed_at, 15, "the job's task was never started")
    since = failed_at[0] if failed_at else time.monotonic()
    waiting_since = since
    longest = 0.0
    turn = 0
    while time.monotonic() < since + OBSERVED_S:
        await asyncio.sleep(2.0)
        turn += 1
        status, answer = await cluster.query("j-000002", cluster.names[turn % len(cluster.names)])
        rooms = room(cluster)
        cluster.record("free vCPUs", hosts=rooms)
        if status == 200 and answer["status"] == "done":
            return []
        if status == 200 and answer["status"] == "pending" and any(free >= 1.0 for free in rooms.values()):
            longest = max(longest, time.monotonic() - waiting_since)
        else:
            waiting_since = time.monotonic()
    if longest < MAX_WAIT_S:
        return []
    return ["a task of 1 vCPU that had failed once waited for %.0f s and was not started again, with free vCPUs on %s, "
            "1 of 160 vCPUs of its team in use, and machines to rent in every zone" % (longest, rooms)]


def room(cluster):
    """Returns the free vCPUs of each machine that is up."""
    return {name: host["worker"].cluster.rigs[host["kind"][0]]["vcpus"]
            - sum(task.job["vcpus"] for task in host["worker"].tasks.values() if task.state != "ended")
            for name, host in sorted(cluster.cloud.hosts.items()) if host["worker"]}


main(FOLDER, case)
