import type * as backends from "../../backends/types.js";
import type * as randoms from "../../_lib/random/index.js";
import * as catalogue from "../../catalogue/types.js";
import * as constants from "../constants.js";
import * as types from "../types.js";

/** Input of engine selection besides the engine views. */
export interface SelectEngineOptions {
  /** Data centre of the caller's entry VM; its engines are preferred. */
  readonly dataCentre: string;
  readonly random: randoms.RandomSource;
  /** Expected share, from 0 to 1, of the prompt's prefix blocks that an engine has cached. */
  readonly prefixLikelihoodOf?: (engineName: string, need: types.GenerationNeed) => number;
  /** Engines excluded from selection, for example because they have just refused the request. */
  readonly excludedNames?: ReadonlySet<string>;
}

/** The engine selected for a request, with the reason. */
export interface EngineChoice {
  readonly engineName: string;
  readonly reason: string;
}

/**
 * Selects an engine for a request. Among engines of nearly the same score one is drawn at random,
 * so that several VMs with the same stale views do not all select one engine. If there are very
 * many engines, only a random sample is scored, unless none in it can serve the request.
 *
 * @param need - the request
 * @param views - views of all known engines, usable or not
 * @returns the selected engine, or null if none can serve the request
 */
export function selectEngine(
  need: types.GenerationNeed,
  views: readonly types.EngineView[],
  options: SelectEngineOptions,
): EngineChoice | null {
  if (views.length <= constants.MAX_SCANNED_ENGINES_COUNT) return selectBest(need, views, options);
  const sample: types.EngineView[] = [];
  for (let drawn = 0; drawn < constants.SAMPLED_ENGINES_COUNT; drawn += 1) {
    const view = views[Math.floor(options.random.next() * views.length)];
    if (view !== undefined) sample.push(view);
  }
  return selectBest(need, sample, options) ?? selectBest(need, views, options);
}

function selectBest(
  need: types.GenerationNeed,
  views: readonly types.EngineView[],
  options: SelectEngineOptions,
): EngineChoice | null {
  let best: types.EngineView | null = null;
  let bestScore = Infinity;
  let equalCount = 0;
  for (const view of views) {
    if (!isUsable(view, need, options)) continue;
    const score = computeScore(view, need, options);
    if (score < bestScore - constants.EQUAL_SCORE_TOLERANCE) equalCount = 0;
    else if (score > bestScore + constants.EQUAL_SCORE_TOLERANCE) continue;
    equalCount += 1;
    bestScore = Math.min(bestScore, score);
    if (options.random.next() * equalCount < 1) best = view;
  }
  if (best === null) return null;
  const reason = `score ${bestScore.toFixed(2)}, drawn from ${equalCount} near-equal engines`;
  return { engineName: best.name, reason };
}

/** Whether an engine has a model with its version and adapter loaded. */
export function hasModelLoaded(
  loadedModels: readonly backends.LoadedModel[],
  need: Pick<types.GenerationNeed, "model" | "version" | "adapter">,
): boolean {
  return loadedModels.some(
    (item) =>
      item.model === need.model &&
      item.version === need.version &&
      (need.adapter === null || item.adapters.includes(need.adapter)),
  );
}

function isUsable(
  view: types.EngineView,
  need: types.GenerationNeed,
  options: SelectEngineOptions,
): boolean {
  if (view.health === types.EngineHealth.Dead) return false;
  if (view.health === types.EngineHealth.Leaving) return false;
  if (options.excludedNames?.has(view.name) === true) return false;
  return hasModelLoaded(view.loadedModels, need);
}

/** Computes the score of an engine; lower is better, and a full memory adds 1. */
function computeScore(
  view: types.EngineView,
  need: types.GenerationNeed,
  options: SelectEngineOptions,
): number {
  const filledRatio = (view.reservedTokens + view.sentSinceTokens) / view.capacityTokens;
  const distanceScore =
    view.dataCentre === options.dataCentre ? 0 : constants.OTHER_DATA_CENTRE_SCORE;
  const suspectScore = view.health === types.EngineHealth.Suspect ? constants.SUSPECT_SCORE : 0;
  const stepRatio = view.stepTimeMs / constants.INITIAL_STEP_TIME_MS;
  const hitLikelihood = options.prefixLikelihoodOf?.(view.name, need) ?? 0;
  return (
    filledRatio +
    distanceScore +
    suspectScore +
    computeSeparationScore(view, need) +
    constants.SLOW_STEP_SCORE * stepRatio -
    constants.PREFIX_HIT_SCORE * hitLikelihood
  );
}

/**
 * Computes the part of the score that keeps long batch prompts and streaming generations on
 * different engines; negative where a long prompt joins others of its kind.
 */
function computeSeparationScore(view: types.EngineView, need: types.GenerationNeed): number {
  const prefillRatio = view.prefillRatio ?? 0;
  const streamingCount = view.streamingCount ?? 0;
  const prefillShare = Math.min(1, prefillRatio / constants.PREFILL_HEAVY_RATIO);
  if (need.class === catalogue.RequestClass.Streaming) {
    return constants.SEPARATION_SCORE * prefillShare;
  }
  const isLong = need.promptTokens >= constants.LONG_PROMPT_TOKENS;
  if (need.class === catalogue.RequestClass.Interactive || !isLong) return 0;
  const streamingShare = streamingCount / (streamingCount + 1);
  const isFull = prefillRatio >= constants.PREFILL_SATURATED_RATIO;
  const prefillAttraction = isFull ? 0 : prefillShare;
  return constants.SEPARATION_SCORE * (streamingShare - prefillAttraction);
}
