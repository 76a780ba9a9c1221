import * as neverthrow from "neverthrow";

import * as randoms from "../../../_lib/random/index.js";
import * as virtualClocks from "../../../_lib/virtualClock/index.js";
import * as diagnostics from "../../../diagnostics/index.js";
import * as dispatch from "../../../dispatch/index.js";
import * as fleet from "../../../fleet/index.js";
import * as routing from "../../../routing/index.js";
import type * as serverLinks from "../../../serverLinks/index.js";
import * as servers from "../../../servers/index.js";
import type * as relayContext from "../../relayContext.js";
import * as retryBudgets from "../../retryBudget/index.js";
import type * as types from "../../types.js";
import * as attemptScopes from "../attemptScope/index.js";
import type * as callSink from "../callSink/index.js";
import * as collectBodies from "../collectBody/index.js";
import * as fixtures from "../fixtures/index.js";
import type * as forwardableAnswers from "../forwardableAnswer/index.js";
import * as heldBodies from "../heldBody/index.js";
import * as plainCalls from "../plainCall/index.js";
import * as replayServers from "../replayServer/index.js";
import * as sends from "../sendBuffered/index.js";

export { ReplayServer } from "../replayServer/index.js";

/** What a replay is made of. */
export interface ReplayOptions {
  readonly vmsCount: number;
  readonly isIdempotent: boolean;
  readonly objectiveMs: number;
  /** Interval at which VMs tell each other what they know, and so its greatest age. */
  readonly knowledgeAgeMs: number;
  readonly seed: number;
  /** Whether messages from one VM to another are lost now. */
  readonly isCut?: (from: number, to: number, nowMs: number) => boolean;
  /** From when on VMs send nothing, as they stop. */
  readonly sendsUntilMs?: number;
}

const SERVICE_NAME = fixtures.SERVICE_NAME;

/** Time from a VM to a server, or to another VM. */
const LINK_MS = 1;

/** Time that a VM which starts again needs to read which VMs there are. */
const LISTING_MS = 400;

/** VMs that make plain calls on the virtual clock; only servers and messages are replaced. */
export class PlainReplay {
  readonly clock = new virtualClocks.VirtualClock();
  readonly servers: replayServers.ReplayServer[] = [];
  /** Times to good answers, and statuses of all calls. */
  readonly answerTimesMs: number[] = [];
  readonly statuses: number[] = [];
  readonly random: randoms.RandomSource;
  /** Names of all VMs, by the key of their order. */
  private readonly orders = new Map<string, readonly string[]>();
  private readonly meters = new diagnostics.Meters();
  private readonly directory = new servers.ServerDirectory(this.clock);
  private readonly vms: {
    context: relayContext.RelayContext;
    pendingCounts: Map<string, number>;
  }[];

  constructor(private readonly options: ReplayOptions) {
    this.random = randoms.createRandom(options.seed);
    this.vms = Array.from({ length: options.vmsCount }, (_, vm) => {
      return { context: this.createContext(vm), pendingCounts: new Map() };
    });
    this.exchange();
  }

  /** Adds a server, which all VMs know at once. */
  addServer(id: string, options: replayServers.ServerCapacity): replayServers.ReplayServer {
    const server = new replayServers.ReplayServer(id, this.servers.length + 1, this.clock, options);
    this.servers.push(server);
    this.directory.apply(server.entry);
    return server;
  }

  /** Makes a call at a VM. */
  call(vm: number): void {
    const { clock, options } = this;
    const sender = this.vms[vm];
    if (sender === undefined) return;
    const { Idempotent, OnceOnly } = routing.RouteKind;
    const arrivedAtMs = clock.nowMs();
    const call = {
      head: { id: `c${this.statuses.length}` },
      route: {
        kind: options.isIdempotent ? Idempotent : OnceOnly,
        objectiveMs: options.objectiveMs,
        maxServersCount: 2,
      },
      account: null,
      serviceName: SERVICE_NAME,
      arrivedAtMs,
      deadlineAtMs: arrivedAtMs + 10 * options.objectiveMs,
      canEndInTime: () => clock.nowMs() < (options.sendsUntilMs ?? Infinity),
    } as unknown as types.Call;
    const sink = {
      answer: ({ status }: forwardableAnswers.ForwardableAnswer) => {
        this.statuses.push(status);
        this.answerTimesMs.push(clock.nowMs() - arrivedAtMs);
      },
      refuse: ({ status }: types.Refusal) => this.statuses.push(status),
    } as unknown as callSink.CallSink;
    const { signal } = new AbortController();
    const scope = new attemptScopes.AttemptScope(clock, call.deadlineAtMs, {
      callerDisconnected: signal,
    });
    const { context, pendingCounts } = sender;
    context.budget.recordCall(SERVICE_NAME);
    const send: typeof sends.sendBuffered = (_context, _call, { server, connection }) =>
      this.send(context, server.id, connection?.peer?.vmName).finally(() =>
        connection?.socket.destroy(),
      );
    const plain = new plainCalls.PlainCall(context, pendingCounts, call, sink, scope, send);
    void plain.run().then(() => scope[Symbol.dispose]());
  }

  /** Starts a VM again, which forgets what it knew; its calls in progress go on. */
  restart(vm: number): void {
    this.vms[vm] = { context: this.createContext(vm), pendingCounts: new Map() };
  }

