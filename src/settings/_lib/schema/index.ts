import * as zod from "zod";

import * as constants from "../../constants.js";
import * as fields from "../fields/index.js";
import * as rules from "../rules/index.js";

const vm = zod
  .strictObject({
    name: fields.name.describe("Name of this VM, unique in the fleet"),
    region: fields.name.describe("Region of its data centre"),
    dataCentre: fields.name.describe("Data centre in which it runs"),
    peerAddress: fields.ipAddress.describe("IP address on which other VMs reach it"),
    peerPort: fields.port
      .default(constants.DEFAULT_PEER_PORT)
      .describe("TCP port for messages between VMs"),
    heartbeatPort: fields.port
      .default(constants.DEFAULT_HEARTBEAT_PORT)
      .describe("UDP port for heartbeats between VMs"),
  })
  .describe("Who this VM is");

const tls = zod
  .strictObject({
    certFile: fields.path.describe("Certificate chain, PEM"),
    keyFile: fields.path.describe("Private key, PEM"),
    caFile: fields.path
      .optional()
      .describe("Certificates of accepted clients, PEM; set, clients must present one"),
  })
  .optional()
  .describe("TLS of this listener; plain TCP where it is left out");

const createListenerFields = (defaultAddress: string, defaultPort: number) => ({
  address: fields.ipAddress.default(defaultAddress).describe("IP address to listen on"),
  port: fields.listenPort.default(defaultPort).describe("TCP port; 0 takes any free one"),
  tls,
});

const callers = zod
  .strictObject(createListenerFields("0.0.0.0", constants.DEFAULT_CALLER_PORT))
  .prefault({})
  .describe("Where callers reach this VM");

const operatorKey = zod.strictObject({
  operator: fields.name.describe("Name of the operator, as recorded with each change"),
  keyHash: fields.sha256.describe("SHA-256 of the operator's key, lower-case hexadecimal"),
});

const admin = zod
  .strictObject({
    ...createListenerFields("127.0.0.1", constants.DEFAULT_ADMIN_PORT),
    operatorKeys: zod
      .array(operatorKey)
      .min(1)
      .describe("Keys that open the admin port, held as hashes"),
  })
  .describe("Where operators reach this VM");

const seedPeer = zod.strictObject({
  name: fields.name.describe("Name of the other VM"),
  region: fields.name.describe("Its region"),
  dataCentre: fields.name.describe("Its data centre"),
  peerAddress: fields.ipAddress.describe("Its IP address"),
  peerPort: fields.port.default(constants.DEFAULT_PEER_PORT).describe("Its TCP port for messages"),
  heartbeatPort: fields.port
    .default(constants.DEFAULT_HEARTBEAT_PORT)
    .describe("Its UDP port for heartbeats"),
});

const region = zod.strictObject({
  name: fields.name.describe("Name of the region"),
  dataCentres: zod.array(fields.name).min(1).describe("Its data centres"),
});

const fleet = zod
  .strictObject({
    key: zod.string().min(32).describe("Secret that all VMs of the fleet share"),
    regions: zod.array(region).min(1).describe("All regions with their data centres"),
    seedPeers: zod
      .array(seedPeer)
      .default([])
      .describe("VMs to contact first; the platform's list names the rest"),
    tls,
  })
  .describe("The other VMs of the system");

const platform = zod
  .strictObject({
    logUrls: zod
      .array(fields.httpUrl)
      .min(1)
      .describe("Addresses of the log service, tried in order"),
    vmListUrl: fields.httpUrl.optional().describe("Address of the list of VMs"),
    weightStoreUrl: fields.httpUrl.optional().describe("Address of the weight store"),
    requestTimeoutMs: fields.durationMs
      .default(constants.DEFAULT_PLATFORM_TIMEOUT_MS)
      .describe("Longest wait for one answer of the platform"),
    longPollMs: fields.durationMs
      .default(constants.DEFAULT_LONG_POLL_MS)
      .describe("How long a read waits at the end of the log"),
    vmListIntervalMs: fields.durationMs
      .default(constants.DEFAULT_VM_LIST_INTERVAL_MS)
      .describe("Time between two reads of the list of VMs"),
  })
  .describe("The platform's services");

const limits = zod
  .strictObject({
    maxBodyBytes: fields.count
      .default(constants.DEFAULT_MAX_BODY_BYTES)
      .describe("Largest body of a request"),
    maxHeaderBytes: fields.count
      .default(constants.DEFAULT_MAX_HEADER_BYTES)
      .describe("Largest header block of a request"),
    maxConnections: fields.count
      .default(constants.DEFAULT_MAX_CONNECTIONS)
      .describe("Most callers' connections at once"),
    requestTimeoutMs: fields.durationMs
      .default(constants.DEFAULT_REQUEST_TIMEOUT_MS)
      .describe("Longest time for a caller to send its request"),
  })
  .prefault({})
  .describe("Bounds on what callers may send");

const requests = zod
  .strictObject({
    keepFinishedMs: fields.durationMs
      .default(constants.DEFAULT_KEEP_FINISHED_MS)
      .describe("How long a finished answer is kept where its entry does not say"),
    maxTraces: fields.count
      .default(constants.DEFAULT_TRACE_COUNT)
      .describe("Requests whose decisions are kept for explanations"),
  })
  .prefault({})
  .describe("What is kept of each request");

const logging = zod
  .strictObject({
    level: zod
      .enum(["trace", "debug", "info", "warn", "error", "fatal"])
      .default("info")
      .describe("Least level that is written"),
    file: fields.path.optional().describe("File to write to; standard error where left out"),
  })
  .prefault({})
  .describe("Logs of changes of state");

const metrics = zod
  .strictObject({
    host: fields.ipAddress.describe("IP address of the StatsD server"),
    port: fields.port.default(8_125).describe("Its UDP port"),
    prefix: zod.string().default("chiveferry.").describe("Prefix of each metric's name"),
  })
  .optional()
  .describe("Metrics by StatsD; none are sent where it is left out");

const shutdown = zod
  .strictObject({
    balancerNoticeMs: fields.delayMs
      .default(constants.DEFAULT_BALANCER_NOTICE_MS)
      .describe("Time from not being ready until the balancer sends nothing more"),
    graceMs: fields.durationMs
      .default(constants.DEFAULT_GRACE_MS)
      .describe("Longest time to finish or hand over what runs"),
  })
  .prefault({})
  .describe("How this VM leaves");

/** Schema of a daemon's settings, with defaults and rules across sections. */
export const settingsSchema = zod
  .strictObject({
    vm,
    callers,
    admin,
    fleet,
    platform,
    limits,
    requests,
    logging,
    metrics,
    shutdown,
  })
  .refine(rules.hasKnownDataCentre, rules.KNOWN_DATA_CENTRE)
  .refine(rules.hasDistinctPorts, rules.DISTINCT_PORTS)
  .refine(rules.hasDistinctSeedNames, rules.DISTINCT_SEED_NAMES);
