import type * as zod from "zod";

import type * as platform from "../../../controlPlane/types.js";
import * as constants from "../../constants.js";
import type * as types from "../../types.js";
import * as messages from "../messages/index.js";
import * as snapshotCodec from "../snapshotCodec/index.js";

/** A stream's data that the exchange serves to peers. */
export interface ServedStream {
  status(): types.PeerStatus;
  knownOffset(): number;
  lowestOffset(): number;
  recordsFrom(offset: number, maxCount: number): readonly platform.LogRecord[];
  /**
   * Returns a packed snapshot of the state. Repeated calls return the same one for a while, so that
   * a peer can fetch all of its parts.
   */
  packedSnapshot(): Promise<readonly types.SnapshotPart[]>;
  /** Called with a batch that a reader of this data centre has forwarded. */
  onBatch(batch: types.RecordBatch, fromVm: string): void;
}

/** Unpacked state of a peer. */
export interface FetchedState {
  readonly coveredOffset: number;
  readonly parts: readonly unknown[];
}

/** Sends and serves the messages between the followers of one stream. */
export class PeerExchange implements Disposable {
  private readonly methods: ReturnType<typeof messages.methodNames>;
  private readonly registrations: Disposable[];

  constructor(
    private readonly dependencies: types.FollowerDependencies,
    stream: platform.LogStream,
    private readonly served: ServedStream,
  ) {
    this.methods = messages.methodNames(stream);
    const network = dependencies.peerNetwork;
    this.registrations = [
      network.register(this.methods.records, (params, from) => this.receiveBatch(params, from)),
      network.register(this.methods.catchUp, (params) => this.answerCatchUp(params)),
      network.register(this.methods.part, (params) => this.answerPart(params)),
      network.register(this.methods.status, () => this.served.status()),
    ];
  }

  /** Sends records to a follower, which requests those that it misses; false if nothing was sent. */
  push(vmName: string, batch: types.RecordBatch): boolean {
    return this.dependencies.peerNetwork.notify(vmName, this.methods.records, batch);
  }

  /** Requests a peer's status; null if it does not give a valid answer. */
  async requestStatus(vmName: string): Promise<types.PeerStatus | null> {
    return this.request(vmName, this.methods.status, {}, messages.peerStatus);
  }

  /** Requests a peer's recent records from an offset on; null if it does not give a valid answer. */
  async requestRecords(vmName: string, fromOffset: number): Promise<messages.CatchUpAnswer | null> {
    return this.request(vmName, this.methods.catchUp, { fromOffset }, messages.catchUpAnswer);
  }

  /** Fetches a peer's state part by part; null if a part is missing or the snapshot has changed. */
  async fetchState(vmName: string): Promise<FetchedState | null> {
    const first = await this.requestPart(vmName, null, 0);
    if (first === null) return null;
    const parts = [first];
    for (let index = 1; index < first.count; index += 1) {
      const part = await this.requestPart(vmName, first.coveredOffset, index);
      if (part?.snapshotId !== first.snapshotId) return null;
      parts.push(part);
    }
    const unpacked = snapshotCodec.unpackParts(parts);
    return unpacked === null ? null : { coveredOffset: first.coveredOffset, parts: unpacked };
  }

  [Symbol.dispose](): void {
    for (const registration of this.registrations) registration[Symbol.dispose]();
  }

  private async requestPart(
    vmName: string,
    coveredOffset: number | null,
    index: number,
  ): Promise<types.SnapshotPart | null> {
    const answer = await this.call(vmName, this.methods.part, { coveredOffset, index });
    return snapshotCodec.parseSnapshotPart(answer);
  }

  private async request<T>(
    vmName: string,
    method: string,
    params: unknown,
    schema: zod.ZodType<T>,
  ): Promise<T | null> {
    const parsed = schema.safeParse(await this.call(vmName, method, params));
    return parsed.success ? parsed.data : null;
  }

  private async call(vmName: string, method: string, params: unknown): Promise<unknown> {
    const options = { timeoutMs: constants.PEER_CALL_TIMEOUT_MS };
    const answer = await this.dependencies.peerNetwork.call(vmName, method, params, options);
    return answer.isOk() ? answer.value : null;
  }

  private receiveBatch(params: unknown, fromVm: string): null {
    const batch = messages.recordBatch.safeParse(params);
    if (batch.success) this.served.onBatch(batch.data, fromVm);
    else this.dependencies.metrics.increment("replication.bad_message");
    return null;
  }

  private answerCatchUp(params: unknown): messages.CatchUpAnswer | null {
    const request = messages.catchUpRequest.safeParse(params);
    if (!request.success) return null;
    const { fromOffset } = request.data;
    return {
      records: [...this.served.recordsFrom(fromOffset, constants.RECORDS_PER_MESSAGE)],
      knownOffset: this.served.knownOffset(),
      lowestOffset: this.served.lowestOffset(),
    };
  }

  private async answerPart(params: unknown): Promise<types.SnapshotPart | null> {
    const request = messages.partRequest.safeParse(params);
    if (!request.success || !this.served.status().isReady) return null;
    const parts = await this.served.packedSnapshot();
    const part = parts[request.data.index];
    if (part === undefined) return null;
    const isSameState =
      request.data.coveredOffset === null || request.data.coveredOffset === part.coveredOffset;
    return isSameState ? part : null;
  }
}
