/** Ownership of shards by leases in the log. */
export {};
