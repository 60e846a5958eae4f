"""A tenant leaves the configuration while a machine is stopped, and requests of it wait for their turn."""

import asyncio
import os
import signal
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "standin-2"))
from standin import Caller, Closed, main  # noqa: E402

# `canopy-view` of kanopi-host: aim 600 ms, route's timeout 2,000 ms, time budget 6,000 ms.
TIMEOUT_S, BUDGET_S, SLACK_S, GRACE_S = 2.0, 6.0, 0.2, 6.0
ROUTES = [
    {"host": "view", "type": "bounded", "max-staleness-ms": 1500, "timeout-ms": 2000, "slo-ms": 600, "priority": 2}
]
RATE = 20
STAYS, LEAVES = ("stays", ["key-s"], RATE, RATE), ("leaves", ["key-l"], RATE, RATE)
# 30 requests every 1.5 s: the tenant asks its rate and no more, and a third of each wave exceeds its burst.
WAVE, PERIOD_S = 30, 1.5
WAVES_BEFORE = 4
WORKERS = 8
SIGTERM_BEFORE_LAST_WAVE_S = 4.25
CONFIGURATION_AFTER_LAST_WAVE_S = 0.1


async def run(deployment, trouble):
    record = deployment.record
    # The zone has one machine, so that the platform goes on sending consumers there while it isn't ready.
    await deployment.start(1, [STAYS, LEAVES], ROUTES)
    vm = deployment.vms[0]
    await asyncio.sleep(4)
    cut, answered = [], {}

    async def ask(ident):
        """One session with one operation."""
        session, sent_at = Caller(vm, "view", "key-l"), None
        try:
            if not (await session.open()).startswith("READY"):
                return
            sent_at = time.monotonic()
            record.write(f"sent {ident} READ a")
            outcome, _, _ = await session.query(ident, "READ a")
            record.write(f"answered {ident} {outcome}")
            code = outcome.split(" ")[1] if outcome.startswith("ERR") else "DONE"
            answered[code] = answered.get(code, 0) + 1
        except Closed:
            age = time.monotonic() - sent_at
            record.write(f"the connection ended without an answer to {ident}, {age:.3f} s after it was sent")
            cut.append((ident, round(age, 3)))
        except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError):
            pass
        finally:
            session.close()

    async def work():
        """Sessions of the other tenant, with transactions of up to 12 statements and pauses between them."""
        while vm.process.returncode is None:
            session = Caller(vm, "view", "key-s")
            try:
                while (await session.open()).startswith("READY"):
                    await session.query("t", "BEGIN READ")
                    for index in range(10):
                        await asyncio.sleep(0.3)
                        await session.query(f"t{index}", "READ a")
                    await session.query("t", "COMMIT")
                    session.close()
                    await asyncio.sleep(0.2)
            except (Closed, OSError, asyncio.IncompleteReadError, asyncio.TimeoutError):
                pass
            session.close()
            await asyncio.sleep(0.2)

    background = []
    for _ in range(WORKERS):
        background.append(asyncio.create_task(work()))
        await asyncio.sleep(0.4)
    started_at = time.monotonic() + 0.5
    last_wave_at = started_at + PERIOD_S * WAVES_BEFORE
    events = [(started_at + PERIOD_S * wave, "wave") for wave in range(WAVES_BEFORE + 1)]
    events.append((last_wave_at - SIGTERM_BEFORE_LAST_WAVE_S, "stop"))
    events.append((last_wave_at + CONFIGURATION_AFTER_LAST_WAVE_S, "configure"))
    asked, stopped_at = [], None
    for at, event in sorted(events):
        await asyncio.sleep(max(0, at - time.monotonic()))
        if event == "wave":
            asked += [asyncio.create_task(ask(f"q{len(asked) + index}")) for index in range(WAVE)]
        elif event == "stop":
            stopped_at = time.monotonic()
            record.write("SIGTERM")
            vm.signal(signal.SIGTERM)
        else:
            deployment.configure([STAYS] if trouble else [STAYS, LEAVES], ROUTES)
    await asyncio.wait_for(vm.process.wait(), GRACE_S)
    record.write(f"the process ended {time.monotonic() - stopped_at:.3f} s after SIGTERM")
    await asyncio.wait_for(asyncio.gather(*asked), 5)
    for task in background:
        task.cancel()
    # LOST: more than loss-slack-ms after the request was sent, before the route's timeout and the time budget.
    lost = [one for one in cut if SLACK_S < one[1] < min(TIMEOUT_S, BUDGET_S)]
    record.write(f"answered: {answered}; cut: {cut}; LOST counts: {lost}")
    print(f"answered: {answered}; requests that LOST counts: {len(lost)} {lost[:6]}")
    return bool(lost)


main(FOLDER, run)
