import type * as servers from "../../../servers/index.js";
import * as sharedView from "../../../sharedView/index.js";
import type * as currentViews from "../../currentView/index.js";
import type * as types from "../../types.js";

/** What the readers of the store's topics feed. */
export interface ReadersContext {
  readonly ports: types.GatewayPorts;
  readonly directory: servers.ServerDirectory;
  readonly mesh: sharedView.PeerMesh;
  readonly view: currentViews.CurrentView;
}

const READER_OPTIONS: readonly sharedView.ReaderOptions[] = [
  sharedView.CONFIGURATION_READER,
  sharedView.SERVERS_READER,
];

/** Creates a reader for each of the store's topics. */
export function createReaders({
  ports,
  directory,
  mesh,
  view,
}: ReadersContext): readonly sharedView.TopicReader[] {
  const { clock, store, log, meters } = ports;
  return READER_OPTIONS.map((options) => {
    const context: sharedView.ReaderContext = {
      clock,
      store,
      log,
      meters,
      replica: view.replicaOf(options.topic),
      rank: () => mesh.readerRank,
      isPreferred: () => mesh.isPreferredReader,
      onRead: (from, batch) => mesh.broadcastRecords(options.topic, from, batch),
      onListed: () => mesh.announceState(),
      onStoreRegained: () => directory.recordStoreRecovery(),
    };
    return new sharedView.TopicReader(context, options);
  });
}
