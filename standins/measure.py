"""Runs measurements and prints their results as JSON lines."""

import argparse
import importlib
import json
import sys

# Name of each measurement, and the module and function that yields it.
_MEASURES = {
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
        if name not in _MEASURES:
            valid = ", ".join(_MEASURES)
            parser.error(f"NAME is {name!r}; valid: {valid}")
    for name in args.names or _MEASURES:
        module, function = _MEASURES[name]
        measure = getattr(importlib.import_module(module), function)
        for result in measure(args.seed):
            print(json.dumps({**result, "seed": args.seed}))
            sys.stdout.flush()


if __name__ == "__main__":
    main()
