/** Decisions on tasks: placement, quotas, preemption and their records. */
export {};
