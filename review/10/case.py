"""An entry of another writer stands among those of the instances when a primary is lost."""

import asyncio
import json
import os
import signal
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "standin-2"))
from standin import PING_S, Caller, Closed, main  # noqa: E402

MACHINES = 3
TENANT = ("council", ["key"], 2000, 2000)
# kanopi-host: recovery-s; all processes are killed at the end and are down for a second.
RECOVERY_S, DOWN_S, JUDGED_S = 12.0, 1.0, 10.0


async def run(deployment, trouble):
    record, group, store = deployment.record, deployment.group, deployment.store
    await deployment.start(MACHINES, [TENANT])
    await asyncio.sleep(2)
    if trouble:
        # Fields are missing (`version`, `cold-left-ms`, `seq`), and nothing listens at the address.
        entry = {"service": "db", "addr": "127.0.0.1:9", "zone": "a", "slots": 3, "state": "ready", "db-role": "replica"}
        store.put("servers/i-left-behind", json.dumps(entry).encode())
        record.write(f"another writer writes servers/i-left-behind {entry}")
    # Requests that were sent, and served: before the final fault, after the time to recover, and, for the
    # record only, after that time since the entry of the other writer was removed.
    counts = {"before": [0, 0], "after": [0, 0], "cleaned": [0, 0]}
    phase = "before"

    async def work(index):
        count = 0
        while phase != "over":
            route = ("primary", "own", "bounded")[index % 3]
            session = Caller(deployment.vms[index % MACHINES], route, "key")
            try:
                while phase != "over" and (await session.open()).startswith("READY"):
                    for _ in range(20):
                        count += 1
                        ident, text = f"r{index}-{count}", f"READ item{index}"
                        if count % 5 == 0:
                            text = f"WRITE item{index} {count}"
                        sent_in = phase
                        record.write(f"sent {ident} {text} on {route}")
                        outcome, _, _ = await session.query(ident, text)
                        record.write(f"answered {ident} {outcome}")
                        if sent_in in counts:
                            counts[sent_in][0] += 1
                            counts[sent_in][1] += outcome.startswith("DONE")
                        await asyncio.sleep(0.1)
                        if phase == "over":
                            return
                    session.close()
            except (Closed, OSError, asyncio.IncompleteReadError, asyncio.TimeoutError):
                await asyncio.sleep(0.1)
            session.close()

    workers = [asyncio.create_task(work(index)) for index in range(12)]
    await asyncio.sleep(8)
    phase = "fault"
    record.write("all processes are killed, and the primary is lost for good")
    group.members["i-1"].crash()
    # Entries are removed after three ping intervals of silence.
    asyncio.get_running_loop().call_later(3 * PING_S, store.delete, "servers/i-1")
    for vm in deployment.vms:
        vm.signal(signal.SIGKILL)
    await asyncio.gather(*(vm.process.wait() for vm in deployment.vms))
    await asyncio.sleep(DOWN_S)
    for vm in deployment.vms:
        await vm.start()
    record.write("the machines are back")
    await asyncio.sleep(RECOVERY_S)
    phase = "after"
    await asyncio.sleep(JUDGED_S)
    phase = "cleaning"
    record.write("the entry of the other writer is removed")
    store.delete("servers/i-left-behind")
    await asyncio.sleep(RECOVERY_S)
    phase = "cleaned"
    await asyncio.sleep(JUDGED_S)
    phase = "over"
    await asyncio.gather(*workers)
    shares = {name: served / max(1, asked) for name, (asked, served) in counts.items()}
    record.write(f"asked and served: {counts}")
    print(f"asked and served: {counts}")
    if shares["before"] < 0.25:
        raise RuntimeError("less than a quarter was served before the final fault")
    return shares["after"] < 0.25


main(FOLDER, run)
