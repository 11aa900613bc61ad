/** Learning of interference between services and batch work, and the policy against it. */
export {};
