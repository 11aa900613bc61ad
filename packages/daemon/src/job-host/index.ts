export * from './context.js';
export * from './http-front.js';
export * from './job-service.js';
export * from './loop-delay.js';
export * from './meters.js';
export * from './start-job-host.js';
export { startAdmin } from '../admin/server.js';
export { scheduleByTimeout } from '../log/timing.js';
export { createProcessLog } from '../logging/process-log.js';
