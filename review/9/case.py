"""The store loses answers for 4.5 s; a key that is withdrawn seconds later still works."""

import asyncio
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "standin-2"))
from standin import Caller, Closed, main  # noqa: E402

# Bounds of kivuli-dsm, which has six machines: contact-ms, config-apply-ms.
CONTACT_S, CONFIG_APPLY_S = 4.0, 3.0
# platform_lost: at most this share of the answers, for this time.
LOST_SHARE, LOST_FOR_S = 0.35, 4.5
MACHINES = 6
TENANT = ("council", ["key-kept", "key-withdrawn"], 200, 200)
WITHDRAWN = ("council", ["key-kept"], 200, 200)


async def run(deployment, trouble):
    record, group = deployment.record, deployment.group
    await deployment.start(MACHINES, [TENANT])
    await asyncio.sleep(3)
    sent, answers = {}, {}
    confirmed_at = None

    async def work(index, key):
        count = 0
        while True:
            session = Caller(deployment.vms[index % MACHINES], "own", key)
            try:
                while (await session.open()).startswith("READY"):
                    for _ in range(20):
                        count += 1
                        ident = f"{key}-{index}-{count}"
                        sent[ident] = time.monotonic()
                        record.write(f"sent {ident} READ a")
                        outcome, _, _ = await session.query(ident, "READ a")
                        record.write(f"answered {ident} {outcome}")
                        answers[ident] = outcome
                        if outcome.startswith("ERR NOAUTH"):
                            break
                        await asyncio.sleep(0.2)
                    session.close()
            except (Closed, OSError, asyncio.IncompleteReadError, asyncio.TimeoutError):
                pass
            session.close()
            await asyncio.sleep(0.2)

    callers = [asyncio.create_task(work(index, "key-withdrawn")) for index in range(MACHINES)]
    callers += [asyncio.create_task(work(index, "key-kept")) for index in range(MACHINES)]
    await asyncio.sleep(1)
    record.write("answers are lost from now on")
    for port in deployment.ports:
        # One answer to each machine: that to the watch which tells of the next configuration.
        port.loses = lambda path, query, port=port: (
            trouble and path == "/-/kv-watch" and query["prefix"] == "o" and port.lost_answers == 0
        )
    await asyncio.sleep(1)
    deployment.configure([TENANT])
    await asyncio.sleep(LOST_FOR_S - 1)
    for port in deployment.ports:
        port.loses = None
    lost = sum(port.lost_answers for port in deployment.ports)
    share = lost / sum(port.answers for port in deployment.ports)
    record.write(f"no answer is lost from now on; {lost} were, a share of {share:.2f}")
    if trouble and not 0 < share <= LOST_SHARE:
        raise RuntimeError(f"a share of {share:.2f} of the answers was lost")
    await asyncio.sleep(CONTACT_S + 1)
    deployment.configure([WITHDRAWN])
    confirmed_at = time.monotonic()
    await asyncio.sleep(30)
    for task in callers:
        task.cancel()
    ran = {ident: at for at, _, ident, _, _ in group.runs if ident.startswith("key-withdrawn")}
    late = [ident for ident in ran if sent[ident] > confirmed_at + CONFIG_APPLY_S]
    last = max((sent[ident] - confirmed_at for ident in late), default=0)
    kept = [ident for ident, outcome in answers.items() if ident.startswith("key-kept") and outcome.startswith("DONE")]
    text = (
        f"{len(late)} requests with the withdrawn key ran that were sent later than {CONFIG_APPLY_S} s after the"
        f" confirmation, the last one {last:.1f} s after it; {len(kept)} with the other key succeeded"
    )
    record.write(text)
    print(text)
    if not kept:
        raise RuntimeError("nothing was served")
    return bool(late)


main(FOLDER, run)
