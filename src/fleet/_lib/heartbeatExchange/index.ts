import type * as clocks from "../../../_lib/clock/index.js";
import type * as telemetry from "../../../telemetry/types.js";
import * as constants from "../../constants.js";
import * as types from "../../types.js";
import * as heartbeatCodec from "../heartbeatCodec/index.js";
import type * as membershipState from "../membershipState/index.js";

/** Where a heartbeat goes; the name is not known yet for a VM that was only listed. */
export interface HeartbeatTarget {
  readonly address: string;
  readonly port: number;
  readonly name?: string;
}

interface PendingPing {
  readonly target: HeartbeatTarget;
  readonly settle: (isAnswered: boolean) => void;
}

type Handler = (heartbeat: heartbeatCodec.Heartbeat, sender: HeartbeatTarget) => void;

const { HeartbeatKind } = heartbeatCodec;

/** Header of a datagram without members, ages and digests; an upper bound. */
const HEADER_BYTES = 120;

/** Sends heartbeats, answers those of others and takes in the news that they carry. */
export class HeartbeatExchange implements Disposable {
  private readonly pending = new Map<number, PendingPing>();
  private readonly subscription: Disposable;
  private nextSequence = 1;
  private agesSentAtMs = -Infinity;
  private syncedAtMs = -Infinity;

  private readonly handlers: Readonly<Record<heartbeatCodec.HeartbeatKind, Handler>> = {
    [HeartbeatKind.Ping]: (heartbeat, sender) => this.onPing(heartbeat, sender),
    [HeartbeatKind.Ack]: (heartbeat, sender) => this.onAck(heartbeat, sender),
    [HeartbeatKind.IndirectPing]: (heartbeat, sender) => this.onIndirectPing(heartbeat, sender),
    [HeartbeatKind.Digests]: (heartbeat, sender) => this.onDigests(heartbeat, sender),
    [HeartbeatKind.Records]: () => undefined,
  };

  /**
   * @param onHeard - called with the sender of each answer to a heartbeat
   */
  constructor(
    private readonly state: membershipState.MembershipState,
    private readonly socket: types.DatagramSocket,
    private readonly options: types.MembershipOptions,
    private readonly clock: clocks.Clock,
    private readonly metrics: telemetry.Metrics,
    private readonly onHeard: (heartbeat: heartbeatCodec.Heartbeat) => void,
  ) {
    this.subscription = socket.onMessage((bytes, address, port) =>
      this.onDatagram(bytes, { address, port }),
    );
  }

  /** Sends a heartbeat and waits for its answer. */
  ping(target: HeartbeatTarget, timeoutMs: number): Promise<boolean> {
    const sequence = this.nextSequence++;
    return this.waitForAck(sequence, target, timeoutMs, () =>
      this.send(target, { kind: HeartbeatKind.Ping, sequence, contactAges: this.agesIfDue() }),
    );
  }

  /** Asks another member to send a heartbeat to the target, and waits for the answer. */
  pingThrough(helper: types.VmMember, target: types.VmMember, timeoutMs: number): Promise<boolean> {
    const sequence = this.nextSequence++;
    return this.waitForAck(sequence, targetOf(helper), timeoutMs, () =>
      this.send(targetOf(helper), {
        kind: HeartbeatKind.IndirectPing,
        sequence,
        target: target.name,
      }),
    );
  }

  /** Gives up all heartbeats that wait for an answer, as if they had not been sent. */
  abandonPending(): void {
    for (const ping of [...this.pending.values()]) ping.settle(true);
  }

  [Symbol.dispose](): void {
    this.subscription[Symbol.dispose]();
    for (const ping of [...this.pending.values()]) ping.settle(false);
  }

  private waitForAck(
    sequence: number,
    target: HeartbeatTarget,
    timeoutMs: number,
    send: () => void,
  ): Promise<boolean> {
    return new Promise((resolve) => {
      const timer = this.clock.schedule(timeoutMs, () => settle(false));
      const settle = (isAnswered: boolean): void => {
        timer[Symbol.dispose]();
        this.pending.delete(sequence);
        resolve(isAnswered);
      };
      this.pending.set(sequence, { target, settle });
      send();
    });
  }

  private onDatagram(bytes: Uint8Array, sender: HeartbeatTarget): void {
    this.metrics.increment("fleet.received_bytes", bytes.length);
    const heartbeat = heartbeatCodec.decodeHeartbeat(bytes, this.options.fleetKey);
    if (heartbeat === undefined) {
      this.metrics.increment("fleet.refused_datagrams");
      return;
    }
    if (heartbeat.from === this.state.self.name) return;
    const nowMs = this.clock.nowMs();
    for (const member of heartbeat.members) this.state.apply(member, nowMs);
    this.handlers[heartbeat.kind](heartbeat, sender);
    this.syncIfDifferent(heartbeat, sender);
  }

  private onPing(heartbeat: heartbeatCodec.Heartbeat, sender: HeartbeatTarget): void {
    const contactAges = Object.keys(heartbeat.contactAges).length > 0 ? this.ages() : {};
    const { sequence } = heartbeat;
    this.send(sender, { kind: HeartbeatKind.Ack, sequence, contactAges }, heartbeat.from);
  }

  private onAck(heartbeat: heartbeatCodec.Heartbeat, sender: HeartbeatTarget): void {
    const ping = this.pending.get(heartbeat.sequence);
    if (ping === undefined) return;
    if (ping.target.name !== undefined && ping.target.name !== heartbeat.from) return;
    if (ping.target.address !== sender.address || ping.target.port !== sender.port) return;
    this.takeContacts(heartbeat);
    this.onHeard(heartbeat);
    ping.settle(true);
  }

