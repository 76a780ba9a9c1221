import * as types from "../../types.js";
import * as isSuperseding from "../isSuperseding/index.js";
import * as computeMemberDigest from "../computeMemberDigest/index.js";

/** The result of merging a member's record. */
export enum MergeResult {
  Applied = "applied",
  /** The record is equivalent to the known one. */
  Same = "same",
  /** The known record is newer; the sender of the update lacks it. */
  Outdated = "outdated",
}

interface TableEntry {
  readonly member: types.VmMember;
  readonly stateSinceMs: number;
}

/** The latest known record of each member other than this VM. */
export class MemberTable {
  private readonly entries = new Map<string, TableEntry>();
  private digests: Map<string, number> | undefined;
  private cachedNonDeadMembers: readonly types.VmMember[] | undefined;

  /** Returns a member's latest record. */
  get(name: string): types.VmMember | undefined {
    return this.entries.get(name)?.member;
  }

  /** Returns all members, in any state. */
  members(): readonly types.VmMember[] {
    return [...this.entries.values()].map((entry) => entry.member);
  }

  /** Members that are not known to be dead; returns the same array until the table changes. */
  nonDeadMembers(): readonly types.VmMember[] {
    this.cachedNonDeadMembers ??= this.members().filter(
      (member) => member.state !== types.MemberState.Dead,
    );
    return this.cachedNonDeadMembers;
  }

  /** Applies a member's record if it supersedes the known one. */
  merge(update: types.VmMember, nowMs: number): MergeResult {
    const known = this.entries.get(update.name)?.member;
    if (known === undefined || isSuperseding.isSuperseding(update, known)) {
      this.entries.set(update.name, { member: update, stateSinceMs: nowMs });
      this.onChanged();
      return MergeResult.Applied;
    }
    return isSuperseding.isSuperseding(known, update) ? MergeResult.Outdated : MergeResult.Same;
  }

  /** Members that have been in a state for at least the given duration. */
  membersSince(
    state: types.MemberState,
    durationMs: number,
    nowMs: number,
  ): readonly types.VmMember[] {
    return [...this.entries.values()]
      .filter((entry) => entry.member.state === state && nowMs - entry.stateSinceMs >= durationMs)
      .map((entry) => entry.member);
  }

  /** Restarts the time in state of all members, after a pause of this process. */
  resetStateTimes(nowMs: number): void {
    for (const [name, { member }] of this.entries) {
      this.entries.set(name, { member, stateSinceMs: nowMs });
    }
  }

  /** Removes a member. */
  remove(name: string): void {
    this.entries.delete(name);
    this.onChanged();
  }

  /** Digests per data centre, of all members and `self`; cached until invalidated. */
  digestsWith(self: types.VmMember): ReadonlyMap<string, number> {
    this.digests ??= this.digestsOf([...this.members(), self]);
    return this.digests;
  }

  /** Invalidates the digests after a change of the member that is passed to digestsWith. */
  invalidateDigests(): void {
    this.digests = undefined;
  }

  private onChanged(): void {
    this.digests = undefined;
    this.cachedNonDeadMembers = undefined;
  }

  private digestsOf(members: readonly types.VmMember[]): Map<string, number> {
    const byDataCentre = new Map<string, types.VmMember[]>();
    for (const member of members) {
      const group = byDataCentre.get(member.dataCentre) ?? [];
      group.push(member);
      byDataCentre.set(member.dataCentre, group);
    }
    const digests = new Map<string, number>();
    for (const [name, group] of byDataCentre)
      digests.set(name, computeMemberDigest.computeMemberDigest(group));
    return digests;
  }
}
