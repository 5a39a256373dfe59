"""A planned replacement of a core machine, then the loss of another one."""
import asyncio
import os
import signal
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "harness-2"))
import deployment as d  # noqa: E402


async def case(system, trouble):
    record = system.record
    platform = d.Platform(system)
    await platform.start()
    core = [system.add_machine(zone) for zone in ("za", "zb", "zc")]
    system.seeds = [system.control_address(machine) for machine in core]
    for machine in core:
        system.start(machine, "control", bootstrap=True)
    operator = d.Operator(system, list(core))
    first = d.configuration(1, [], [])
    if (await operator.until_clear("PUT", "/api/config", first))[0] != 200:
        raise d.CannotRun("the first config was not acknowledged")
    await asyncio.sleep(2)
    if trouble:
        # Planned: the new machine first, then SIGTERM of the old one.
        new = system.add_machine("za")
        system.start(new, "control")
        operator.nodes.append(new)
        # The new machine counts as lost for catch-up-s after its start.
        await asyncio.sleep(d.BOUNDS["catch-up-s"] + 2)
        old = core[0]
        system.signal(old, "control", signal.SIGTERM)
        operator.nodes.remove(old)
        old.processes["control"].wait()
        record(old.name, "has ended and is removed for good")
        await asyncio.sleep(1)
        # One more machine is lost for good; an empty one comes 1 s later.
        lost = core[1]
        system.signal(lost, "control", signal.SIGKILL)
        operator.nodes.remove(lost)
        record(lost.name, "is lost for good")
        await asyncio.sleep(1)
        system.seeds = [system.control_address(machine)
                        for machine in operator.nodes]
        another = system.add_machine("zb")
        system.start(another, "control")
        operator.nodes.append(another)
        # Calm from here on: the core counts as stable after contact-ms, and
        # the new machine is no loss any more after catch-up-s.
        await asyncio.sleep(d.BOUNDS["catch-up-s"] + 1)
    else:
        await asyncio.sleep(13)
    second = d.configuration(2, [], [])
    status, _ = await operator.until_clear("PUT", "/api/config", second, 30)
    record("second config:", status or "no clear answer in 30 s")
    status, body = await operator.until_clear("GET", "/api/config", b"", 30)
    record("read back:", status or "does not come in 30 s")
    return status != 200 or body not in (first, second)


if __name__ == "__main__":
    sys.exit(d.main(case, HERE))
