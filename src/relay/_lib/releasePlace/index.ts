import type * as servers from "../../../servers/index.js";
import type * as relayContext from "../../relayContext.js";
import * as sends from "../sendBuffered/index.js";

type ReleaseContext = Pick<relayContext.RelayContext, "clock" | "overloadGuard" | "trust">;

/**
 * Frees the place of an attempt when it has ended. A server may go on with a call that was given up, so that its
 * place stays taken for as long as calls at the server usually last.
 */
export async function releasePlace(
  { clock, overloadGuard, trust }: ReleaseContext,
  { id, serviceName }: Pick<servers.ServerEntry, "id" | "serviceName">,
  place: Disposable,
  sent: Promise<sends.SendOutcome>,
): Promise<void> {
  const outcome = await sent.catch(() => null);
  const mayStillRun =
    outcome?.kind === sends.SendKind.Unknown &&
    !outcome.hasServerEnded &&
    overloadGuard.isBrittle(serviceName);
  if (mayStillRun) clock.schedule(trust.typicalMs(id) ?? 0, () => place[Symbol.dispose]());
  else place[Symbol.dispose]();
}