  private async send(
    { overloadGuard }: relayContext.RelayContext,
    serverId: string,
    lenderName: string | undefined,
  ): Promise<sends.SendOutcome> {
    const { NotRun, Unknown, Answered } = sends.SendKind;
    await this.clock.sleep(LINK_MS);
    const server = this.servers.find(({ entry }) => entry.id === serverId);
    if (server === undefined || server.isDown)
      return { kind: NotRun, cause: "refused", wasSent: false, isOtherServer: false };
    const endsAtMs = server.take();
    const { fallsCount } = server;
    await this.clock.sleep((endsAtMs ?? this.clock.nowMs()) - this.clock.nowMs() + LINK_MS);
    if (server.fallsCount !== fallsCount)
      return { kind: Unknown, cause: "closed without an answer", hasServerEnded: true };
    const isRejection = endsAtMs === null;
    const { maxRejectionsPerSecond = null } = server.brittleness ?? {};
    const statement = { maxRejectionsPerSecond, isRejection };
    overloadGuard.recordAnswer(server.entry, statement);
    const lender = this.vms.find(({ context }) => context.vmName === lenderName);
    if (isRejection) lender?.context.overloadGuard.recordAnswer(server.entry, statement);
    if (isRejection) return { kind: NotRun, cause: "full", wasSent: true, isOtherServer: false };
    const head = { status: 200, forwardedHeaders: [] } as unknown as types.AnswerHead;
    const body = new heldBodies.HeldBody(collectBodies.BodyEnd.Complete, [], null);
    return { kind: Answered, serverId, head, body };
  }

  /** Sends all VMs' statements to each other, a part of the VMs after the other. */
  private exchange(): void {
    const { knowledgeAgeMs, vmsCount } = this.options;
    for (let vm = 0; vm < vmsCount; vm += 1) {
      const tell = (): void => {
        this.tellPeers(vm);
        this.clock.schedule(knowledgeAgeMs, tell);
      };
      this.clock.schedule((knowledgeAgeMs * (vm + 1)) / vmsCount, tell);
    }
  }

  private tellPeers(vm: number): void {
    const { loads, overloadGuard } = this.vms[vm]?.context ?? {};
    const statements = loads?.listStatements() ?? [];
    const overloads = overloadGuard?.listOverloads() ?? [];
    for (const [peer, { context }] of this.vms.entries()) {
      if (peer === vm || this.isCut(vm, peer)) continue;
      for (const statement of statements) context.loads.recordPeerStatement(statement);
      for (const overload of overloads) context.overloadGuard.recordPeerOverload(overload);
    }
  }

  private isCut(from: number, to: number): boolean {
    return this.options.isCut?.(from, to, this.clock.nowMs()) ?? false;
  }

  /** Names of the VMs that a VM hears, and its own, in an order that depends on the key. */
  private orderHeardVms(vm: number, key: string): readonly string[] {
    const isHeard = (peer: number): boolean => peer === vm || !this.isCut(peer, vm);
    return this.orderVms(key, isHeard);
  }

  private orderAllVms(key: string): readonly string[] {
    const known = this.orders.get(key) ?? this.orderVms(key, () => true);
    this.orders.set(key, known);
    return known;
  }

  private orderVms(key: string, isIncluded: (vm: number) => boolean): readonly string[] {
    const vms = Array.from({ length: this.options.vmsCount }, (_, vm) => vm).filter(isIncluded);
    const named = vms.map((vm) => ({ name: nameOf(vm) }));
    return fleet.rankByRendezvous(key, named).map(({ name }) => name);
  }

  /** Asks a VM for the loan of a place, as a tunnel through it does. */
  private async connectOnLoan(
    vm: number,
    lenderName: string,
    server: servers.ServerEntry,
    { loan, signal }: serverLinks.LoanOptions,
  ): Promise<neverthrow.Result<serverLinks.ServerConnection, string>> {
    const lender = this.vms.findIndex(({ context }) => context.vmName === lenderName);
    await this.clock.sleep(LINK_MS);
    if (this.isCut(vm, lender)) return neverthrow.err("silent");
    const place = await this.vms[lender]?.context.places.lend(server, loan.waitMs, signal);
    await this.clock.sleep(LINK_MS);
    if (!place) return neverthrow.err("no place");
    const socket = { destroyed: false, destroy: () => place.end(false) };
    const peer = { vmName: lenderName };
    return neverthrow.ok({ socket, peer } as unknown as serverLinks.ServerConnection);
  }

  private createContext(vm: number): relayContext.RelayContext {
    const { clock, directory, meters, random } = this;
    const startedAtMs = clock.nowMs();
    const order = this.orderHeardVms(vm, SERVICE_NAME);
    const rank = { rank: order.indexOf(nameOf(vm)), vmsCount: order.length };
    const budget = { ratio: 0.2, slackCount: 50, windowMs: 10_000 };
    const overloadGuard = new servers.OverloadGuard(clock, () => rank);
    const connector = {
      connectOnLoan: (...loan: Parameters<serverLinks.ServerConnector["connectOnLoan"]>) =>
        this.connectOnLoan(vm, ...loan),
    };
    return {
      clock,
      random: random.fork(),
      vmName: nameOf(vm),
      dataCentre: "dc-a",
      connector,
      directory,
      trust: new servers.ServerTrust(clock),
      loads: new servers.ServerLoads(clock),
      spread: new dispatch.SpreadSequence(clock, () => rank, random.next()),
      backpressure: new servers.ServerBackpressure(clock, () => rank),
      overloadGuard,
      places: new servers.BrittlePlaces({
        clock,
        vmName: nameOf(vm),
        overloadGuard,
        orderVms: (key) => this.orderAllVms(key),
        typicalMs: () => null,
        knowsFleet: () => startedAtMs === 0 || clock.nowMs() - startedAtMs > LISTING_MS,
      }),
      budget: new retryBudgets.RetryBudget(clock, budget, () => order.length),
      log: diagnostics.NOOP_DECISION_LOG,
      meters,
    } as unknown as relayContext.RelayContext;
  }
}

function nameOf(vm: number): string {
  return `vm-${vm}`;
}
