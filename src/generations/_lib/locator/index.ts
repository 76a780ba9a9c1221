import * as requestIds from "../../createRequestId/index.js";
import * as selectKeepers from "../../selectKeeper/index.js";
import * as attempts from "../attempts/index.js";
import type * as contexts from "../context/index.js";
import type * as homeDesks from "../homeDesk/index.js";
import type * as keeperDesks from "../keeperDesk/index.js";
import * as messages from "../messages/index.js";
import type * as owneds from "../owned/index.js";
import type * as ownerDesks from "../ownerDesk/index.js";
import * as takeOvers from "../takeOver/index.js";

/** Up to this size of fleet everyone is asked for a generation that is not where it should be. */
const MAX_ASKED_COUNT = 32;

/** What a holder knows about where a generation is. */
export interface LocatedHolder {
  readonly vmName: string;
  readonly answer: messages.LocateAnswer;
}

/** The parts of a VM that may hold a generation. */
export interface Holders {
  readonly owner: ownerDesks.OwnerDesk;
  readonly keeper: keeperDesks.KeeperDesk;
  readonly home: homeDesks.HomeDesk;
}

/** Finds generations that other VMs hold, and takes over those whose owner is gone. */
export class Locator {
  constructor(
    private readonly context: contexts.GenerationContext,
    private readonly holders: Holders,
  ) {}

  start(): void {
    const { link } = this.context;
    link.handle(messages.Method.Locate, messages.locateSchema, ({ requestId }) =>
      this.locateHere(requestId),
    );
    link.handle(messages.Method.TakeOver, messages.takeOverSchema, (takeOver) => ({
      snapshot: takeOvers.release(this.holders, takeOver),
    }));
  }

  /** VMs that hold a generation, found by the hints in its id. */
  async locate(requestId: string): Promise<readonly LocatedHolder[]> {
    const asked = new Map<string, Promise<LocatedHolder | null>>();
    const ask = (vmName: string): void => {
      if (!asked.has(vmName)) asked.set(vmName, this.askHolder(vmName, requestId));
    };
    for (const vmName of this.likelyHolders(requestId)) ask(vmName);
    for (const answer of [...asked.values()]) {
      const located = await answer;
      if (located?.answer.ownerVm) ask(located.answer.ownerVm);
      if (located?.answer.homeVm) ask(located.answer.homeVm);
    }
    const answers = (await Promise.all(asked.values())).filter((located) => located !== null);
    const members = this.context.fleet.members();
    if (answers.length > 0 || members.length > MAX_ASKED_COUNT) return answers;
    for (const member of members) ask(member.name);
    return (await Promise.all(asked.values())).filter((located) => located !== null);
  }

  /** Becomes the owner of a generation, with what its reachable holders have of it. */
  async takeOver(
    requestId: string,
    located: readonly LocatedHolder[],
  ): Promise<owneds.OwnedGeneration | null> {
    const known = located.map((holder) => holder.answer.attempt);
    const attempt = attempts.nextOwnerAttempt(Math.max(0, ...known));
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
    this.holders.keeper.remove(requestId);
    const generation = this.holders.owner.own(merged);
    void this.holders.owner.replicator.keep(generation.record);
    return generation;
  }

  private async askHolder(vmName: string, requestId: string): Promise<LocatedHolder | null> {
    const answer = await this.context.link.call(
      vmName,
      messages.Method.Locate,
      { requestId },
      messages.locateAnswerSchema,
    );
    if (answer.isErr() || answer.value.role === messages.HolderRole.None) return null;
    return { vmName, answer: answer.value };
  }

  private locateHere(requestId: string): messages.LocateAnswer {
    const generation = this.holders.owner.find(requestId);
    const record = generation?.record ?? this.holders.keeper.find(requestId);
    if (record !== null) {
      const isOwner = generation?.isCurrentOwner === true;
      return {
        role: isOwner ? messages.HolderRole.Owner : messages.HolderRole.Keeper,
        ownerVm: record.ownerVm,
        homeVm: record.run?.homeVm ?? null,
        accountName: record.request.accountName,
        attempt: record.attempt,
        tokensCount: record.tokens.length,
      };
    }
    const run = this.holders.home.findRun(requestId);
    return {
      role: run === null ? messages.HolderRole.None : messages.HolderRole.Home,
      ownerVm: run?.ownerVm ?? null,
      homeVm: null,
      accountName: run?.request.accountName ?? null,
      attempt: run?.attempt ?? 0,
      tokensCount: run?.tokens.length ?? 0,
    };
  }

  private likelyHolders(requestId: string): ReadonlySet<string> {
    const members = this.context.fleet.members();
    const names = new Set<string>([this.context.link.selfName]);
    const hints = requestIds.parseRequestHints(requestId);
    for (const member of members) {
      const hint = requestIds.vmHint(member.name);
      if (hint === hints?.ownerHint || hint === hints?.keeperHint) names.add(member.name);
    }
    for (const vmName of selectKeepers.listLikelyKeepers(requestId, members)) names.add(vmName);
    return names;
  }
}