  /** Contacts are taken from answers only, as a recorded datagram could be sent again later. */
  private takeContacts(heartbeat: heartbeatCodec.Heartbeat): void {
    const nowMs = this.clock.nowMs();
    const { self, contacts } = this.state;
    if (heartbeat.dataCentre !== self.dataCentre) {
      contacts.onContact(heartbeat.dataCentre, 0, nowMs);
      return;
    }
    for (const [dataCentre, ageMs] of Object.entries(heartbeat.contactAges)) {
      contacts.onContact(dataCentre, ageMs, nowMs);
    }
  }

  private onIndirectPing(heartbeat: heartbeatCodec.Heartbeat, sender: HeartbeatTarget): void {
    const target = this.state.table.get(heartbeat.target);
    if (target === undefined) return;
    const { sequence, from } = heartbeat;
    void this.ping(targetOf(target), this.options.ackTimeoutMs).then((isAnswered) => {
      if (isAnswered) this.send(sender, { kind: HeartbeatKind.Ack, sequence }, from);
    });
  }

  private syncIfDifferent(heartbeat: heartbeatCodec.Heartbeat, sender: HeartbeatTarget): void {
    const nowMs = this.clock.nowMs();
    const isHeartbeat =
      heartbeat.kind === HeartbeatKind.Ping || heartbeat.kind === HeartbeatKind.Ack;
    if (!isHeartbeat || heartbeat.digest === this.digest()) return;
    if (nowMs - this.syncedAtMs < constants.SYNC_INTERVAL_MS) return;
    this.syncedAtMs = nowMs;
    this.send(sender, { kind: HeartbeatKind.Digests, digests: this.digests() });
  }

  /** Sends the members of each data centre that differs, and asks for the other side's. */
  private onDigests(heartbeat: heartbeatCodec.Heartbeat, sender: HeartbeatTarget): void {
    const own = this.digests();
    const different = Object.keys({ ...own, ...heartbeat.digests }).filter(
      (dataCentre) => own[dataCentre] !== heartbeat.digests[dataCentre],
    );
    if (different.length === 0) return;
    const members = [this.state.self, ...this.state.table.members()];
    this.sendRecords(
      sender,
      members.filter((member) => different.includes(member.dataCentre)),
    );
    if (heartbeat.isReply) return;
    this.send(sender, { kind: HeartbeatKind.Digests, digests: own, isReply: true });
  }

  private sendRecords(target: HeartbeatTarget, members: readonly types.VmMember[]): void {
    let batch: types.VmMember[] = [];
    let batchBytes = HEADER_BYTES;
    for (const member of members) {
      const memberBytes = heartbeatCodec.recordBytes(member);
      if (batch.length > 0 && batchBytes + memberBytes > constants.MAX_DATAGRAM_BYTES) {
        this.send(target, { kind: HeartbeatKind.Records, members: batch });
        batch = [];
        batchBytes = HEADER_BYTES;
      }
      batch.push(member);
      batchBytes += memberBytes;
    }
    if (batch.length > 0) this.send(target, { kind: HeartbeatKind.Records, members: batch });
  }

  private send(
    target: HeartbeatTarget,
    fields: Pick<heartbeatCodec.Heartbeat, "kind"> & Partial<heartbeatCodec.Heartbeat>,
    receiver = target.name,
  ): void {
    const { self } = this.state;
    const heartbeat: heartbeatCodec.Heartbeat = {
      from: self.name,
      dataCentre: self.dataCentre,
      sequence: 0,
      target: "",
      digest: this.digest(),
      members: this.newsFor(receiver),
      contactAges: {},
      digests: {},
      isReply: false,
      ...fields,
    };
    const bytes = heartbeatCodec.encodeHeartbeat(heartbeat, this.options.fleetKey);
    this.metrics.increment("fleet.sent_datagrams");
    this.metrics.increment("fleet.sent_bytes", bytes.length);
    this.socket.send(bytes, target.address, target.port);
  }

  /**
   * Queued news. A receiver that is not believed to be live is told so, and can refute it; one
   * that does not know this VM yet is told who it is.
   */
  private newsFor(receiver: string | undefined): readonly types.VmMember[] {
    const news = new Set(this.state.gossip.take(this.state.membersCount));
    const known = receiver === undefined ? undefined : this.state.table.get(receiver);
    if (known === undefined) news.add(this.state.self);
    else if (known.state !== types.MemberState.Live) news.add(known);
    return [...news];
  }

  private agesIfDue(): Readonly<Record<string, number>> {
    const nowMs = this.clock.nowMs();
    if (nowMs - this.agesSentAtMs < constants.AGES_INTERVAL_MS) return {};
    this.agesSentAtMs = nowMs;
    return this.ages();
  }

  private ages(): Readonly<Record<string, number>> {
    return this.state.contacts.ages(this.clock.nowMs());
  }

  private digests(): Readonly<Record<string, number>> {
    return Object.fromEntries(this.state.table.digestsWith(this.state.self));
  }

  private digest(): number {
    let digest = 0;
    for (const part of this.state.table.digestsWith(this.state.self).values()) digest ^= part;
    return digest >>> 0;
  }
}

/** Where a member takes heartbeats. */
export function targetOf(member: types.VmMember): HeartbeatTarget {
  return { address: member.peerAddress, port: member.heartbeatPort, name: member.name };
}
