"""Example bodies of the platform's store items and settings."""

import json


def server_entry(**changes) -> bytes:
    """Return a server's store entry with the given fields replaced."""
    body = {
        "service": "works",
        "address": "10.128.0.9:8080",
        "zone": "musanze-a",
        "version": "v1",
        "slots": 4,
        "state": "ready",
        "coldLeft": "0ms",
        "sequence": 4,
        "born": 1_700_000_000_000,
    }
    return json.dumps({**body, **changes}).encode()


def desired_state(version: int = 7, **action) -> dict:
    """Return a desired state with one unsafe and one safe route."""
    return {
        "version": version,
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 65536,
            "headerTimeout": "3000ms",
            "idleTimeout": "15000ms",
        },
        "baseVersion": 5,
        "listeners": [
            {
                "host": "Mill.example",
                "rules": [
                    {
                        "name": "r-1",
                        "kind": "unsafe",
                        "targetLatency": "400ms",
                        "priority": 1,
                        "sticky": True,
                        "match": {"prefix": "/book/"},
                        "action": {
                            "service": "works",
                            "timeout": "1500ms",
                            "maxAttempts": 2,
                            "homeRegions": [],
                            **action,
                        },
                    },
                    {
                        "name": "r-2",
                        "kind": "safe",
                        "targetLatency": "300ms",
                        "priority": 2,
                        "sticky": True,
                        "match": {"prefix": "/read/"},
                        "action": {
                            "split": [
                                {"service": "works", "weight": 90},
                                {"service": "works", "weight": 10},
                            ],
                            "timeout": "1200ms",
                            "maxAttempts": 2,
                            "homeRegions": [],
                        },
                    },
                ],
            }
        ],
        "clusters": [
            {
                "name": "works",
                "healthPath": "/health",
                "maxConns": 330,
                "protocol": "h1",
                "tls": False,
                "coldStart": "3s",
                "coldPerS": 5.8,
            }
        ],
    }


def settings_body(**changes) -> dict:
    """Return a settings file's body with the given fields replaced."""
    body = {
        "nodeName": "front-musanze-a-1",
        "role": "edge",
        "ip": "127.0.0.1",
        "zone": "musanze-a",
        "region": "amajyaruguru",
        "zones": {"musanze-a": "amajyaruguru", "huye-a": "amajyepfo"},
        "listen": {
            "front": "127.0.0.1:8144",
            "ready": "127.0.0.1:8140",
            "control": "127.0.0.1:8146",
            "directory": "127.0.0.1:8143",
        },
        "innerPorts": [7660, 7675],
        "seeds": [],
        "limits": {
            "cpuShare": 0.86,
            "cores": 1,
            "memoryMb": 300,
            "linkMbps": 1000.0,
        },
        "bounds": [
            "grace=6s",
            "ttl_max=5s",
            "stableWindow=4000ms",
            "retryBudgetRatio=0.2",
            "budgetExtra=56",
            "budgetWindow=10s",
            "coldExcess=1.5",
            "coldSlack=5",
            "maxShift=0.15",
        ],
        "platform": {"address": "127.0.0.1:8142", "form": "kv"},
    }
    return {**body, **changes}
