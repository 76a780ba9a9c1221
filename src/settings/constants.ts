/** Exit code of a program whose settings are wrong (EX_CONFIG of sysexits). */
export const EXIT_CODE_INVALID_SETTINGS = 78;

export const DEFAULT_CALLER_PORT = 8_080;
export const DEFAULT_ADMIN_PORT = 8_090;
export const DEFAULT_PEER_PORT = 7_100;
export const DEFAULT_HEARTBEAT_PORT = 7_101;

export const DEFAULT_MAX_BODY_BYTES = 4_194_304;
export const DEFAULT_MAX_HEADER_BYTES = 16_384;
export const DEFAULT_MAX_CONNECTIONS = 20_000;
export const DEFAULT_REQUEST_TIMEOUT_MS = 30_000;
export const DEFAULT_PLATFORM_TIMEOUT_MS = 3_000;
export const DEFAULT_LONG_POLL_MS = 20_000;
export const DEFAULT_VM_LIST_INTERVAL_MS = 2_000;
export const DEFAULT_KEEP_FINISHED_MS = 300_000;
export const DEFAULT_TRACE_COUNT = 20_000;
export const DEFAULT_BALANCER_NOTICE_MS = 5_000;
export const DEFAULT_GRACE_MS = 600_000;
