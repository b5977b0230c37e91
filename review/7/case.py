"""A huge array of small tasks: its machine's reports outgrow the 64 KiB that the controllers read."""

import asyncio
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "stand-ins"))

from cluster import CannotRun, main, new_job  # noqa: E402

OBSERVED_S = 100.0


async def case(cluster, trouble):
    # One line for each of some thousand tasks would hide the rest of the record.
    cluster.quiet |= {"launch", "task starts", "task ends"}
    job = new_job(1, jobclass="history-sweep", crew="migration-crew", pieces=1280 if trouble else 300,
                  vcpus=0.025, mem_gb=0.05, rigs=["vault-node"], guess_s=30.0)
    status, answer = await cluster.submit(job)
    if status != 201:
        raise CannotRun("the job was not accepted: %s %s" % (status, answer))
    accepted_at = time.monotonic()
    workers = {}
    turn = 0
    while time.monotonic() < accepted_at + OBSERVED_S:
        await asyncio.sleep(2.0)
        turn += 1
        status, answer = await cluster.query(job["id"], cluster.names[turn % len(cluster.names)])
        for host in cluster.cloud.hosts.values():
            if host["worker"]:
                workers[host["worker"].name] = host["worker"]
        for worker in workers.values():
            cluster.record("worker", host=worker.name, tasks=len(worker.tasks), session=worker.shift,
                           largest_report=worker.largest_report, answers_by_status=worker.statuses)
        if status == 200 and answer["status"] == "done":
            return []
    lost = sum(worker.sessions_lost for worker in workers.values())
    refused = sum(worker.statuses.get(413, 0) for worker in workers.values())
    largest = max((worker.largest_report for worker in workers.values()), default=0)
    done = len(cluster.done)
    text = ("accepted %d s ago and not done: %d of %d tasks of 30 s were ever completed; workers lost %d sessions "
            "with all their tasks; %d reports got 413, the largest had %d bytes"
            % (OBSERVED_S, done, job["pieces"], lost, refused, largest))
    if lost < 2 or refused == 0:
        raise CannotRun("not done for another reason: " + text)
    return [text]


main(FOLDER, case)
