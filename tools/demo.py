"""Starts stand-ins and three nodes in three availability zones, runs a mixed load and prints its summary."""

import argparse
import pathlib
import subprocess
import sys

import fleet


def address_list(processes):
    """Returns the addresses of processes as the comma-separated list that the load driver takes."""
    return ",".join(f"127.0.0.1:{process.port}" for process in processes)


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--duration-s", type=int, default=10, help="duration of the load in seconds")
    parser.add_argument("--rate", type=float, default=8, help="requests per second")
    parser.add_argument("--adapters", type=int, default=3000, help="number of adapters in the catalogue")
    parser.add_argument("--zipf", type=float, default=1.3, help="exponent of the adapter popularity")
    parser.add_argument("--seed", type=int, default=1, help="seed of the random load")
    parser.add_argument("--keep", action="store_true", help="keep the fleet running until Enter is pressed")
    arguments = parser.parse_args()

    with fleet.Fleet() as running_fleet:
        nodes = list(running_fleet.nodes.values())
        print(f"{len(nodes)} nodes, {len(running_fleet.engines)} engines, {len(running_fleet.services)} services")
        command = [
            running_fleet.binaries / "lagoonsaddle_load",
            f"--nodes={address_list(nodes)}",
            f"--adapters={arguments.adapters}",
            f"--rate={arguments.rate}",
            f"--duration-s={arguments.duration_s}",
            f"--seed={arguments.seed}",
            f"--zipf={arguments.zipf}",
            f"--service-counters={address_list(running_fleet.services.values())}",
            f"--engine-counters={address_list(running_fleet.engines.values())}",
        ]
        status = subprocess.run([str(part) for part in command], check=False).returncode
        if arguments.keep:
            print(f"a node listens on 127.0.0.1:{nodes[0].port}; press Enter to stop")
            sys.stdin.readline()
        return status


if __name__ == "__main__":
    sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent))
    sys.exit(main())
