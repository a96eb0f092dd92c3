"""Stand-ins of the second review: platform store, upstreams and clients."""
