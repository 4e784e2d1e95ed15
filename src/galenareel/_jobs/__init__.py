"""Jobs: durable state, scheduling and leases on workers."""
