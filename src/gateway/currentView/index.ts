import * as lruCache from "lru-cache";

import * as diagnostics from "../../diagnostics/index.js";
import * as routing from "../../routing/index.js";
import * as servers from "../../servers/index.js";
import * as sharedView from "../../sharedView/index.js";
import * as constants from "../constants.js";
import type * as types from "../types.js";

const { Importance, LogEvent } = diagnostics;

/** Log lines for entries of servers; those that change nothing else have none. */
const EVENT_BY_EFFECT: Readonly<Partial<Record<servers.EntryEffect, diagnostics.LogEvent>>> = {
  [servers.EntryEffect.NewStart]: LogEvent.ServerKnown,
  [servers.EntryEffect.Returned]: LogEvent.ServerReturned,
};

/** Maximum number of unreadable records that are remembered, so that each is logged only once. */
const MAX_UNREADABLE_RECORDS_COUNT = 1_000;

/** Maximum lengths of a record's key and of the cause in a log line; longer texts are cut. */
const MAX_LOGGED_KEY_LENGTH = 80;
const MAX_LOGGED_CAUSE_LENGTH = 500;

/** Receives changes of the view. */
export interface ViewListener {
  /** Called when a configuration takes effect. */
  readonly onConfiguration: (configuration: routing.Configuration) => void;
  /** Called when the store has been restored from a copy, and so may have lost entries. */
  readonly onStoreRestored: () => void;
}

/**
 * The decoded view of the platform's store: the configuration in force, whose version never
 * decreases, the evacuated data centres, and the backend servers.
 */
export class CurrentView {
  /** This VM's replicas of the store's topics. */
  readonly replicas: ReadonlyMap<sharedView.Topic, sharedView.TopicReplica>;
  private table: routing.RoutingTable | null = null;
  /** Offsets of the unreadable records that were logged, by key. */
  private readonly unreadableOffsets = new lruCache.LRUCache<string, number>({
    max: MAX_UNREADABLE_RECORDS_COUNT,
  });

  constructor(
    private readonly ports: Pick<types.GatewayPorts, "clock" | "decoder" | "log" | "meters">,
    private readonly directory: servers.ServerDirectory,
    private readonly listener: ViewListener,
  ) {
    const { clock } = ports;
    // Entries count once a configuration names their service.
    directory.nameServices([]);
    directory.evacuations.onChange((change) => this.recordEvacuation(change));
    this.replicas = new Map([
      [
        sharedView.Topic.Configuration,
        new sharedView.TopicReplica(
          clock,
          {
            onRecords: (records, { source }) => {
              this.applyEach(records, (record) => this.applyEvacuation(record));
              this.applyConfigurations(records, source);
            },
            onListing: (records, { source, isRestored }) => {
              this.applyEvacuationListing(records, isRestored);
              this.applyConfigurations(records, source);
            },
            onTurnedAway: (leftOut) =>
              this.recordTurnedAway(sharedView.Topic.Configuration, leftOut),
            isEssential: (record) =>
              ports.decoder.decodeConfiguration(record) !== null ||
              ports.decoder.decodeEvacuation(record)?.isOk() === true,
          },
          constants.REWRITE_MS,
        ),
      ],
      [
        sharedView.Topic.Servers,
        new sharedView.TopicReplica(clock, {
          onRecords: (records, origin) => this.applyServers(records, origin),
          onListing: (records, origin) => this.applyServerListing(records, origin),
          onTurnedAway: (leftOut) => this.recordTurnedAway(sharedView.Topic.Servers, leftOut),
        }),
      ],
    ]);
  }

  /** Routing table of the configuration in force; null before the first configuration. */
  get routingTable(): routing.RoutingTable | null {
    return this.table;
  }

  /** Time since the store last confirmed the configuration in force. */
  get configurationAgeMs(): number {
    return this.replicaOf(sharedView.Topic.Configuration).ageMs;
  }

  /** The evacuations in force. */
  listEvacuations(): readonly servers.Evacuation[] {
    return this.directory.evacuations.list();
  }

