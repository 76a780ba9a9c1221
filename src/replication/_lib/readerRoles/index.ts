import * as fleet from "../../../fleet/index.js";
import type * as platform from "../../../controlPlane/types.js";
import * as constants from "../../constants.js";

/** VMs of this data centre that read the stream from the log, the first choice first. */
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

/** The VMs of this data centre that a reader serves: each follower prefers one reader. */
export function selectServedFollowers(view: fleet.FleetView, readers: readonly string[]): string[] {
  return reachableMembers(view)
    .filter((member) => member.dataCentre === view.self.dataCentre)
    .map((member) => member.name)
    .filter((name) => !readers.includes(name))
    .filter((name) => preferredReader(readers, name) === view.self.name);
}

/** The reader that passes records on to a follower; undefined where there is none. */
export function preferredReader(readers: readonly string[], follower: string): string | undefined {
  return rankNames(readers, follower)[0];
}

/**
 * Peers to ask for what is missing: own readers, then one VM in each other data centre, then the
 * rest of this one; the list is rotated so that repeated attempts reach others.
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
  const start = (attempt * constants.MAX_PEERS_ASKED) % Math.max(1, ordered.length);
  return [...ordered.slice(start), ...ordered.slice(0, start)].slice(0, constants.MAX_PEERS_ASKED);
}

/** Position of this VM in the order in which VMs write a due snapshot. */
export function snapshotTurn(view: fleet.FleetView, key: string): number {
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
