"""Run measurements and print their results as JSON lines."""

import argparse
import importlib
import json
import sys

# Module and generator function of each measurement.
_MEASUREMENTS = {
    "blocks": ("standins.measure_capacity", "blocks"),
    "lookups": ("standins.measure_capacity", "lookups"),
    "store": ("standins.measure_capacity", "store"),
    "imports": ("standins.measure_capacity", "imports"),
    "latency": ("standins.measure_load", "latency"),
    "blocking": ("standins.measure_load", "blocking"),
    "tail": ("standins.measure_load", "tail"),
    "overload": ("standins.measure_load", "overload"),
    "real": ("standins.measure_load", "real"),
    "drain": ("standins.measure_stops", "drain"),
    "shift": ("standins.measure_stops", "shift"),
    "links": ("standins.measure_stops", "links"),
    "rolling": ("standins.measure_stops", "rolling"),
    "spread": ("standins.measure_spread", "run"),
    "control": ("standins.measure_control", "run"),
}


def main() -> None:
    """Run the named measurements, or all of them."""
    parser = argparse.ArgumentParser()
    parser.add_argument("names", nargs="*", metavar="NAME")
    parser.add_argument("--seed", type=int, default=1)
    args = parser.parse_args()
    for name in args.names:
        if name not in _MEASUREMENTS:
            valid = ", ".join(_MEASUREMENTS)
            parser.error(f"unknown measurement {name!r}; valid: {valid}")
    for name in args.names or _MEASUREMENTS:
        module, function = _MEASUREMENTS[name]
        generate = getattr(importlib.import_module(module), function)
        for result in generate(args.seed):
            print(json.dumps({**result, "seed": args.seed}))
            sys.stdout.flush()


if __name__ == "__main__":
    main()