  /** Whether a configuration, all evacuations and the servers have been read at least once. */
  get isComplete(): boolean {
    return this.table !== null && [...this.replicas.values()].every(({ isKnown }) => isKnown);
  }

  /** Returns the replica of a topic; throws an error if there is none. */
  replicaOf(topic: sharedView.Topic): sharedView.TopicReplica {
    const replica = this.replicas.get(topic);
    if (replica === undefined) throw new Error(`no replica of ${topic}`);
    return replica;
  }

  private applyConfigurations(
    records: readonly sharedView.ViewRecord[],
    source: sharedView.ViewSource,
  ): void {
    this.applyEach(records, (record) => this.applyConfiguration(record, source));
  }

  private applyConfiguration(record: sharedView.ViewRecord, source: sharedView.ViewSource): void {
    if (record.value === null) return;
    const decoded = this.ports.decoder.decodeConfiguration(record);
    if (decoded === null) return;
    if (decoded.isErr()) {
      this.recordUnreadable(record, decoded.error);
      return;
    }
    const configuration = decoded.value;
    if (configuration.faults !== undefined)
      this.recordUnreadable(record, configuration.faults.join("; "));
    const currentVersion = this.table?.configuration.version ?? -Infinity;
    if (configuration.version <= currentVersion) {
      this.recordIgnoredConfiguration(record, configuration.version, currentVersion, source);
      return;
    }
    this.table = routing.createRoutingTable(configuration);
    const named = this.directory.nameServices(routing.listServiceNames(configuration));
    for (const { entry, effect } of named) this.recordEffect(entry, effect, null);
    this.replicaOf(sharedView.Topic.Configuration).retain(record, configuration.version);
    this.ports.log.record(Importance.StateChange, LogEvent.ConfigurationTaken, {
      version: configuration.version,
      source,
      offset: record.offset,
      ageMs: Math.round(Math.min(1e9, this.configurationAgeMs)),
      routesCount: configuration.routes.length,
      accountsCount: configuration.accounts?.length ?? null,
    });
    this.listener.onConfiguration(configuration);
  }

  private recordIgnoredConfiguration(
    { offset }: sharedView.ViewRecord,
    version: number,
    currentVersion: number,
    source: sharedView.ViewSource,
  ): void {
    if (version === currentVersion) return;
    this.ports.log.record(Importance.Notable, LogEvent.ConfigurationIgnored, {
      version,
      currentVersion,
      source,
      offset,
    });
  }

  private applyEvacuation(record: sharedView.ViewRecord): void {
    const dataCentre = this.decodeEvacuation(record);
    if (dataCentre !== null) this.directory.evacuations.apply(dataCentre, record.value !== null);
  }

  private applyEvacuationListing(
    records: readonly sharedView.ViewRecord[],
    isRestored: boolean,
  ): void {
    const listed = records.flatMap((record) => this.decodeEvacuation(record) ?? []);
    this.directory.evacuations.applyListing(new Set(listed), isRestored);
  }

  /** Decodes which data centre is evacuated; null for records of other kinds and unreadable ones. */
  private decodeEvacuation(record: sharedView.ViewRecord): string | null {
    const decoded = this.ports.decoder.decodeEvacuation(record);
    if (decoded?.isErr() === true) this.recordUnreadable(record, decoded.error);
    return decoded?.unwrapOr(null) ?? null;
  }

  private recordEvacuation({ evacuation, isInForce }: servers.EvacuationChange): void {
    const { dataCentre, knownSinceMs } = evacuation;
    const event = isInForce ? LogEvent.DataCentreEvacuated : LogEvent.DataCentreTakenBack;
    const local = this.directory.listAll().filter(({ entry }) => entry.dataCentre === dataCentre);
    this.ports.log.record(Importance.StateChange, event, {
      evacuatedDataCentre: dataCentre,
      serversCount: local.filter(({ leaving }) => leaving === null).length,
      evacuatedMs: isInForce ? null : Math.round(this.ports.clock.nowMs() - knownSinceMs),
      viewAgeMs: Math.round(Math.min(1e9, this.configurationAgeMs)),
    });
  }

