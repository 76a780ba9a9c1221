import * as fleet from "../../../fleet/index.js";
import type * as platform from "../../../controlPlane/types.js";
import * as constants from "../../constants.js";

/** Selects the VMs of this data centre that read the stream from the log, by rendezvous hashing. */
export function selectReaders(
  view: fleet.FleetView,
  stream: platform.LogStream,
  readersCount: number,
): string[] {
  const names = reachableMembers(view)
    .filter((member) => member.dataCentre === view.self.dataCentre)
    .map((member) => member.name);
  return rankNames(names, `reader/${stream}`).slice(0, readersCount);
}

/** Selects the followers of this data centre to which this VM, as a reader, forwards records. */
export function selectServedFollowers(view: fleet.FleetView, readers: readonly string[]): string[] {
  return reachableMembers(view)
    .filter((member) => member.dataCentre === view.self.dataCentre)
    .map((member) => member.name)
    .filter((name) => !readers.includes(name))
    .filter((name) => selectAssignedReader(readers, name) === view.self.name);
}

/** Selects the reader that forwards records to a follower; undefined if there is no reader. */
export function selectAssignedReader(
  readers: readonly string[],
  follower: string,
): string | undefined {
  return rankNames(readers, follower)[0];
}

/**
 * Selects the peers to ask for missing records or state: the readers of this data centre, then one
 * VM in each other data centre, then the other VMs of this one. The list is rotated by the attempt,
 * so that repeated attempts ask other peers.
 *
 * @param attempt - number of the attempt, from 0
 */
export function selectSources(
  view: fleet.FleetView,
  readers: readonly string[],
  attempt: number,
): string[] {
  const others = reachableMembers(view).filter((member) => member.name !== view.self.name);
  const isLocal = (member: fleet.VmMember): boolean => member.dataCentre === view.self.dataCentre;
  const local = others.filter(isLocal).map((member) => member.name);
  const remote = onePerDataCentre(
    others.filter((member) => !isLocal(member)),
    `${view.self.name}/${attempt}`,
  );
  const ordered = [
    ...local.filter((name) => readers.includes(name)),
    ...remote,
    ...local.filter((name) => !readers.includes(name)),
  ];
  const start = (attempt * constants.PEERS_PER_ATTEMPT_COUNT) % Math.max(1, ordered.length);
  return [...ordered.slice(start), ...ordered.slice(0, start)].slice(
    0,
    constants.PEERS_PER_ATTEMPT_COUNT,
  );
}

/** Returns this VM's position, from 0, in the order in which VMs write a due snapshot. */
export function rankSnapshotWriter(view: fleet.FleetView, key: string): number {
  const names = reachableMembers(view).map((member) => member.name);
  return Math.max(0, rankNames(names, key).indexOf(view.self.name));
}

function rankNames(names: readonly string[], key: string): readonly string[] {
  const members = names.map((name) => ({ name }));
  return fleet.rankByRendezvous(key, members).map(({ name }) => name);
}

function onePerDataCentre(members: readonly fleet.VmMember[], key: string): string[] {
  const byDataCentre = new Map<string, string[]>();
  for (const member of members) {
    const names = byDataCentre.get(member.dataCentre) ?? [];
    names.push(member.name);
    byDataCentre.set(member.dataCentre, names);
  }
  return [...byDataCentre.values()].flatMap((names) => rankNames(names, key).slice(0, 1));
}

function reachableMembers(view: fleet.FleetView): readonly fleet.VmMember[] {
  return view
    .members()
    .filter(
      (member) =>
        member.name === view.self.name ||
        member.state === fleet.MemberState.Live ||
        member.state === fleet.MemberState.Leaving,
    );
}
