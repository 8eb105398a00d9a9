"""What lasts: idempotency keys, service documents, leases and orders in the platform's table."""
