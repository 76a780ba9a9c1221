import * as types from "../../types.js";
import * as isSuperseding from "../isSuperseding/index.js";
import * as memberDigest from "../memberDigest/index.js";

/** What became of news about a member. */
export enum MergeResult {
  Applied = "applied",
  /** Known already. */
  Same = "same",
  /** This VM knows something newer, which the sender should hear of. */
  Outdated = "outdated",
}

interface TableEntry {
  readonly member: types.VmMember;
  readonly sinceMs: number;
}

/** All members that this VM knows, other than itself, with the latest news about each. */
export class MemberTable {
  private readonly entries = new Map<string, TableEntry>();
  private digests: Map<string, number> | undefined;
  private aliveMembers: readonly types.VmMember[] | undefined;

  get(name: string): types.VmMember | undefined {
    return this.entries.get(name)?.member;
  }

  members(): readonly types.VmMember[] {
    return [...this.entries.values()].map((entry) => entry.member);
  }

  /** Members that are not known to be dead; the array stays the same until something changes. */
  alive(): readonly types.VmMember[] {
    this.aliveMembers ??= this.members().filter(
      (member) => member.state !== types.MemberState.Dead,
    );
    return this.aliveMembers;
  }

  /** Applies news about a member, unless what is known is newer. */
  merge(news: types.VmMember, nowMs: number): MergeResult {
    const known = this.entries.get(news.name)?.member;
    if (known === undefined || isSuperseding.isSuperseding(news, known)) {
      this.entries.set(news.name, { member: news, sinceMs: nowMs });
      this.onChanged();
      return MergeResult.Applied;
    }
    return isSuperseding.isSuperseding(known, news) ? MergeResult.Outdated : MergeResult.Same;
  }

  /** Members that have been in a state for at least a time. */
  membersSince(
    state: types.MemberState,
    durationMs: number,
    nowMs: number,
  ): readonly types.VmMember[] {
    return [...this.entries.values()]
      .filter((entry) => entry.member.state === state && nowMs - entry.sinceMs >= durationMs)
      .map((entry) => entry.member);
  }

  /** Starts all times in state again, after this process itself has stood still. */
  restartTimes(nowMs: number): void {
    for (const [name, { member }] of this.entries) {
      this.entries.set(name, { member, sinceMs: nowMs });
    }
  }

  forget(name: string): void {
    this.entries.delete(name);
    this.onChanged();
  }

  /** Digests per data centre, of all members and the one given. */
  digestsWith(self: types.VmMember): ReadonlyMap<string, number> {
    this.digests ??= this.digestsOf([...this.members(), self]);
    return this.digests;
  }

  /** Says that the member given to digestsWith has changed. */
  invalidateDigests(): void {
    this.digests = undefined;
  }

  private onChanged(): void {
    this.digests = undefined;
    this.aliveMembers = undefined;
  }

  private digestsOf(members: readonly types.VmMember[]): Map<string, number> {
    const byDataCentre = new Map<string, types.VmMember[]>();
    for (const member of members) {
      const group = byDataCentre.get(member.dataCentre) ?? [];
      group.push(member);
      byDataCentre.set(member.dataCentre, group);
    }
    const digests = new Map<string, number>();
    for (const [name, group] of byDataCentre) digests.set(name, memberDigest.memberDigest(group));
    return digests;
  }
}
