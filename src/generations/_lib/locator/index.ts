import * as requestIds from "../../createRequestId/index.js";
import * as selectStandbys from "../../selectStandby/index.js";
import * as attempts from "../attempts/index.js";
import type * as contexts from "../context/index.js";
import type * as homeHandlers from "../homeHandlers/index.js";
import type * as standbyHandlers from "../standbyHandlers/index.js";
import * as messages from "../messages/index.js";
import type * as ownedGenerations from "../ownedGeneration/index.js";
import type * as ownerHandlers from "../ownerHandlers/index.js";
import * as takeOvers from "../takeOver/index.js";

/** Largest fleet in which all VMs are queried if the hinted VMs do not hold a generation. */
const MAX_QUERIED_VMS_COUNT = 32;

/** A holder's answer to a locate query. */
export interface LocatedHolder {
  readonly vmName: string;
  readonly answer: messages.LocateAnswer;
}

/** This VM's message handlers for the roles that it may have for a generation. */
export interface RoleHandlers {
  readonly owner: ownerHandlers.OwnerHandlers;
  readonly standby: standbyHandlers.StandbyHandlers;
  readonly home: homeHandlers.HomeHandlers;
}

/** Locates generations in the fleet, and takes over those whose owner is unavailable. */
export class Locator {
  constructor(
    private readonly context: contexts.GenerationContext,
    private readonly roles: RoleHandlers,
  ) {}

  /** Registers the message handlers. */
  start(): void {
    const { link } = this.context;
    link.handle(messages.Method.Locate, messages.locateSchema, ({ requestId }) =>
      this.describeLocalHolder(requestId),
    );
    link.handle(messages.Method.TakeOver, messages.takeOverSchema, (takeOver) => ({
      snapshot: takeOvers.releaseGeneration(this.roles, takeOver),
    }));
  }

  /** Queries the likely holders of a generation; if none holds it, all VMs of a small fleet. */
  async locate(requestId: string): Promise<readonly LocatedHolder[]> {
    const queries = new Map<string, Promise<LocatedHolder | null>>();
    const query = (vmName: string): void => {
      if (!queries.has(vmName)) queries.set(vmName, this.queryHolder(vmName, requestId));
    };
    for (const vmName of this.listLikelyHolders(requestId)) query(vmName);
    for (const answer of [...queries.values()]) {
      const located = await answer;
      if (located?.answer.ownerVm) query(located.answer.ownerVm);
      if (located?.answer.homeVm) query(located.answer.homeVm);
    }
    const answers = (await Promise.all(queries.values())).filter((located) => located !== null);
    const members = this.context.fleet.members();
    if (answers.length > 0 || members.length > MAX_QUERIED_VMS_COUNT) return answers;
    for (const member of members) query(member.name);
    return (await Promise.all(queries.values())).filter((located) => located !== null);
  }

  /**
   * Becomes the owner of a generation, with the state merged from its reachable holders.
   *
   * @returns null if none of them holds the generation
   */
  async takeOver(
    requestId: string,
    located: readonly LocatedHolder[],
  ): Promise<ownedGenerations.OwnedGeneration | null> {
    const knownAttempts = located.map((holder) => holder.answer.attempt);
    const attempt = attempts.computeNextOwnerAttempt(Math.max(0, ...knownAttempts));
    const newOwnerVm = this.context.link.selfName;
    const answers = await Promise.all(
      located.map(({ vmName }) =>
        this.context.link.call(
          vmName,
          messages.Method.TakeOver,
          { requestId, attempt, newOwnerVm },
          messages.takeOverAnswerSchema,
        ),
      ),
    );
    const snapshots = answers.flatMap((answer) =>
      answer.isOk() && answer.value.snapshot !== null ? [answer.value.snapshot] : [],
    );
    const merged = takeOvers.mergeSnapshots(snapshots, newOwnerVm);
    if (merged === null) return null;
    this.context.metrics.increment("generations.owner_takeovers");
    this.context.tracer.record(requestId, {
      step: "owner.taken-over",
      offset: merged.tokens.length,
      reason: `attempt ${merged.attempt}, from ${snapshots.length} holders`,
    });
    this.roles.standby.remove(requestId);
    const generation = this.roles.owner.takeOwnership(merged);
    void this.roles.owner.replicator.replicate(generation.record);
    return generation;
  }

  private async queryHolder(vmName: string, requestId: string): Promise<LocatedHolder | null> {
    const answer = await this.context.link.call(
      vmName,
      messages.Method.Locate,
      { requestId },
      messages.locateAnswerSchema,
    );
    if (answer.isErr() || answer.value.role === messages.HolderRole.None) return null;
    return { vmName, answer: answer.value };
  }

  private describeLocalHolder(requestId: string): messages.LocateAnswer {
    const generation = this.roles.owner.find(requestId);
    const record = generation?.record ?? this.roles.standby.find(requestId);
    if (record !== null) {
      const isOwner = generation?.isCurrentOwner === true;
      return {
        role: isOwner ? messages.HolderRole.Owner : messages.HolderRole.Standby,
        ownerVm: record.ownerVm,
        homeVm: record.run?.homeVm ?? null,
        accountName: record.request.accountName,
        attempt: record.attempt,
        tokensCount: record.tokens.length,
      };
    }
    const run = this.roles.home.findRun(requestId);
    return {
      role: run === null ? messages.HolderRole.None : messages.HolderRole.Home,
      ownerVm: run?.ownerVm ?? null,
      homeVm: null,
      accountName: run?.request.accountName ?? null,
      attempt: run?.attempt ?? 0,
      tokensCount: run?.tokens.length ?? 0,
    };
  }

  private listLikelyHolders(requestId: string): ReadonlySet<string> {
    const members = this.context.fleet.members();
    const names = new Set<string>([this.context.link.selfName]);
    const hints = requestIds.parseRequestHints(requestId);
    for (const member of members) {
      const hint = requestIds.computeVmHint(member.name);
      if (hint === hints?.ownerHint || hint === hints?.standbyHint) names.add(member.name);
    }
    for (const vmName of selectStandbys.listStandbyCandidates(requestId, members))
      names.add(vmName);
    return names;
  }
}
