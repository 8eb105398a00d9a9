"""Durable state in the platform's table: idempotency keys, documents, leases and orders."""
