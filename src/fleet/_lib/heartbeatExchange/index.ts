import type * as clocks from "../../../_lib/clock/index.js";
import type * as telemetry from "../../../telemetry/types.js";
import * as constants from "../../constants.js";
import * as types from "../../types.js";
import * as heartbeatCodec from "../heartbeatCodec/index.js";
import type * as membershipState from "../membershipState/index.js";

/** The receiver of a heartbeat; the name is unknown for a listed VM that is not a member yet. */
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

/** Bytes reserved in a datagram of member records for its other fields. */
const HEADER_BYTES = 120;

/** Sends heartbeats, answers those of others and applies the member updates that they carry. */
export class HeartbeatExchange implements Disposable {
  private readonly pending = new Map<number, PendingPing>();
  private readonly subscription: Disposable;
  private nextSequence = 1;
  private contactAgesSentAtMs = -Infinity;
  private syncedAtMs = -Infinity;

  private readonly handlers: Readonly<Record<heartbeatCodec.HeartbeatKind, Handler>> = {
    [HeartbeatKind.Ping]: (heartbeat, sender) => this.onPing(heartbeat, sender),
    [HeartbeatKind.Ack]: (heartbeat, sender) => this.onAck(heartbeat, sender),
    [HeartbeatKind.IndirectPing]: (heartbeat, sender) => this.onIndirectPing(heartbeat, sender),
    [HeartbeatKind.Digests]: (heartbeat, sender) => this.onDigests(heartbeat, sender),
    [HeartbeatKind.Records]: () => undefined,
  };

  /**
   * @param onAnswer - called with each valid answer to a heartbeat
   */
  constructor(
    private readonly state: membershipState.MembershipState,
    private readonly socket: types.DatagramSocket,
    private readonly options: types.MembershipOptions,
    private readonly clock: clocks.Clock,
    private readonly metrics: telemetry.Metrics,
    private readonly onAnswer: (heartbeat: heartbeatCodec.Heartbeat) => void,
  ) {
    this.subscription = socket.onMessage((bytes, address, port) =>
      this.onDatagram(bytes, { address, port }),
    );
  }

  /** Sends a ping; resolves to whether its answer arrived in time. */
  ping(target: HeartbeatTarget, timeoutMs: number): Promise<boolean> {
    const sequence = this.nextSequence++;
    return this.waitForAck(sequence, target, timeoutMs, () =>
      this.send(target, {
        kind: HeartbeatKind.Ping,
        sequence,
        contactAges: this.contactAgesIfDue(),
      }),
    );
  }

  /** Asks another member to ping the target; resolves to whether its answer arrived in time. */
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

  /** Settles all pending pings as answered, so that none raises a suspicion. */
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
    const contactAges = Object.keys(heartbeat.contactAges).length > 0 ? this.contactAges() : {};
    const { sequence } = heartbeat;
    this.send(sender, { kind: HeartbeatKind.Ack, sequence, contactAges }, heartbeat.from);
  }

  private onAck(heartbeat: heartbeatCodec.Heartbeat, sender: HeartbeatTarget): void {
    const ping = this.pending.get(heartbeat.sequence);
    if (ping === undefined) return;
    if (ping.target.name !== undefined && ping.target.name !== heartbeat.from) return;
    if (ping.target.address !== sender.address || ping.target.port !== sender.port) return;
    this.recordContacts(heartbeat);
    this.onAnswer(heartbeat);
    ping.settle(true);
  }

  /** Contacts are recorded from answers only, since other datagrams could have been replayed. */
  private recordContacts(heartbeat: heartbeatCodec.Heartbeat): void {
    const nowMs = this.clock.nowMs();
    const { self, contacts } = this.state;
    if (heartbeat.dataCentre !== self.dataCentre) {
      contacts.recordContact(heartbeat.dataCentre, 0, nowMs);
      return;
    }
    for (const [dataCentre, ageMs] of Object.entries(heartbeat.contactAges)) {
      contacts.recordContact(dataCentre, ageMs, nowMs);
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

  /** Sends digests if a heartbeat's digest differs from this VM's, at most once per interval. */
  private syncIfDifferent(heartbeat: heartbeatCodec.Heartbeat, sender: HeartbeatTarget): void {
    const nowMs = this.clock.nowMs();
    const isHeartbeat =
      heartbeat.kind === HeartbeatKind.Ping || heartbeat.kind === HeartbeatKind.Ack;
    if (!isHeartbeat || heartbeat.digest === this.digest()) return;
    if (nowMs - this.syncedAtMs < constants.SYNC_INTERVAL_MS) return;
    this.syncedAtMs = nowMs;
    this.send(sender, { kind: HeartbeatKind.Digests, digests: this.digests() });
  }

  /** Sends the records of data centres whose digests differ, and own digests if not yet sent. */
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
      const memberBytes = heartbeatCodec.encodedRecordBytes(member);
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
      members: this.selectUpdates(receiver),
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
   * Selects queued updates to be sent. They include the receiver's own record if it is not live, so
   * that the receiver can refute it, and this VM's record if the receiver is unknown.
   */
  private selectUpdates(receiver: string | undefined): readonly types.VmMember[] {
    const updates = new Set(this.state.gossip.take(this.state.nonDeadCount));
    const known = receiver === undefined ? undefined : this.state.table.get(receiver);
    if (known === undefined) updates.add(this.state.self);
    else if (known.state !== types.MemberState.Live) updates.add(known);
    return [...updates];
  }

  private contactAgesIfDue(): Readonly<Record<string, number>> {
    const nowMs = this.clock.nowMs();
    if (nowMs - this.contactAgesSentAtMs < constants.CONTACT_AGES_INTERVAL_MS) return {};
    this.contactAgesSentAtMs = nowMs;
    return this.contactAges();
  }

  private contactAges(): Readonly<Record<string, number>> {
    return this.state.contacts.contactAges(this.clock.nowMs());
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

/** Returns the address at which a member receives heartbeats. */
export function targetOf(member: types.VmMember): HeartbeatTarget {
  return { address: member.peerAddress, port: member.heartbeatPort, name: member.name };
}
