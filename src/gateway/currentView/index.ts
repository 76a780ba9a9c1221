import * as diagnostics from "../../diagnostics/index.js";
import * as routing from "../../routing/index.js";
import type * as servers from "../../servers/index.js";
import * as sharedView from "../../sharedView/index.js";
import * as constants from "../constants.js";
import type * as types from "../types.js";

const { Importance, LogEvent } = diagnostics;

/**
 * What the records of the platform's store mean: the configuration in force, which never goes back
 * to an older version, and the backend servers.
 */
export class CurrentView {
  readonly replicas: ReadonlyMap<sharedView.Topic, sharedView.TopicReplica>;
  private table: routing.RoutingTable | null = null;

  constructor(
    private readonly ports: Pick<types.GatewayPorts, "clock" | "decoder" | "log">,
    private readonly directory: servers.ServerDirectory,
    private readonly onConfiguration: (configuration: routing.Configuration) => void,
  ) {
    const { clock } = ports;
    this.replicas = new Map([
      [
        sharedView.Topic.Configuration,
        new sharedView.TopicReplica(clock, {
          onRecords: (records, { source }) => this.takeConfigurations(records, source),
          onListing: (records, { source }) => this.takeConfigurations(records, source),
        }),
      ],
      [
        sharedView.Topic.Servers,
        new sharedView.TopicReplica(clock, {
          onRecords: (records, origin) => this.takeServers(records, origin),
          onListing: (records, origin) => this.takeServerListing(records, origin),
        }),
      ],
    ]);
  }

  /** The configuration in force; null before the first. */
  get routingTable(): routing.RoutingTable | null {
    return this.table;
  }

  /** Time since the store confirmed the configuration in force. */
  get configurationAgeMs(): number {
    return this.replicaOf(sharedView.Topic.Configuration).ageMs;
  }

  /** Whether both topics were read once. */
  get isComplete(): boolean {
    return this.table !== null && this.replicaOf(sharedView.Topic.Servers).isKnown;
  }

  /** The replica of a topic. */
  replicaOf(topic: sharedView.Topic): sharedView.TopicReplica {
    const replica = this.replicas.get(topic);
    if (replica === undefined) throw new Error(`no replica of ${topic}`);
    return replica;
  }

  private takeConfigurations(
    records: readonly sharedView.ViewRecord[],
    source: sharedView.ViewSource,
  ): void {
    for (const record of records) this.takeConfiguration(record, source);
  }

  private takeConfiguration(record: sharedView.ViewRecord, source: sharedView.ViewSource): void {
    if (record.value === null) return;
    const decoded = this.ports.decoder.decodeConfiguration(record);
    if (decoded === null) return;
    if (decoded.isErr()) {
      this.noteUnreadable(record, decoded.error);
      return;
    }
    const configuration = decoded.value;
    const currentVersion = this.table?.configuration.version ?? -Infinity;
    if (configuration.version <= currentVersion) return;
    this.table = routing.createRoutingTable(configuration);
    this.ports.log.record(Importance.Belief, LogEvent.ConfigurationTaken, {
      version: configuration.version,
      source,
      offset: record.offset,
      ageMs: Math.round(Math.min(1e9, this.configurationAgeMs)),
      routesCount: configuration.routes.length,
      accountsCount: configuration.accounts?.length ?? null,
    });
    this.onConfiguration(configuration);
  }

  private takeServers(
    records: readonly sharedView.ViewRecord[],
    origin: sharedView.RecordOrigin,
  ): void {
    this.noteAge(origin);
    for (const record of records) {
      if (record.value === null) {
        this.directory.remove(record.key);
        continue;
      }
      this.takeServer(record);
    }
  }

  private takeServer(record: sharedView.ViewRecord): void {
    const entry = this.decodeServer(record);
    if (entry === null || !this.directory.apply(entry)) return;
    this.ports.log.record(Importance.Belief, LogEvent.ServerKnown, {
      serverId: entry.id,
      service: entry.serviceName,
      dataCentre: entry.dataCentre,
      state: entry.state,
      offset: record.offset,
    });
  }

  private takeServerListing(
    records: readonly sharedView.ViewRecord[],
    origin: sharedView.RecordOrigin,
  ): void {
    this.noteAge(origin);
    for (const record of records) this.takeServer(record);
    this.directory.retainListed(new Set(records.map(({ key }) => key)));
  }

  /** After a time without the store's word entries may have lapsed of servers that are well. */
  private noteAge({ viewAgeMs }: sharedView.RecordOrigin): void {
    if (viewAgeMs > constants.DATED_VIEW_MS) this.directory.noteStoreRegained();
  }

  /** An entry that cannot be read names no server; the others hold. */
  private decodeServer(record: sharedView.ViewRecord): servers.ServerEntry | null {
    const decoded = this.ports.decoder.decodeServer(record);
    if (decoded.isOk()) return decoded.value;
    this.noteUnreadable(record, decoded.error);
    return null;
  }

  private noteUnreadable(record: sharedView.ViewRecord, cause: string): void {
    this.ports.log.record(Importance.Notable, LogEvent.StoreRecordUnreadable, {
      key: record.key.slice(0, 80),
      offset: record.offset,
      cause,
    });
  }
}
