"""Stand-in of callers: it sends load to instances that it looks up.

Each caller thread belongs to a region, looks up entry addresses at an
instance of that region and caches them for their time to live. A request
that is not repeatable is retried through another instance with the same
idempotency key. One JSON line is written for each request.
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

_ATTEMPTS_MAX = 3


@dataclasses.dataclass(frozen=True, kw_only=True)
class RequestKind:
    """A type of request and its weight in the load."""

    method: str
    path: str
    weight: float
    is_repeatable: bool
    deadline_ms: int


class Log:
    """Writes JSON lines to a file; safe for use by several threads."""

    def __init__(self, *, path: str) -> None:
        self._stream = open(path, "a", encoding="utf-8")  # noqa: SIM115
        self._lock = threading.Lock()

    def write(self, record: dict[str, Any]) -> None:
        """Write one record."""
        with self._lock:
            self._stream.write(json.dumps(record) + "\n")
            self._stream.flush()


class Caller:
    """A caller, which sends its requests one after another."""

    def __init__(
        self,
        *,
        region: str,
        client: str,
        lookups: list[str],
        kinds: list[RequestKind],
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
        # An instance derives a caller's region from its source address.
        source = (client, 0) if client.startswith("127.") else None
        self._http = urllib3.PoolManager(
            num_pools=32, maxsize=2, retries=False, source_address=source
        )
        self._entries: list[str] = []
        self._entries_expire_at = 0.0
        self._keys: list[str] = []
        self._keys_issuer = ""
        self._keys_expire_at = 0.0

    def run(self, until: float) -> None:
        """Send requests as a Poisson process until a monotonic time."""
        due = time.monotonic()
        while time.monotonic() < until:
            due += self._rng.expovariate(self._rate_per_s)
            time.sleep(max(0.0, due - time.monotonic()))
            kind = self._rng.choices(
                self._kinds, [k.weight for k in self._kinds]
            )[0]
            self._run_request(kind)

    def _run_request(self, kind: RequestKind) -> None:
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
        key = "" if kind.is_repeatable else self._next_key()
        if not kind.is_repeatable and not key:
            record["outcomes"].append("not-run")
        else:
            self._send_with_retries(kind, token, key, record)
        record["ms"] = (time.monotonic() - started) * 1000
        self._log.write(record)

    def _send_with_retries(
        self, kind: RequestKind, token: str, key: str, record
    ) -> None:
        for attempt in range(_ATTEMPTS_MAX):
            entry = self._select_entry(attempt)
            if key and attempt == 0:
                # The issuer of the key is the instance that may run it.
                entry = self._keys_issuer
            if not entry:
                record["tries"].append(time.time())
                record["outcomes"].append("not-run")
                continue
            record["tries"].append(time.time())
            outcome = self._send(entry, kind, token, key, record)
            record["outcomes"].append(outcome)
            record["last_entry"] = entry
            if outcome == "answered":
                return
            # The next attempt uses another instance and a new look-up.
            self._entries_expire_at = 0.0

    def _send(self, entry: str, kind: RequestKind, token, key, record) -> str:
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
            record["wrong"] = not _has_token(resp.data, token)
        return outcome

    def _select_entry(self, attempt: int) -> str:
        now = time.monotonic()
        if now >= self._entries_expire_at:
            self._refresh_entries(now)
        if not self._entries:
            return ""
        return self._entries[attempt % len(self._entries)]

    def _refresh_entries(self, now: float) -> None:
        for address in self._rng.sample(self._lookups, len(self._lookups)):
            try:
                resp = self._http.request(
                    "GET",
                    f"http://{address}/v1/lookup?client={self._client}",
                    timeout=1.0,
                    retries=False,
                )
                payload = json.loads(resp.data)
            except (HTTPError, ValueError):
                continue
            if resp.status == 200:
                self._entries = payload["instances"]
                self._entries_expire_at = now + payload["ttl_s"]
                return

    def _next_key(self) -> str:
        """Return an unused key; keys are fetched in batches and expire."""
        now = time.monotonic()
        if now >= self._keys_expire_at:
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
                        payload = json.loads(resp.data)
                        self._keys = payload["keys"]
                        self._keys_issuer = payload["entry"]
                        self._keys_expire_at = now + payload["ttl_s"]
                        break
                except (HTTPError, ValueError):
                    continue
        return self._keys.pop() if self._keys else ""


def _has_token(body: bytes, token: str) -> bool:
    try:
        return json.loads(body)["token"] == token
    except (ValueError, KeyError):
        return False


def main() -> None:
    """Send the load of a plan file for the given time."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--plan", required=True)
    parser.add_argument("--seconds", type=float, required=True)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--log", required=True)
    args = parser.parse_args()
    with open(args.plan, encoding="utf-8") as stream:
        plan = json.load(stream)
    log = Log(path=args.log)
    kinds = [RequestKind(**k) for k in plan["kinds"]]
    until = time.monotonic() + args.seconds
    threads = []
    for index, row in enumerate(plan["callers"]):
        caller = Caller(
            region=row["region"],
            client=row["client"],
            lookups=row["lookups"],
            kinds=kinds,
            rate_per_s=plan["rate_per_caller"],
            rng=random.Random(args.seed * 1000 + index),
            log=log,
        )
        threads.append(threading.Thread(target=caller.run, args=(until,)))
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()


if __name__ == "__main__":
    main()
