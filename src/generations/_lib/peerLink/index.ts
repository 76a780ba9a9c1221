import * as neverthrow from "neverthrow";
import type * as zod from "zod";

import * as disposableStore from "../../../_lib/disposableStore/index.js";
import * as stepError from "../../../_lib/stepError/index.js";
import type * as peers from "../../../peers/types.js";
import * as constants from "../../constants.js";

type Handler = (params: unknown, fromVm: string) => unknown;

/** Sends messages to other VMs and to this one, and validates received ones. */
export class PeerLink implements AsyncDisposable {
  private readonly handlers = new Map<string, Handler>();
  private readonly registrations = new disposableStore.DisposableStore();

  constructor(
    readonly selfName: string,
    private readonly network: peers.PeerNetwork,
  ) {}

  /** Registers the handler of a method whose params are validated by a schema. */
  handle<T>(
    method: string,
    schema: zod.ZodType<T>,
    handler: (params: T, fromVm: string) => unknown,
  ): void {
    this.handleRaw(method, (params, fromVm) => handler(schema.parse(params), fromVm));
  }

  /** Registers a handler that validates its params itself. */
  handleRaw(method: string, handler: Handler): void {
    this.handlers.set(method, handler);
    this.registrations.add(this.network.register(method, handler));
  }

  /** Calls a method and validates the answer; a call to this VM itself has no timeout. */
  async call<T>(
    vmName: string,
    method: string,
    params: unknown,
    answerSchema: zod.ZodType<T>,
    timeoutMs = constants.PEER_CALL_TIMEOUT_MS,
  ): Promise<neverthrow.Result<T, stepError.StepError>> {
    const answer =
      vmName === this.selfName
        ? neverthrow.ok(await this.handlers.get(method)?.(params, vmName))
        : await this.network.call(vmName, method, params, { timeoutMs });
    if (answer.isErr()) return neverthrow.err(answer.error);
    const parsed = answerSchema.safeParse(answer.value);
    if (parsed.success) return neverthrow.ok(parsed.data);
    return neverthrow.err(createMalformedAnswerError(method, vmName, parsed.error));
  }

  /** Sends a notification, which has no answer; returns false if nothing was sent. */
  notify(vmName: string, method: string, params: unknown): boolean {
    if (vmName !== this.selfName) return this.network.notify(vmName, method, params);
    const handler = this.handlers.get(method);
    if (handler === undefined) return false;
    queueMicrotask(() => {
      handler(params, vmName);
    });
    return true;
  }

  onDisconnect(listener: (vmName: string) => void): void {
    this.registrations.add(this.network.onDisconnect(listener));
  }

  async [Symbol.asyncDispose](): Promise<void> {
    await this.registrations[Symbol.asyncDispose]();
    this.handlers.clear();
  }
}

function createMalformedAnswerError(
  method: string,
  peer: string,
  cause: unknown,
): stepError.StepError {
  return new stepError.StepError(`malformed answer to ${method} from ${peer}`, {
    code: stepError.ErrorCode.Internal,
    step: "peer.call",
    peer,
    execution: stepError.ExecutionState.Unknown,
    cause,
  });
}
