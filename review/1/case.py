"""A controller's forwarded heartbeats are held on their way to the leader, and it restarts."""

import asyncio
import os
import signal
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib"))
from standins import Cluster, CannotRun, call, job, main  # noqa: E402

# nuottikunta-render-fleet, with 26 machines: times and limits are those of the site.
SETTINGS = {
    "zones": ["jyvaskyla", "kuopio", "tampere-a", "tampere-b"],
    "teams": [{"name": "taitto-00", "cpus": 1500.0, "cpus_max": 2500.0,
               "gpus": 0.0, "gpus_max": 0.0}],
    "objectives": [],
    "workers": {"report_s": 4.0, "lease_s": 22.0, "gang_wait_s": 35.0, "gang_peer_s": 4.0,
                "cancel_s": 52.0},
    "state": {"rps": 500.0, "write_rps": 180.0, "value_kb": 16.0, "txn_ops": 48},
    "cloud": {"rps": 3.0, "list_lag_s": 4.0},
    "limits": {"cpu": 0.527, "memory_mb": 360.0, "max_sockets": 1874},
    "clock_off_ms": 250.0,
}
BUILDS = [{"label": "kantele16", "cores": 16.0, "accelerators": 0.0, "mem_gb": 64.0,
           "local_gb": 80.0, "fetch_gb_per_s": 0.8, "price": 0.92, "spot_price": 0.4,
           "startup_s": 15.0, "berths": ["jyvaskyla", "kuopio", "tampere-a", "tampere-b"]}]
ZONES = {"bollard-0": "tampere-a", "bollard-1": "tampere-b", "bollard-2": "tampere-a"}
LEADER, FORWARDER, OTHER = "bollard-0", "bollard-1", "bollard-2"


async def forwarded(cluster):
    """How many heartbeats the forwarding controller has passed on since it started."""
    try:
        _, metrics, _ = await call(cluster.client_addresses[FORWARDER], "GET", "/metrics", None, 1.0)
    except (OSError, asyncio.TimeoutError):
        return -1
    return metrics.get("reports_passed_on", -1)


async def case(folder, trouble):
    cluster = await Cluster(folder, SETTINGS, ZONES, BUILDS).start()
    try:
        cluster.start_controller(LEADER)
        await cluster.healthy(LEADER)
        await cluster.await_leader(LEADER)
        for name in (FORWARDER, OTHER):
            cluster.start_controller(name)
        for name in (FORWARDER, OTHER):
            await cluster.healthy(name)
        for n in range(26):
            # 16 machines in kuopio, every second one a spot machine, and ten in tampere-b.
            await cluster.add_worker("m-%06d" % (n + 1), "kantele16",
                                     "kuopio" if n < 16 else "tampere-b", n < 16 and n % 2 == 1,
                                     16.0, 64.0, 0.8, (40.0, 40.0), images=["img-preview"])
        workers = list(cluster.workers.values())
        kuopio = [w for w in workers if w.zone == "kuopio"]
        await cluster.wait_for("all machines report to the leader",
                               lambda: all(w.answered_by == LEADER and w.helm > 0
                                           for w in workers), 20)
        await asyncio.sleep(5)
        if trouble:
            await disrupt(cluster, kuopio)
        else:
            await submit(cluster)
        await asyncio.sleep(20)
        cluster.record("%d starts, %d breaches" % (cluster.rules.starts,
                                                   len(cluster.rules.broken)))
        if cluster.rules.starts == 0:
            raise CannotRun("no task was started")
        return cluster.rules.broken
    finally:
        cluster.close()


async def submit(cluster):
    """Replicas for ordinary machines in kuopio."""
    status, _ = await cluster.submit(OTHER, job(
        "req-000001", rig="live-preview", cut="service", rank="production", strokes=32,
        cores=4.0, mem_gb=15.0, hull="img-preview", image_gb=1.8, berth="kuopio",
        driftwood=False, reckon_s=0.0))
    if status != 201:
        raise CannotRun("the job was not accepted")


async def disrupt(cluster, kuopio):
    cluster.record("kuopio and tampere-a can't reach each other from now on")
    for worker in kuopio:
        worker.cut([LEADER, OTHER])
    # Workers come to bollard-1, are sent to the leader, can't reach it and come back: bollard-1
    # then forwards their heartbeats.
    await until_forwarded(cluster, 3, 15)
    # The network between bollard-1 and the leader is interrupted, and bollard-1 crashes.
    for link in (cluster.links[FORWARDER, LEADER], cluster.links[LEADER, FORWARDER]):
        link.hold()
    await submit(cluster)
    await asyncio.sleep(1.8)
    cluster.record("%s has forwarded %d heartbeats" % (FORWARDER, await forwarded(cluster)))
    cluster.signal(FORWARDER, signal.SIGKILL)
    await asyncio.sleep(0.5)
    cluster.start_controller(FORWARDER)
    await cluster.healthy(FORWARDER)
    await asyncio.sleep(3)
    # The interruption ends; what bollard-1 had sent arrives a second later than what was sent to it.
    cluster.links[LEADER, FORWARDER].release()
    await until_forwarded(cluster, 1, 10)
    await asyncio.sleep(1.2)
    cluster.record("%s has forwarded %d heartbeats since its restart" %
                   (FORWARDER, await forwarded(cluster)))
    cluster.links[FORWARDER, LEADER].release()


async def until_forwarded(cluster, count, within):
    await cluster.until("%s forwards heartbeats" % FORWARDER, lambda: forwarded(cluster),
                        lambda n: n >= count, within)


main(os.path.dirname(os.path.abspath(__file__)), "ran_twice", case)
