import * as zod from "zod";

import * as catalogue from "../../../src/catalogue/types.js";
import * as faults from "../../../standins/faults/index.js";
import * as names from "./names.js";

const DEFAULT_TIMEOUT_MS = 15_000;

const name = zod.string().min(1);
const count = zod.int().min(0);
const timeoutMs = zod.int().min(1).max(120_000).default(DEFAULT_TIMEOUT_MS);

const vm = zod.strictObject({ name, dataCentre: name });

const engine = zod.strictObject({
  name,
  dataCentre: name,
  model: name.default("drafter"),
  version: name.default("1"),
  capacityTokens: zod.int().min(1).default(20_000),
  maxRunningCount: zod.int().min(1).default(32),
  stepMs: zod.number().min(0).default(2),
  checksFencing: zod.boolean().default(true),
});

const service = zod.strictObject({ name, service: name, dataCentre: name });

const start = zod.strictObject({
  do: zod.literal("start"),
  vms: zod.array(name).optional(),
  /** Waits until VMs that start together have granted shares of the accounts' limits. */
  settle: zod.boolean().default(true),
  timeoutMs,
});

const apply = zod.strictObject({
  do: zod.literal("apply"),
  at: name.optional(),
  items: zod.array(zod.record(zod.string(), zod.unknown())).default([]),
  /** A file in `scenarios/entries` that replaces `items`. */
  file: zod.string().optional(),
  /** The operator whose key authenticates the change. */
  operator: name.default("operator"),
  /** Base revision of the change: the newest one, or one that has been superseded. */
  base: zod.enum(["current", "stale"]).default("current"),
  expect: zod.enum(["accepted", "conflict"]).default("accepted"),
  /** Waits until an accepted change is in force on all running VMs. */
  waitForAll: zod.boolean().default(true),
  timeoutMs,
});

const generate = zod.strictObject({
  do: zod.literal("generate"),
  as: name,
  entry: name,
  at: name.optional(),
  account: name,
  prompt: zod.string().default("a walk through the park"),
  /** Number of tokens that the engines produce. */
  tokens: zod.int().min(1).default(20),
  maxTokens: zod.int().min(1).optional(),
  stream: zod.boolean().default(true),
  deadlineMs: zod.int().min(1).optional(),
});

const reattach = zod.strictObject({
  do: zod.literal("reattach"),
  as: name,
  at: name.optional(),
  /** Re-attaches only if the answer ended without a finish reason. */
  ifBroken: zod.boolean().default(false),
});

const detach = zod.strictObject({ do: zod.literal("detach"), as: name });

/** An operator drains an engine; the step waits until this is in force on all running VMs. */
const drain = zod.strictObject({ do: zod.literal("drain"), engine: name, timeoutMs });

const call = zod.strictObject({
  do: zod.literal("call"),
  as: name,
  entry: name,
  at: name.optional(),
  account: name,
  key: zod.string().optional(),
  body: zod.string().default("{}"),
});

const send = zod.strictObject({
  do: zod.literal("send"),
  as: name,
  at: name.optional(),
  method: zod.string().default("POST"),
  path: zod.string().startsWith("/"),
  account: name.optional(),
  headers: zod.record(zod.string(), zod.string()).default({}),
  body: zod.string().default(""),
  /** Sends a body of this size in place of `body`. */
  bodyBytes: zod.int().min(1).optional(),
});

const kill = zod.strictObject({ do: zod.literal("kill"), target: name });
const restart = zod.strictObject({ do: zod.literal("restart"), target: name, timeoutMs });
const pause = zod.strictObject({ do: zod.literal("pause"), vm: name });
const resume = zod.strictObject({ do: zod.literal("resume"), vm: name });

/** Starts the graceful leave of a VM; `wait` with `left` waits until the VM has left. */
const leave = zod.strictObject({ do: zod.literal("leave"), vm: name });

const between = zod.tuple([name, name]);
const cut = zod.strictObject({ do: zod.literal("cut"), between });

const heal = zod.strictObject({
  do: zod.literal("heal"),
  between: between.optional(),
  target: name.optional(),
  fault: zod.enum(faults.FaultKind).optional(),
});

