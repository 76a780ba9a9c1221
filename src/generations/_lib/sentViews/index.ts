import type * as engines from "../../../engines/index.js";
import * as constants from "../../constants.js";
import * as summaries from "../viewSummary/index.js";

/** The profile and load of an engine as last sent. */
interface SentView {
  readonly profile: summaries.EngineProfile;
  readonly change: summaries.EngineChange;
}

/** An engine's current view, with the size of its change since the last one sent. */
interface PendingView {
  readonly content: SentView;
  readonly isProfileNew: boolean;
  readonly size: number;
}

/** The engine views last sent to a group of VMs, so that only changes are sent again. */
export class SentViews {
  private readonly sentByEngine = new Map<string, SentView>();
  private recipientsKey = "";
  private lastResetAtMs = -Infinity;

  /** Creates an update with the largest changes; the others wait for a later round. */
  createUpdate(
    vmNames: readonly string[],
    views: readonly engines.EngineView[],
    nowMs: number,
  ): summaries.ViewUpdate {
    this.resetIfDue(vmNames, nowMs);
    const maxChanges = Math.floor(
      constants.MAX_VIEW_CHANGES_PER_ROUND_COUNT / Math.max(1, vmNames.length),
    );
    const pending = views
      .map((view) => this.createPendingView(view))
      .filter((item) => item.size > 0)
      .sort((left, right) => right.size - left.size)
      .slice(0, Math.max(1, maxChanges));
    for (const { content } of pending) this.sentByEngine.set(content.profile.name, content);
    const profiles = pending.flatMap((item) => (item.isProfileNew ? [item.content.profile] : []));
    return { profiles, changes: pending.map((item) => item.content.change) };
  }

  /** Forgets what was sent if the recipients changed, and at intervals, as updates may be lost. */
  private resetIfDue(vmNames: readonly string[], nowMs: number): void {
    const recipientsKey = vmNames.join();
    const isRefreshDue = nowMs - this.lastResetAtMs >= constants.VIEW_REFRESH_INTERVAL_MS;
    if (recipientsKey === this.recipientsKey && !isRefreshDue) return;
    this.sentByEngine.clear();
    this.lastResetAtMs = nowMs;
    this.recipientsKey = recipientsKey;
  }

  private createPendingView(view: engines.EngineView): PendingView {
    const content: SentView = {
      profile: summaries.createProfile(view),
      change: summaries.encodeChange(view),
    };
    const before = this.sentByEngine.get(view.name);
    const isProfileNew = JSON.stringify(before?.profile) !== JSON.stringify(content.profile);
    const size = isProfileNew
      ? Infinity
      : summaries.computeChangeSize(before?.change, content.change);
    return { content, isProfileNew, size };
  }
}
