/** An engine that leaves, or one to which runs may migrate. */
export interface LocatedEngine {
  readonly serverId: string;
  readonly dataCentre: string;
}

/**
 * Divides the engines to which runs may migrate among those that leave at the same moment, and lists
 * the ones of a leaving engine. A link transfers one run after the other: a run that was stopped for
 * its last copy would wait behind the runs of another engine, and its stream would pause.
 *
 * The targets of a data centre are for the leaving engines there, and for all where none leaves. All
 * VMs divide them alike by their ids, so that they need no coordination messages.
 *
 * @returns ids of the engine's own targets; may be none
 */
export function divideTargets(
  leaving: readonly LocatedEngine[],
  targets: readonly LocatedEngine[],
  leavingId: string,
): ReadonlySet<string> {
  const dataCentres = new Set(targets.map(({ dataCentre }) => dataCentre));
  const ownIds = [...dataCentres].flatMap((dataCentre) => {
    const local = leaving.filter((engine) => engine.dataCentre === dataCentre);
    const sharing = sortIds(local.length > 0 ? local : leaving);
    const position = sharing.indexOf(leavingId);
    const ids = sortIds(targets.filter((engine) => engine.dataCentre === dataCentre));
    return ids.filter((_, index) => position >= 0 && index % sharing.length === position);
  });
  return new Set(ownIds);
}

function sortIds(engines: readonly LocatedEngine[]): readonly string[] {
  return engines.map(({ serverId }) => serverId).sort();
}
