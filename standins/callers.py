"""Stand-in of callers: they cache look-up answers and send a load.

Each caller thread belongs to a region, asks an instance of it where to go,
and keeps the answer for its time to live. A request that may not be repeated
is tried again through another instance with the same key, as callers do.
One JSON line is written for each request.
"""

import argparse
import dataclasses
import json
import random
import threading
import time
import uuid
from typing import Any

import urllib3
from urllib3.exceptions import HTTPError

_TRIES = 3


@dataclasses.dataclass(frozen=True, kw_only=True)
class Kind:
    """A kind of request and its weight in the mix."""

    method: str
    path: str
    weight: float
    is_repeatable: bool
    deadline_ms: int


class Log:
    """Writes JSON lines from several threads."""

    def __init__(self, *, path: str) -> None:
        self._stream = open(path, "a", encoding="utf-8")  # noqa: SIM115
        self._lock = threading.Lock()

    def write(self, record: dict[str, Any]) -> None:
        """Write one record."""
        with self._lock:
            self._stream.write(json.dumps(record) + "\n")
            self._stream.flush()


class Caller:
    """One caller: a thread that sends requests one after another."""

    def __init__(
        self,
        *,
        region: str,
        client: str,
        lookups: list[str],
        kinds: list[Kind],
        rate_per_s: float,
        rng: random.Random,
        log: Log,
    ) -> None:
        self._region = region
        self._client = client
        self._lookups = lookups
        self._kinds = kinds
        self._rate_per_s = rate_per_s
        self._rng = rng
        self._log = log
        # An instance tells a caller's region by the address it comes from.
        source = (client, 0) if client.startswith("127.") else None
        self._http = urllib3.PoolManager(
            num_pools=32, maxsize=2, retries=False, source_address=source
        )
        self._entries: list[str] = []
        self._entries_until = 0.0
        self._keys: list[str] = []
        self._keys_entry = ""
        self._keys_until = 0.0

    def run(self, until: float) -> None:
        """Send requests at random times until the given monotonic time."""
        due = time.monotonic()
        while time.monotonic() < until:
            due += self._rng.expovariate(self._rate_per_s)
            time.sleep(max(0.0, due - time.monotonic()))
            kind = self._rng.choices(
                self._kinds, [k.weight for k in self._kinds]
            )[0]
            self._request(kind)

    def _request(self, kind: Kind) -> None:
        token = uuid.uuid4().hex
        started = time.monotonic()
        record = {
            "t": time.time(),
            "token": token,
            "region": self._region,
            "method": kind.method,
            "path": kind.path,
            "repeatable": kind.is_repeatable,
            "deadline_ms": kind.deadline_ms,
            "tries": [],
            "outcomes": [],
            "cuts": 0,
        }
        key = "" if kind.is_repeatable else self._take_key()
        if not kind.is_repeatable and not key:
            record["outcomes"].append("not-run")
        else:
            self._tries(kind, token, key, record)
        record["ms"] = (time.monotonic() - started) * 1000
        self._log.write(record)

    def _tries(self, kind: Kind, token: str, key: str, record) -> None:
        for attempt in range(_TRIES):
            entry = self._entry(attempt)
            if key and attempt == 0:
                # Its issuer is the one that may run it.
                entry = self._keys_entry
            if not entry:
                record["tries"].append(time.time())
                record["outcomes"].append("not-run")
                continue
            record["tries"].append(time.time())
            outcome = self._try(entry, kind, token, key, record)
            record["outcomes"].append(outcome)
            record["last_entry"] = entry
            if outcome == "answered":
                return
            # Another instance is asked next; its answer may not be cached.
            self._entries_until = 0.0

    def _try(self, entry: str, kind: Kind, token, key, record) -> str:
        headers = {
            "X-Deadline-Ms": str(kind.deadline_ms),
            "X-Try": str(len(record["tries"]) - 1),
        }
        if key:
            headers["Idempotency-Key"] = key
        url = f"http://{entry}/s/{kind.path}?token={token}&home={self._region}"
        try:
            resp = self._http.request(
                kind.method,
                url,
                headers=headers,
                timeout=kind.deadline_ms / 1000.0 + 2.0,
                retries=False,
                redirect=False,
            )
        except urllib3.exceptions.NewConnectionError:
            return "refused"
        except HTTPError as exc:
            record["cuts"] += 1
            record["error"] = f"{type(exc).__name__}: {exc}"[:200]
            return "cut"
        outcome = resp.headers.get("X-Chiverun-Outcome", "unknown")
        record["code"] = resp.headers.get("X-Chiverun-Code")
        record.setdefault("codes", []).append(record["code"])
        record["status"] = resp.status
        if outcome == "answered" and resp.status == 200:
            record["wrong"] = not _is_own(resp.data, token)
        return outcome

    def _entry(self, attempt: int) -> str:
        now = time.monotonic()
        if now >= self._entries_until:
            self._look_up(now)
        if not self._entries:
            return ""
        return self._entries[attempt % len(self._entries)]

    def _look_up(self, now: float) -> None:
        for address in self._rng.sample(self._lookups, len(self._lookups)):
            try:
                resp = self._http.request(
                    "GET",
                    f"http://{address}/v1/lookup?client={self._client}",
                    timeout=1.0,
                    retries=False,
                )
                answer = json.loads(resp.data)
            except (HTTPError, ValueError):
                continue
            if resp.status == 200:
                self._entries = answer["instances"]
                self._entries_until = now + answer["ttl_s"]
                return

    def _take_key(self) -> str:
        """Take an unused key; keys come in batches with a time to live."""
        now = time.monotonic()
        if now >= self._keys_until:
            self._keys = []
        if not self._keys:
            for address in self._rng.sample(self._lookups, len(self._lookups)):
                try:
                    resp = self._http.request(
                        "POST",
                        f"http://{address}/v1/keys?count=5",
                        timeout=1.0,
                        retries=False,
                    )
                    if resp.status == 200:
                        answer = json.loads(resp.data)
                        self._keys = answer["keys"]
                        self._keys_entry = answer["entry"]
                        self._keys_until = now + answer["ttl_s"]
                        break
                except (HTTPError, ValueError):
                    continue
        return self._keys.pop() if self._keys else ""


def _is_own(body: bytes, token: str) -> bool:
    try:
        return json.loads(body)["token"] == token
    except (ValueError, KeyError):
        return False


def main() -> None:
    """Send load for the time given in the plan file."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--plan", required=True)
    parser.add_argument("--seconds", type=float, required=True)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--log", required=True)
    args = parser.parse_args()
    with open(args.plan, encoding="utf-8") as stream:
        plan = json.load(stream)
    log = Log(path=args.log)
    kinds = [Kind(**k) for k in plan["kinds"]]
    until = time.monotonic() + args.seconds
    threads = []
    for index, caller in enumerate(plan["callers"]):
        one = Caller(
            region=caller["region"],
            client=caller["client"],
            lookups=caller["lookups"],
            kinds=kinds,
            rate_per_s=plan["rate_per_caller"],
            rng=random.Random(args.seed * 1000 + index),
            log=log,
        )
        threads.append(threading.Thread(target=one.run, args=(until,)))
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()


if __name__ == "__main__":
    main()
