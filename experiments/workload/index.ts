import * as catalogue from "../../src/catalogue/types.js";
import type * as types from "../types.js";

const MINUTE_MS = 60_000;

const LANGUAGE_ENGINE: types.EngineParameters = {
  capacityTokens: 65_536,
  maxRunningCount: 64,
  stepBaseMs: 18,
  stepPerSequenceMs: 0.15,
  stepPerContextTokenMs: 0.000_15,
  stepPerPrefillTokenMs: 0.05,
  maxPrefillTokensPerStep: 512,
  cacheBlockTokens: 128,
  loadReportLagMs: 500,
  cacheEventLagMs: 1_000,
  cacheEventLossRatio: 0.05,
  checksFencing: true,
  modelLoadMs: 30_000,
};

/** Smaller engines for short structured requests, such as registrations and filings. */
const LEDGER_ENGINE: types.EngineParameters = {
  ...LANGUAGE_ENGINE,
  capacityTokens: 32_768,
  maxRunningCount: 32,
};

function tokens(
  medianTokens: number,
  logStandardDeviation: number,
  maxTokens: number,
  tail: { ratio: number; fromTokens: number } = { ratio: 0, fromTokens: 1 },
): types.TokenDistribution {
  return {
    medianTokens,
    logStandardDeviation,
    maxTokens,
    tailRatio: tail.ratio,
    tailMinTokens: tail.fromTokens,
    tailExponent: 1.6,
  };
}

/** Varahoidja: interactive lookups and registrations, with batch reports and classification. */
export const VARAHOIDJA: types.Workload = {
  name: "varahoidja",
  dataCentres: ["tln-a", "tln-b", "mrd-c"],
  vmsCount: 7,
  accountWeights: [40, 20, 10, 5, 5, 5, 5, 4, 3, 3],
  groups: [
    { model: "narrator", count: 8, engine: LANGUAGE_ENGINE },
    { model: "ledger", count: 3, engine: LEDGER_ENGINE },
  ],
  entries: [
    {
      name: "lookup",
      class: catalogue.RequestClass.Interactive,
      model: "narrator",
      ratio: 0.5,
      prompt: tokens(120, 0.4, 1_000),
      output: tokens(24, 0.8, 512),
      declaredMaxTokens: [512],
      deadlineMs: MINUTE_MS,
      interTokenBoundMs: 100,
    },
    {
      name: "report",
      class: catalogue.RequestClass.Batch,
      model: "narrator",
      ratio: 0.2,
      prompt: tokens(800, 0.6, 6_000),
      output: tokens(600, 1.1, 24_000, { ratio: 0.05, fromTokens: 2_000 }),
      declaredMaxTokens: [8_192, 16_384, 24_576],
      deadlineMs: 120 * MINUTE_MS,
      interTokenBoundMs: null,
    },
    {
      name: "classification",
      class: catalogue.RequestClass.Batch,
      model: "narrator",
      ratio: 0.2,
      prompt: tokens(500, 0.6, 4_000),
      output: tokens(6, 0.6, 64),
      declaredMaxTokens: [64],
      deadlineMs: 120 * MINUTE_MS,
      interTokenBoundMs: null,
    },
    {
      name: "registration",
      class: catalogue.RequestClass.Interactive,
      model: "ledger",
      ratio: 0.1,
      prompt: tokens(150, 0.4, 1_000),
      output: tokens(20, 0.5, 128),
      declaredMaxTokens: [128],
      deadlineMs: MINUTE_MS,
      interTokenBoundMs: 100,
    },
  ],
};

/**
 * Gauja: streamed drafts, batch classification of documents, interactive filings and status
 * requests.
 */
export const GAUJA: types.Workload = {
  name: "gauja",
  dataCentres: ["riga-a", "riga-b", "riga-c"],
  vmsCount: 8,
  accountWeights: [40, 20, 10, 5, 5, 5, 5, 4, 3, 3],
  groups: [
    { model: "drafter", count: 10, engine: LANGUAGE_ENGINE },
    { model: "filing", count: 3, engine: LEDGER_ENGINE },
  ],
  entries: [
    {
      name: "draft",
      class: catalogue.RequestClass.Streaming,
      model: "drafter",
      ratio: 0.25,
      prompt: tokens(500, 0.5, 4_000),
      output: tokens(1_500, 0.8, 24_000, { ratio: 0.03, fromTokens: 4_000 }),
      declaredMaxTokens: [8_192, 16_384, 24_576],
      deadlineMs: 60 * MINUTE_MS,
      interTokenBoundMs: 60,
    },
    {
      name: "classification",
      class: catalogue.RequestClass.Batch,
      model: "drafter",
      ratio: 0.45,
      prompt: tokens(1_500, 0.8, 12_000),
      output: tokens(8, 0.6, 64),
      declaredMaxTokens: [64],
      deadlineMs: 120 * MINUTE_MS,
      interTokenBoundMs: null,
    },
    {
      name: "filing",
      class: catalogue.RequestClass.Interactive,
      model: "filing",
      ratio: 0.1,
      prompt: tokens(300, 0.4, 2_000),
      output: tokens(24, 0.5, 128),
      declaredMaxTokens: [128],
      deadlineMs: MINUTE_MS,
      interTokenBoundMs: 100,
    },
    {
      name: "status",
      class: catalogue.RequestClass.Interactive,
      model: "filing",
      ratio: 0.2,
      prompt: tokens(80, 0.3, 500),
      output: tokens(12, 0.5, 128),
      declaredMaxTokens: [128],
      deadlineMs: MINUTE_MS,
      interTokenBoundMs: 100,
    },
  ],
};
