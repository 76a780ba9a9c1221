import type * as engines from "../../../engines/index.js";
import * as constants from "../../constants.js";
import * as summaries from "../viewSummary/index.js";

/** What was last told about an engine. */
interface ToldView {
  readonly profile: summaries.EngineProfile;
  readonly change: summaries.EngineChange;
}

/** An engine with how much it has changed since it was told. */
interface PendingView {
  readonly told: ToldView;
  readonly isProfileNew: boolean;
  readonly size: number;
}

/** What a group of VMs has been told about engines, so that only changes are told again. */
export class ToldViews {
  private readonly told = new Map<string, ToldView>();
  private membersKey = "";
  private toldAllAtMs = -Infinity;

  /** The largest changes; the others wait for a later round, when they may have grown. */
  updateFor(
    vmNames: readonly string[],
    views: readonly engines.EngineView[],
    nowMs: number,
  ): summaries.ViewUpdate {
    this.forgetWhereDue(vmNames, nowMs);
    const maxChanges = Math.floor(constants.VIEW_CHANGES_PER_ROUND / Math.max(1, vmNames.length));
    const pending = views
      .map((view) => this.pendingOf(view))
      .filter((item) => item.size > 0)
      .sort((left, right) => right.size - left.size)
      .slice(0, Math.max(1, maxChanges));
    for (const { told } of pending) this.told.set(told.profile.name, told);
    const profiles = pending.flatMap((item) => (item.isProfileNew ? [item.told.profile] : []));
    return { profiles, changes: pending.map((item) => item.told.change) };
  }

  /** New members know nothing yet, and what was lost on the way has to be told again. */
  private forgetWhereDue(vmNames: readonly string[], nowMs: number): void {
    const membersKey = vmNames.join();
    const isRefreshDue = nowMs - this.toldAllAtMs >= constants.VIEW_REFRESH_MS;
    if (membersKey === this.membersKey && !isRefreshDue) return;
    this.told.clear();
    this.toldAllAtMs = nowMs;
    this.membersKey = membersKey;
  }

  private pendingOf(view: engines.EngineView): PendingView {
    const told: ToldView = {
      profile: summaries.createProfile(view),
      change: summaries.createChange(view),
    };
    const before = this.told.get(view.name);
    const isProfileNew = JSON.stringify(before?.profile) !== JSON.stringify(told.profile);
    const size = isProfileNew ? Infinity : summaries.changeSize(before?.change, told.change);
    return { told, isProfileNew, size };
  }
}
