import * as crypto from "node:crypto";

import * as types from "../../types.js";

/**
 * A short digest of what is known about members, to find out whether two VMs know the same. The
 * dead are left out, because VMs forget them at different times.
 */
export function memberDigest(members: readonly types.VmMember[]): number {
  const lines = members
    .filter((member) => member.state !== types.MemberState.Dead)
    .map((member) => `${member.name} ${member.incarnation} ${member.state}`)
    .sort();
  return crypto.createHash("sha1").update(lines.join("\n")).digest().readUInt32BE(0);
}