  private applyServers(
    records: readonly sharedView.ViewRecord[],
    origin: sharedView.RecordOrigin,
  ): void {
    this.reportOutageIfStale(origin);
    this.applyEach(records, (record) => {
      if (record.value === null) this.directory.remove(record.key);
      else this.applyServer(record);
    });
  }

  private applyServer(record: sharedView.ViewRecord): void {
    const entry = this.decodeServer(record);
    if (entry === null) return;
    const effect = this.directory.apply(entry);
    if (effect === servers.EntryEffect.UnknownService && this.table !== null)
      this.recordUnreadable(record, `service ${entry.serviceName} is not configured`);
    this.recordEffect(entry, effect, record.offset);
  }

  private recordEffect(
    entry: servers.ServerEntry,
    effect: servers.EntryEffect,
    offset: number | null,
  ): void {
    const event = EVENT_BY_EFFECT[effect];
    if (event === undefined) return;
    this.ports.log.record(Importance.StateChange, event, {
      serverId: entry.id,
      service: entry.serviceName,
      dataCentre: entry.dataCentre,
      state: entry.state,
      sequence: entry.sequence,
      offset,
    });
  }

  private applyServerListing(
    records: readonly sharedView.ViewRecord[],
    origin: sharedView.RecordOrigin,
  ): void {
    this.reportOutageIfStale(origin);
    this.applyEach(records, (record) => this.applyServer(record));
    this.directory.retainListed(new Set(records.map(({ key }) => key)));
  }

  /** Reports an outage to the directory, as entries of healthy servers may be missing for a while. */
  private reportOutageIfStale({ viewAgeMs, isRestored }: sharedView.RecordOrigin): void {
    if (isRestored || viewAgeMs > constants.STALE_VIEW_AGE_MS) this.directory.recordStoreRecovery();
    if (isRestored) this.listener.onStoreRestored();
  }

  /** Decodes a server's entry; returns null for an unreadable one, which does not affect others. */
  private decodeServer(record: sharedView.ViewRecord): servers.ServerEntry | null {
    const decoded = this.ports.decoder.decodeServer(record);
    if (decoded.isOk()) return decoded.value;
    this.recordUnreadable(record, decoded.error);
    return null;
  }

  /** Applies records one by one, so that an error at one of them does not keep the others from being followed. */
  private applyEach(
    records: readonly sharedView.ViewRecord[],
    apply: (record: sharedView.ViewRecord) => void,
  ): void {
    const { Task } = diagnostics.ErrorOrigin;
    for (const record of records) {
      const fields = { key: record.key.slice(0, MAX_LOGGED_KEY_LENGTH), offset: record.offset };
      diagnostics.contain(this.ports, Task, fields, () => apply(record));
    }
  }

  /** Counts and logs records that a replica has no room for. */
  private recordTurnedAway(
    topic: sharedView.Topic,
    { first, recordsCount }: sharedView.LeftOutRecords,
  ): void {
    this.ports.meters.turnedAwayRecords.inc({ topic }, recordsCount);
    this.ports.log.record(Importance.Notable, LogEvent.RecordsTurnedAway, {
      topic,
      recordsCount,
      firstKey: first.key.slice(0, MAX_LOGGED_KEY_LENGTH),
      firstOffset: first.offset,
      keptBytes: this.replicaOf(topic).sizeBytes,
    });
  }

  /** Counts a record that cannot be used, and logs it once, however often it is listed. */
  private recordUnreadable({ key, offset }: sharedView.ViewRecord, cause: string): void {
    if (this.unreadableOffsets.get(key) === offset) return;
    this.unreadableOffsets.set(key, offset);
    this.ports.meters.unreadableRecords.inc();
    this.ports.log.record(Importance.Notable, LogEvent.StoreRecordUnreadable, {
      key: key.slice(0, MAX_LOGGED_KEY_LENGTH),
      offset,
      cause: cause.slice(0, MAX_LOGGED_CAUSE_LENGTH),
    });
  }
}
