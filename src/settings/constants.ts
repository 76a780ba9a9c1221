/** TCP port for callers. */
export const DEFAULT_CALLER_PORT = 8_080;

/** TCP port for operators. */
export const DEFAULT_ADMIN_PORT = 8_090;

/** TCP port for messages between VMs. */
export const DEFAULT_PEER_PORT = 7_100;

/** UDP port for heartbeats between VMs. */
export const DEFAULT_HEARTBEAT_PORT = 7_101;

/** Maximum size of a request's body: 4 MiB. */
export const DEFAULT_MAX_BODY_BYTES = 4_194_304;

/** Maximum size of a request's header block: 16 KiB. */
export const DEFAULT_MAX_HEADER_BYTES = 16_384;

/** Maximum number of concurrent callers' connections. */
export const DEFAULT_MAX_CONNECTIONS = 20_000;

/** Timeout of receiving a request from a caller. */
export const DEFAULT_REQUEST_TIMEOUT_MS = 30_000;

/** Timeout of one answer of the platform. */
export const DEFAULT_PLATFORM_TIMEOUT_MS = 3_000;

/** How long a read waits for new records at the end of the log. */
export const DEFAULT_LONG_POLL_MS = 20_000;

/** Time between two reads of the platform's list of VMs. */
export const DEFAULT_VM_LIST_INTERVAL_MS = 2_000;

/** Retention of a finished answer whose entry does not set one. */
export const DEFAULT_KEEP_FINISHED_MS = 300_000;

/** Maximum number of requests whose traces are kept. */
export const DEFAULT_TRACE_COUNT = 20_000;

/** Time from reporting not ready until the balancer sends no more requests. */
export const DEFAULT_BALANCER_NOTICE_MS = 5_000;

/** Timeout of a graceful shutdown for finishing or handing over work. */
export const DEFAULT_GRACE_MS = 600_000;