const inject = zod.strictObject({
  do: zod.literal("inject"),
  target: name,
  fault: zod.enum(faults.FaultKind),
  durationMs: zod.int().min(0).optional(),
  count: zod.int().min(1).optional(),
});

const wait = zod.strictObject({
  do: zod.literal("wait"),
  ms: zod.int().min(0).optional(),
  /** Waits until this request has ended, or has this many tokens. */
  request: name.optional(),
  tokens: zod.int().min(1).optional(),
  ready: zod.array(name).optional(),
  left: name.optional(),
  /** Waits until this VM sees the VMs of `sees` in the given membership states. */
  vm: name.optional(),
  sees: zod.record(name, zod.string()).optional(),
  /** Waits until all running VMs have applied the highest offset that any of them has applied. */
  inForce: zod.boolean().optional(),
  /** Waits until this engine has started this many generations. */
  engine: name.optional(),
  started: count.optional(),
  /** Waits until this service has run this many calls. */
  service: name.optional(),
  runs: count.optional(),
  timeoutMs,
});

const expectRequest = zod.strictObject({
  do: zod.literal("expect-request"),
  as: name,
  status: zod.int().optional(),
  /** Exact number of tokens, without gaps or repetitions and from a single sampling. */
  tokens: count.optional(),
  finish: zod.enum(["stop", "length"]).optional(),
  execution: zod.enum(["not-run", "ran", "unknown"]).optional(),
  problem: zod.string().optional(),
  /** Text that the body of the answer contains. */
  contains: zod.string().optional(),
  sameAnswerAs: name.optional(),
});

const expectService = zod.strictObject({
  do: zod.literal("expect-service"),
  service: name,
  key: zod.string().optional(),
  runs: count,
});

const expectEngine = zod.strictObject({
  do: zod.literal("expect-engine"),
  engine: name,
  started: count.optional(),
  maxStarted: count.optional(),
  minPreemptions: count.optional(),
  maxPreemptions: count.optional(),
  loaded: zod.array(name).optional(),
});

const expectVm = zod.strictObject({
  do: zod.literal("expect-vm"),
  vm: name,
  ready: zod.boolean(),
});

const expectItem = zod.strictObject({
  do: zod.literal("expect-item"),
  at: name.optional(),
  kind: zod.enum(catalogue.ItemKind),
  name,
  fields: zod.record(zod.string(), zod.unknown()),
});

/** Checks the trace of a request, gathered from the VMs that hold its record. */
const expectTrace = zod.strictObject({
  do: zod.literal("expect-trace"),
  as: name,
  at: name.optional(),
  /** Steps that the trace contains in this order, possibly with others between them. */
  steps: zod.array(zod.string()).min(1),
  /** Minimum offset of the last of these steps. */
  offsetAtLeast: count.optional(),
});

const STEPS = [
  start,
  apply,
  drain,
  generate,
  reattach,
  detach,
  call,
  send,
  kill,
  restart,
  pause,
  resume,
  leave,
  cut,
  heal,
  inject,
  wait,
  expectRequest,
  expectService,
  expectEngine,
  expectVm,
  expectItem,
  expectTrace,
] as const;

const stepNames = STEPS.map((step) => step.shape.do.value);

const step = zod.discriminatedUnion("do", STEPS, { error: `one of ${stepNames.join(", ")}` });

/** The schema of a scenario file. */
export const scenarioSchema = zod
  .strictObject({
    name: zod.string().min(1),
    seed: zod.int().default(1),
    vms: zod.array(vm).min(1),
    engines: zod.array(engine).default([]),
    services: zod.array(service).default([]),
    accounts: zod.array(name).default(["walker"]),
    /** Whether the session is the same in every run and is compared with a golden file. */
    golden: zod.boolean().default(true),
    steps: zod.array(step).min(1),
  })
  .superRefine((scenario, context) => {
    for (const unknown of names.findUnknownNames(scenario)) {
      context.addIssue({ code: "custom", path: [...unknown.path], message: unknown.expected });
    }
  });
